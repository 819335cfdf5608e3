//! Streamed completions as server-sent events.
//!
//! The status waits for the first piece, so that a refusal is a refusal. After it, an error is an `error` event,
//! and the stream is aborted without its end mark. Each stream has a thread, so that a slow reader holds up no other.

use crate::gateway::completions::{CompletionReader, READER_CHECK, RUN_STACK, ReaderWatch};
use crate::gateway::request_trace::RequestTrace;
use crate::gateway::{Answered, RequestContext};
use crate::generated::caller_messages::{CompletionAnswer, CompletionChoice, VersionSpan};
use crate::generated::engine_messages::EnginePiece;
use crate::http_server::connection::error_reply;
use crate::http_server::{BodySender, HttpReply, ReplyBody, StreamSendError};
use crate::prelude::*;
use crate::traffic::EngineResult;
use crate::traffic::coalescing::RunReadResult;

/// Most streams at one time. Each holds a thread after its request has left the pool of the server.
const STREAM_LIMIT: i64 = 1024;

/// A completion that is streamed to one reader.
pub(crate) struct StreamedCompletion {
    pub(crate) reader: CompletionReader,
    pub(crate) watch: ReaderWatch,
    pub(crate) model: String,
}

/// Waits for the first step of a run, then streams it on a thread of its own.
pub(crate) fn start_stream(
    context: &RequestContext<'_>,
    trace: &mut RequestTrace,
    mut stream: StreamedCompletion,
) -> Result<Answered, ResultCode> {
    let first = loop {
        stream.watch.check()?;
        if context.request.is_abandoned() {
            trace.finish(ResultCode::Done, CLIENT_CLOSED_STATUS);
            return Err(ResultCode::TargetTimeout);
        }
        match stream.reader.next_step(READER_CHECK) {
            RunReadResult::Waiting => {}
            RunReadResult::Finished(Err(code)) => return Err(code),
            step => break step,
        }
    };
    let streams = context.gateway.metrics.streams.clone();
    if streams.get() >= STREAM_LIMIT {
        return Err(ResultCode::HostBusy);
    }
    let (sender, body) = ReplyBody::streamed();
    let mut writer = EventWriter { sender, id: format!("cmpl-{}", trace.request_id), model: stream.model.clone() };
    let mut thread_trace = trace.hand_over();
    let thread = std::thread::Builder::new().name("stream".to_owned()).stack_size(RUN_STACK);
    streams.inc();
    let spawned = thread.spawn(move || {
        let end = write_stream(&mut writer, &mut stream, first);
        finish_stream(writer, &mut thread_trace, &end);
        streams.dec();
    });
    if spawned.is_err() {
        context.gateway.metrics.streams.dec();
        return Err(ResultCode::HostBusy);
    }
    Ok(Answered::Stream(HttpReply::stream(200, "text/event-stream", body).with_header("cache-control", "no-store")))
}

/// Why a stream ended before its end mark.
enum StreamFault {
    Reader(StreamSendError),
    Run(ResultCode),
}

impl From<StreamSendError> for StreamFault {
    fn from(end: StreamSendError) -> Self {
        Self::Reader(end)
    }
}

fn write_stream(
    writer: &mut EventWriter,
    stream: &mut StreamedCompletion,
    first: RunReadResult<EnginePiece, EngineResult>,
) -> Result<(), StreamFault> {
    let mut step = first;
    loop {
        match step {
            RunReadResult::Piece(piece) => writer.send_text(&piece.text)?,
            RunReadResult::Finished(Ok(result)) => return Ok(writer.send_end(&result)?),
            RunReadResult::Finished(Err(code)) => return Err(StreamFault::Run(code)),
            RunReadResult::Waiting => {}
        }
        stream.watch.check().map_err(StreamFault::Run)?;
        if writer.sender.is_closed() {
            return Err(StreamFault::Reader(StreamSendError::ReaderGone));
        }
        step = stream.reader.next_step(READER_CHECK);
    }
}

fn finish_stream(writer: EventWriter, trace: &mut RequestTrace, end: &Result<(), StreamFault>) {
    match end {
        Ok(()) => {
            let _ = writer.sender.finish();
            trace.finish(ResultCode::Done, 200);
        }
        Err(StreamFault::Run(code)) => {
            let code = *code;
            writer.send_error(code, &trace.request_id);
            trace.finish(code, code.entry().status);
        }
        Err(StreamFault::Reader(end)) => {
            let reason = format!("{end:?}");
            log::info!(request_id = trace.request_id.as_str(), reason = reason.as_str(); "reader_dropped");
            // The status is that of a closed connection; it counts as the caller's doing.
            trace.finish(ResultCode::Done, CLIENT_CLOSED_STATUS);
        }
    }
}

/// Status in logs and metrics of a request whose caller left; no caller receives it.
pub(crate) const CLIENT_CLOSED_STATUS: u16 = 499;

struct EventWriter {
    sender: BodySender,
    id: String,
    model: String,
}

impl EventWriter {
    fn send_text(&self, text: &str) -> Result<(), StreamSendError> {
        self.send_choice(CompletionChoice { index: 0, text: text.to_owned(), finish_reason: None }, Vec::new())
    }

    fn send_end(&self, result: &EngineResult) -> Result<(), StreamSendError> {
        let finish_reason = Some(result.finish_reason.clone());
        let choice = CompletionChoice { index: 0, text: String::new(), finish_reason };
        self.send_choice(choice, result.weight_versions.clone())?;
        self.sender.send(b"data: [DONE]\n\n".to_vec())
    }

    fn send_choice(&self, choice: CompletionChoice, weight_versions: Vec<VersionSpan>) -> Result<(), StreamSendError> {
        let answer = CompletionAnswer {
            id: self.id.clone(),
            object: "text_completion".to_owned(),
            model: self.model.clone(),
            choices: vec![choice],
            weight_versions,
        };
        let mut event = b"data: ".to_vec();
        event.extend(serde_json::to_vec(&answer).unwrap_or_default());
        event.extend_from_slice(b"\n\n");
        self.sender.send(event)
    }

    /// Sends the error and drops the sender, which aborts the answer.
    fn send_error(self, code: ResultCode, request_id: &str) {
        let mut event = b"event: error\ndata: ".to_vec();
        if let ReplyBody::Whole(body) = error_reply(code, request_id).body {
            event.extend(body);
        }
        event.extend_from_slice(b"\n\n");
        let _ = self.sender.send(event);
    }
}
