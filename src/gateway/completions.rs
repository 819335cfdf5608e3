//! `POST /v1/completions`. Concurrent equal requests of one organisation share a run, and each caller gets the whole
//! completion.

use serde_json::Value;

use crate::gateway::caller_key::{Caller, bearer_key};
use crate::gateway::event_stream::{CLIENT_CLOSED_STATUS, StreamedCompletion, start_stream};
use crate::gateway::request_record::RequestRecord;
use crate::gateway::{Gateway, GatewayResponse, RequestContext, check_dependencies};
use crate::generated::caller_messages::{CompletionAnswer, CompletionChoice, CompletionRequest};
use crate::generated::engine_messages::EnginePiece;
use crate::generated::services_text::ServiceKind;
use crate::http_server::HttpResponse;
use crate::prelude::*;
use crate::traffic::coalescing::{JoinedRun, RunReadResult, RunReader, RunWriter, SharedRunTable, run_key};
use crate::traffic::engine_runner::{RunStop, run_completion};
use crate::traffic::{EngineResult, EngineRun};

/// Completion runs in progress, which equal requests may join.
pub(crate) type CompletionRunTable = SharedRunTable<EnginePiece, EngineResult>;

/// Reader of the pieces and the result of a shared completion run.
pub(crate) type CompletionReader = RunReader<EnginePiece, EngineResult>;

/// Timeout of a completion without an `x-request-deadline-ms` header.
const DEFAULT_COMPLETION_TIMEOUT: Duration = Duration::from_mins(2);

/// Largest `max_tokens` that a caller may ask for.
const MAX_COMPLETION_TOKENS: u32 = 131_072;

/// Interval at which a waiting reader checks for a withdrawn key, a closed connection and the deadline.
pub(crate) const READER_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time that a reader waits beyond its deadline, so that a run with the same deadline can report its own result code.
const RESULT_MARGIN: Duration = Duration::from_millis(500);

/// Stack size of a thread that executes one run or writes one stream.
pub(crate) const RUN_STACK_BYTES: usize = 512 * 1024;

pub(crate) fn handle_completion(
    context: &RequestContext<'_>,
    record: &mut RequestRecord,
) -> Result<GatewayResponse, ResultCode> {
    let caller = context.authenticate(record)?;
    let request = parse_request(&context.request.body)?;
    // `authenticate` searches the JSON text for the key; a key with escape sequences shows only in the parsed prompt.
    if bearer_key(context.request).is_some_and(|key| request.prompt.contains(key)) {
        return Err(ResultCode::BadRequest);
    }
    let service = context.configuration().service_of_model(&request.model).ok_or(ResultCode::NotFound)?;
    if service.kind != ServiceKind::Engine {
        return Err(ResultCode::NotFound);
    }
    record.service.clone_from(&service.name);
    check_dependencies(context.configuration(), &service.name)?;
    let deadline = context.deadline(DEFAULT_COMPLETION_TIMEOUT)?;
    let run = EngineRun {
        // The run has its own id, since several requests can share it.
        request_id: context.gateway.new_request_id(&context.view),
        organisation: caller.organisation.clone(),
        // Readers with different keys may share the run, so `ReaderLimits` checks the key of each reader instead.
        key_id: None,
        service: service.name.clone(),
        model: request.model.clone(),
        prompt: request.prompt.clone(),
        max_tokens: request.max_tokens,
        seed: request.seed,
        firm_only: false,
        deadline,
        is_step: false,
        least_version: None,
    };
    let reader = join_run(context.gateway, run, &record.request_id)?;
    let limits = ReaderLimits { gateway: Arc::clone(context.gateway), caller, deadline };
    if request.stream {
        let stream = StreamedCompletion { reader, limits, model: request.model };
        return start_stream(context, record, stream);
    }
    let result = collect_result(context, record, reader, &limits)?;
    let answer = build_answer(&record.request_id, &request.model, &result);
    Ok(GatewayResponse::Whole(HttpResponse::json(200, &answer)))
}

