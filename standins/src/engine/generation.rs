//! Runs one request: waits for its turn, prefills, and streams its tokens.

use std::sync::Arc;

use camphorspring::generated::engine_messages::{EnginePiece, EngineRequest};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::state::EngineState;
use super::text::{completion_hash, natural_length, word_at};
use crate::server::StreamWriter;

/// Registration of a run, undone when the run ends in any way.
struct OpenGuard<'a> {
    state: &'a EngineState,
    cancel: Arc<Notify>,
}

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.state.close_run(&self.cancel);
    }
}

/// A run that produces tokens.
struct RunningGuard<'a> {
    state: &'a EngineState,
}

impl<'a> RunningGuard<'a> {
    fn new(state: &'a EngineState) -> Self {
        state.change_running(1);
        Self { state }
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.state.change_running(-1);
    }
}

pub(super) async fn run_request(state: Arc<EngineState>, request: EngineRequest, writer: StreamWriter) {
    let mut crashes = state.watch_crashes();
    let guard = OpenGuard { state: &state, cancel: state.open_run(&request) };
    let is_complete = tokio::select! {
        biased;
        _ = crashes.changed() => false,
        () = guard.cancel.notified() => false,
        () = writer.wait_for_disconnect() => false,
        is_complete = produce(&state, &request, &writer) => is_complete,
    };
    drop(guard);
    if is_complete {
        writer.finish().await;
    } else {
        state.change_records(|records| records.broken_runs += 1);
    }
}

/// Streams all tokens; `false` when the reader is gone or the engine crashed.
async fn produce(state: &EngineState, request: &EngineRequest, writer: &StreamWriter) -> bool {
    let Ok(_permit) = state.admission.acquire().await else { return false };
    let _guard = RunningGuard::new(state);
    let mut next = Instant::now() + state.prefill(request);
    let hash = completion_hash(&request.prompt, request.seed);
    let end = if state.options.ends_early { natural_length(hash, request.max_tokens) } else { request.max_tokens };
    let finish_reason = if end < request.max_tokens { "stop" } else { "length" };
    let crash_at = crash_index(state, request);
    for index in request.resume_tokens..end {
        // Adding to the time due, rather than to the present, keeps the rate exact in spite of coarse timers.
        next += state.token_time();
        tokio::time::sleep_until(next).await;
        if crash_at == Some(index) {
            state.crash();
            return false;
        }
        let is_last = index + 1 == end;
        let piece = make_piece(state, request, hash, index, is_last.then_some(finish_reason));
        if !writer.write(event_line(&piece)).await {
            return false;
        }
    }
    writer.write(b"data: [DONE]\n\n".to_vec()).await
}

fn crash_index(state: &EngineState, request: &EngineRequest) -> Option<u32> {
    let behaviour = state.behaviour();
    let marker = behaviour.crash_marker.as_ref()?;
    let index = state.options.crash_after.min(request.max_tokens.saturating_sub(1)).max(request.resume_tokens);
    request.prompt.contains(marker.as_str()).then_some(index)
}

fn make_piece(
    state: &EngineState,
    request: &EngineRequest,
    hash: u64,
    index: u32,
    finish_reason: Option<&str>,
) -> EnginePiece {
    state.change_records(|records| records.tokens += 1);
    let weight_version = (!state.behaviour().is_unstamped).then(|| state.weight_version());
    EnginePiece {
        request_id: request.request_id.clone(),
        index,
        text: word_at(hash, index),
        tokens: 1,
        weight_version,
        finish_reason: finish_reason.map(str::to_owned),
    }
}

fn event_line(piece: &EnginePiece) -> Vec<u8> {
    let json = serde_json::to_string(piece).unwrap_or_default();
    format!("data: {json}\n\n").into_bytes()
}
