//! Streamed completions as server-sent events.
//!
//! The response starts with the first piece of the run, so that an error before it gets an HTTP error status. A later
//! error is sent as an `error` event, and the response is aborted without `[DONE]`. Each stream has its own thread, so
//! that a slow reader delays no other reader.

use crate::gateway::completions::{CompletionReader, READER_POLL_INTERVAL, RUN_STACK_BYTES, ReaderLimits};
use crate::gateway::request_record::RequestRecord;
use crate::gateway::{GatewayResponse, RequestContext};
use crate::generated::caller_messages::{CompletionAnswer, CompletionChoice, VersionSpan};
use crate::generated::engine_messages::EnginePiece;
use crate::http_server::connection::error_reply;
use crate::http_server::{BodySender, HttpResponse, ReplyBody, StreamSendError};
use crate::prelude::*;
use crate::traffic::EngineResult;
use crate::traffic::coalescing::RunReadResult;

/// Most open streams. Each has its own thread, which the limit on requests of the HTTP server does not count.
const MAX_STREAMS: i64 = 1024;

/// Completion run that is streamed to one caller.
pub(crate) struct StreamedCompletion {
    pub(crate) reader: CompletionReader,
    pub(crate) limits: ReaderLimits,
    /// Model name as the caller wrote it, repeated in each event.
    pub(crate) model: String,
}

/// Waits for the first piece or the result of the run, then starts the thread that writes the stream.
///
/// A run that fails before its first piece, a reader past its limits and too many streams are returned as errors.
pub(crate) fn start_stream(
    context: &RequestContext<'_>,
    record: &mut RequestRecord,
    mut stream: StreamedCompletion,
) -> Result<GatewayResponse, ResultCode> {
    let first_result = loop {
        stream.limits.check()?;
        if context.request.is_abandoned() {
            record.finish(ResultCode::Done, CLIENT_CLOSED_STATUS);
            // The connection is closed, so this code reaches nobody.
            return Err(ResultCode::TargetTimeout);
        }
        match stream.reader.read_next(READER_POLL_INTERVAL) {
            RunReadResult::Waiting => {}
            RunReadResult::Finished(Err(code)) => return Err(code),
            read_result => break read_result,
        }
    };
    let streams = context.gateway.metrics.streams.clone();
    if streams.get() >= MAX_STREAMS {
        return Err(ResultCode::HostBusy);
    }
    let (sender, body) = ReplyBody::streamed();
    let mut writer =
        EventWriter { sender, completion_id: format!("cmpl-{}", record.request_id), model: stream.model.clone() };
    let mut stream_record = record.hand_over();
    let thread = std::thread::Builder::new().name("stream".to_owned()).stack_size(RUN_STACK_BYTES);
    streams.inc();
    let spawned = thread.spawn(move || {
        let stream_result = write_stream(&mut writer, &mut stream, first_result);
        finish_stream(writer, &mut stream_record, &stream_result);
        streams.dec();
    });
    if spawned.is_err() {
        context.gateway.metrics.streams.dec();
        return Err(ResultCode::HostBusy);
    }
    Ok(GatewayResponse::Streamed(
        HttpResponse::stream(200, "text/event-stream", body).with_header("cache-control", "no-store"),
    ))
}

/// Why a stream ended before the `[DONE]` event.
enum CompletionStreamError {
    /// The caller closed the connection or did not read.
    Reader(StreamSendError),
    /// The run failed, the key was withdrawn or the deadline passed.
    Run(ResultCode),
}

impl From<StreamSendError> for CompletionStreamError {
    fn from(error: StreamSendError) -> Self {
        Self::Reader(error)
    }
}

fn write_stream(
    writer: &mut EventWriter,
    stream: &mut StreamedCompletion,
    first_result: RunReadResult<EnginePiece, EngineResult>,
) -> Result<(), CompletionStreamError> {
    let mut read_result = first_result;
    loop {
        match read_result {
            RunReadResult::Piece(piece) => writer.send_text(&piece.text)?,
            RunReadResult::Finished(Ok(result)) => return Ok(writer.send_end(&result)?),
            RunReadResult::Finished(Err(code)) => return Err(CompletionStreamError::Run(code)),
            RunReadResult::Waiting => {}
        }
        stream.limits.check().map_err(CompletionStreamError::Run)?;
        if writer.sender.is_closed() {
            return Err(CompletionStreamError::Reader(StreamSendError::ReaderGone));
        }
        read_result = stream.reader.read_next(READER_POLL_INTERVAL);
    }
}

fn finish_stream(writer: EventWriter, record: &mut RequestRecord, stream_result: &Result<(), CompletionStreamError>) {
    match stream_result {
        Ok(()) => {
            let _ = writer.sender.finish();
            record.finish(ResultCode::Done, 200);
        }
        Err(CompletionStreamError::Run(code)) => {
            let code = *code;
            writer.send_error(code, &record.request_id);
            record.finish(code, code.entry().status);
        }
        Err(CompletionStreamError::Reader(error)) => {
            let reason = format!("{error:?}");
            log::info!(request_id = record.request_id.as_str(), reason = reason.as_str(); "reader_dropped");
            // A 4xx status keeps the request out of the objective, as the service is not at fault.
            record.finish(ResultCode::Done, CLIENT_CLOSED_STATUS);
        }
    }
}

/// HTTP status in the log line of a request whose caller closed the connection or did not read; it is never sent.
pub(crate) const CLIENT_CLOSED_STATUS: u16 = 499;

/// Encodes the pieces of a completion as server-sent events.
struct EventWriter {
    sender: BodySender,
    /// Id of the completion, the same in each event.
    completion_id: String,
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
            id: self.completion_id.clone(),
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

    /// Sends an `error` event and drops the sender, which aborts the response.
    fn send_error(self, code: ResultCode, request_id: &str) {
        let mut event = b"event: error\ndata: ".to_vec();
        if let ReplyBody::Whole(body) = error_reply(code, request_id).body {
            event.extend(body);
        }
        event.extend_from_slice(b"\n\n");
        let _ = self.sender.send(event);
    }
}