fn parse_request(body: &[u8]) -> Result<CompletionRequest, ResultCode> {
    let value: Value = serde_json::from_slice(body).map_err(|_| ResultCode::BadRequest)?;
    // Only one choice is supported; another `n` is refused instead of being ignored.
    let is_single = value.get("n").is_none_or(|count| count.as_u64() == Some(1));
    let request: CompletionRequest = serde_json::from_value(value).map_err(|_| ResultCode::BadRequest)?;
    if !is_single || !(1..=MAX_COMPLETION_TOKENS).contains(&request.max_tokens) {
        return Err(ResultCode::BadRequest);
    }
    Ok(request)
}

fn join_run(gateway: &Arc<Gateway>, run: EngineRun, request_id: &str) -> Result<CompletionReader, ResultCode> {
    let key = run_key(&[
        run.organisation.as_bytes(),
        run.service.as_bytes(),
        run.model.as_bytes(),
        run.prompt.as_bytes(),
        &run.max_tokens.to_be_bytes(),
        &run.seed.to_be_bytes(),
    ]);
    let JoinedRun { reader, writer } = gateway.completion_runs.join(key, run.deadline);
    if let Some(writer) = writer {
        log::info!(request_id = request_id, run_id = run.request_id.as_str(); "run_started");
        let gateway = Arc::clone(gateway);
        let thread = std::thread::Builder::new().name("completion".to_owned()).stack_size(RUN_STACK_BYTES);
        thread.spawn(move || run_shared_completion(&gateway, &run, writer)).map_err(|_| ResultCode::HostBusy)?;
    }
    Ok(reader)
}

fn run_shared_completion(gateway: &Gateway, run: &EngineRun, writer: RunWriter<EnginePiece, EngineResult>) {
    let stop = build_shared_run_stop(gateway, &writer);
    let result = run_completion(&gateway.dependencies.engine, run, &stop, &mut |piece| writer.push(piece.clone()));
    writer.finish(result);
}

/// Builds the stop condition of a shared run: no reader is left, or the latest deadline of all readers that joined has
/// passed.
pub(crate) fn build_shared_run_stop<P: Send + 'static, R: Send + 'static>(
    gateway: &Gateway,
    writer: &RunWriter<P, R>,
) -> RunStop {
    let (deadline_watch, check_watch) = (writer.watch(), writer.watch());
    let clock = Arc::clone(&gateway.dependencies.engine.clock);
    let check = move || {
        let is_over = !check_watch.is_wanted() || clock() >= check_watch.deadline();
        is_over.then_some(ResultCode::TargetTimeout)
    };
    RunStop { deadline: Arc::new(move || deadline_watch.deadline()), check: Arc::new(check) }
}

/// Conditions that end the wait of one reader: its key is withdrawn or its deadline has passed.
pub(crate) struct ReaderLimits {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) caller: Caller,
    pub(crate) deadline: BootTime,
}

impl ReaderLimits {
    /// Returns the code to end with when the reader must not wait any longer.
    pub(crate) fn check(&self) -> Result<(), ResultCode> {
        if self.gateway.view().is_withdrawn(&self.caller.key_id) {
            return Err(ResultCode::StreamWithdrawn);
        }
        if self.gateway.now() >= self.deadline + RESULT_MARGIN {
            return Err(ResultCode::TargetTimeout);
        }
        Ok(())
    }
}

fn collect_result(
    context: &RequestContext<'_>,
    record: &mut RequestRecord,
    mut reader: CompletionReader,
    limits: &ReaderLimits,
) -> Result<EngineResult, ResultCode> {
    loop {
        limits.check()?;
        if context.request.is_abandoned() {
            record.finish(ResultCode::Done, CLIENT_CLOSED_STATUS);
            // The connection is closed, so this code reaches nobody.
            return Err(ResultCode::TargetTimeout);
        }
        if let RunReadResult::Finished(result) = reader.read_next(READER_POLL_INTERVAL) {
            return result;
        }
    }
}

fn build_answer(request_id: &str, model: &str, result: &EngineResult) -> CompletionAnswer {
    let finish_reason = Some(result.finish_reason.clone());
    CompletionAnswer {
        id: format!("cmpl-{request_id}"),
        object: "text_completion".to_owned(),
        model: model.to_owned(),
        choices: vec![CompletionChoice { index: 0, text: result.text.clone(), finish_reason }],
        weight_versions: result.weight_versions.clone(),
    }
}
