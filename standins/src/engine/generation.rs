//! Run of one completion request: waits for admission, prefills, and streams the tokens.

use std::sync::Arc;

use camphorspring::generated::engine_messages::{EnginePiece, EngineRequest};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::state::EngineState;
use super::text::{completion_length, hash_completion, word_at};
use crate::server::StreamWriter;

/// Registration of an open run; dropping the guard removes the run from the state.
struct OpenRunGuard<'a> {
    state: &'a EngineState,
    cancel_signal: Arc<Notify>,
}

impl Drop for OpenRunGuard<'_> {
    fn drop(&mut self) {
        self.state.close_run(&self.cancel_signal);
    }
}

/// Counts one admitted run as running until the guard is dropped.
struct RunningCountGuard<'a> {
    state: &'a EngineState,
}

impl<'a> RunningCountGuard<'a> {
    fn new(state: &'a EngineState) -> Self {
        state.adjust_running(1);
        Self { state }
    }
}

impl Drop for RunningCountGuard<'_> {
    fn drop(&mut self) {
        self.state.adjust_running(-1);
    }
}

pub(super) async fn run_request(state: Arc<EngineState>, request: EngineRequest, writer: StreamWriter) {
    let mut crashes = state.subscribe_to_crashes();
    let guard = OpenRunGuard { state: &state, cancel_signal: state.open_run(&request) };
    let is_complete = tokio::select! {
        biased;
        _ = crashes.changed() => false,
        () = guard.cancel_signal.notified() => false,
        () = writer.wait_for_disconnect() => false,
        is_complete = stream_tokens(&state, &request, &writer) => is_complete,
    };
    drop(guard);
    if is_complete {
        writer.finish().await;
    } else {
        state.update_records(|records| records.broken_runs += 1);
    }
}

/// Streams all tokens and the end marker; `false` when the reader disconnected or the run crashed the engine.
async fn stream_tokens(state: &EngineState, request: &EngineRequest, writer: &StreamWriter) -> bool {
    let Ok(_permit) = state.admission.acquire().await else { return false };
    let _guard = RunningCountGuard::new(state);
    let mut next_due = Instant::now() + state.start_prefill(request);
    let hash = hash_completion(&request.prompt, request.seed);
    let end_index =
        if state.options.ends_early { completion_length(hash, request.max_tokens) } else { request.max_tokens };
    let finish_reason = if end_index < request.max_tokens { "stop" } else { "length" };
    let crash_index = find_crash_index(state, request);
    for index in request.resume_tokens..end_index {
        // Each due time is computed from the previous one, not from now, so that coarse timers don't slow the rate.
        next_due += state.token_time();
        tokio::time::sleep_until(next_due).await;
        if crash_index == Some(index) {
            state.crash();
            return false;
        }
        let is_last = index + 1 == end_index;
        let piece = produce_piece(state, request, hash, index, is_last.then_some(finish_reason));
        if !writer.write(format_event(&piece)).await {
            return false;
        }
    }
    writer.write(b"data: [DONE]\n\n".to_vec()).await
}

/// Index of the token before which the run crashes the engine; `None` without a crash marker or when the prompt does
/// not contain it. A completion that ends at or before the index does not crash the engine.
fn find_crash_index(state: &EngineState, request: &EngineRequest) -> Option<u32> {
    let behaviour = state.behaviour();
    let marker = behaviour.crash_marker.as_ref()?;
    let index = state.options.crash_token_index.min(request.max_tokens.saturating_sub(1)).max(request.resume_tokens);
    request.prompt.contains(marker.as_str()).then_some(index)
}

/// Builds the piece of one token and counts the token in the records.
fn produce_piece(
    state: &EngineState,
    request: &EngineRequest,
    hash: u64,
    index: u32,
    finish_reason: Option<&str>,
) -> EnginePiece {
    state.update_records(|records| records.tokens += 1);
    let weight_version = (!state.behaviour().omits_weight_version).then(|| state.weight_version());
    EnginePiece {
        request_id: request.request_id.clone(),
        index,
        text: word_at(hash, index),
        tokens: 1,
        weight_version,
        software: state.options.software.clone(),
        finish_reason: finish_reason.map(str::to_owned),
    }
}

fn format_event(piece: &EnginePiece) -> Vec<u8> {
    let json = serde_json::to_string(piece).unwrap_or_default();
    format!("data: {json}\n\n").into_bytes()
}
