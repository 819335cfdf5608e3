//! `POST /v1/completions`: equal requests of one organisation share a run, and each gets a whole copy.

use serde_json::Value;

use crate::gateway::caller_key::{Caller, bearer_key};
use crate::gateway::event_stream::{CLIENT_CLOSED_STATUS, StreamedCompletion, start_stream};
use crate::gateway::request_trace::RequestTrace;
use crate::gateway::{Answered, Gateway, RequestContext, check_dependencies};
use crate::generated::caller_messages::{CompletionAnswer, CompletionChoice, CompletionRequest};
use crate::generated::engine_messages::EnginePiece;
use crate::generated::services_text::ServiceKind;
use crate::http_server::HttpReply;
use crate::prelude::*;
use crate::traffic::coalescing::{JoinedRun, RunReadResult, RunReader, RunWriter, SharedRunTable, run_key};
use crate::traffic::engine_runner::{RunStop, run_completion};
use crate::traffic::{EngineResult, EngineRun};

/// Completions that may be joined.
pub(crate) type CompletionRunTable = SharedRunTable<EnginePiece, EngineResult>;

/// Reader of a shared completion.
pub(crate) type CompletionReader = RunReader<EnginePiece, EngineResult>;

/// Deadline of a completion whose caller names none.
const COMPLETION_DEADLINE: Duration = Duration::from_mins(2);

/// Most tokens that a caller may ask for.
const TOKEN_LIMIT: u32 = 131_072;

/// Period in which a waiting reader looks for a withdrawn key, a closed connection and its deadline.
pub(crate) const READER_CHECK: Duration = Duration::from_millis(100);

/// Time after a reader's deadline in which the run, which has the same deadline, says how it ended.
const RESULT_GRACE: Duration = Duration::from_millis(500);

/// Stack of a thread that carries one run or one stream, in bytes.
pub(crate) const RUN_STACK: usize = 512 * 1024;

pub(crate) fn answer_completion(
    context: &RequestContext<'_>,
    trace: &mut RequestTrace,
) -> Result<Answered, ResultCode> {
    let caller = context.authenticate(trace)?;
    let request = parse_request(&context.request.body)?;
    // The body was searched for the key as written; an escape sequence in it would hide the key until here.
    if bearer_key(context.request).is_some_and(|key| request.prompt.contains(key)) {
        return Err(ResultCode::BadRequest);
    }
    let service = context.configuration().service_of_model(&request.model).ok_or(ResultCode::NotFound)?;
    if service.kind != ServiceKind::Engine {
        return Err(ResultCode::NotFound);
    }
    trace.service.clone_from(&service.name);
    check_dependencies(context.configuration(), &service.name)?;
    let deadline = context.deadline(COMPLETION_DEADLINE)?;
    let run = EngineRun {
        request_id: context.gateway.new_id(&context.view),
        organisation: caller.organisation.clone(),
        // Readers with other keys may share the run, so each reader watches its own key.
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
    let reader = join_run(context.gateway, run, &trace.request_id)?;
    let watch = ReaderWatch { gateway: Arc::clone(context.gateway), caller, deadline };
    if request.stream {
        let stream = StreamedCompletion { reader, watch, model: request.model };
        return start_stream(context, trace, stream);
    }
    let result = collect_result(context, trace, reader, &watch)?;
    let answer = completion_answer(&trace.request_id, &request.model, &result);
    Ok(Answered::Whole(HttpReply::json(200, &answer)))
}

fn parse_request(body: &[u8]) -> Result<CompletionRequest, ResultCode> {
    let value: Value = serde_json::from_slice(body).map_err(|_| ResultCode::BadRequest)?;
    // A count of answers that is not offered must not be ignored silently.
    let is_single = value.get("n").is_none_or(|count| count.as_u64() == Some(1));
    let request: CompletionRequest = serde_json::from_value(value).map_err(|_| ResultCode::BadRequest)?;
    if !is_single || !(1..=TOKEN_LIMIT).contains(&request.max_tokens) {
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
    let JoinedRun { reader, writer } = gateway.completions.join(key, run.deadline);
    if let Some(writer) = writer {
        log::info!(request_id = request_id, run_id = run.request_id.as_str(); "run_started");
        let gateway = Arc::clone(gateway);
        let thread = std::thread::Builder::new().name("completion".to_owned()).stack_size(RUN_STACK);
        thread.spawn(move || carry_run(&gateway, &run, writer)).map_err(|_| ResultCode::HostBusy)?;
    }
    Ok(reader)
}

fn carry_run(gateway: &Gateway, run: &EngineRun, writer: RunWriter<EnginePiece, EngineResult>) {
    let stop = shared_stop(gateway, &writer);
    let result = run_completion(&gateway.parts.engine, run, &stop, &mut |piece| writer.push(piece.clone()));
    writer.finish(result);
}

/// Stop of a shared run: when no reader is left, or at the latest deadline of its readers.
pub(crate) fn shared_stop<P: Send + 'static, R: Send + 'static>(
    gateway: &Gateway,
    writer: &RunWriter<P, R>,
) -> RunStop {
    let (limit, wanted) = (writer.watch(), writer.watch());
    let clock = Arc::clone(&gateway.parts.engine.clock);
    let check = move || {
        let is_over = !wanted.is_wanted() || clock() >= wanted.deadline();
        is_over.then_some(ResultCode::TargetTimeout)
    };
    RunStop { deadline: Arc::new(move || limit.deadline()), check: Arc::new(check) }
}

/// What ends the wait of one reader.
pub(crate) struct ReaderWatch {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) caller: Caller,
    pub(crate) deadline: BootTime,
}

impl ReaderWatch {
    /// Whether the reader must leave, and with which code.
    pub(crate) fn check(&self) -> Result<(), ResultCode> {
        if self.gateway.view().is_withdrawn(&self.caller.key_id) {
            return Err(ResultCode::StreamWithdrawn);
        }
        if self.gateway.now() >= self.deadline + RESULT_GRACE {
            return Err(ResultCode::TargetTimeout);
        }
        Ok(())
    }
}

fn collect_result(
    context: &RequestContext<'_>,
    trace: &mut RequestTrace,
    mut reader: CompletionReader,
    watch: &ReaderWatch,
) -> Result<EngineResult, ResultCode> {
    loop {
        watch.check()?;
        if context.request.is_abandoned() {
            trace.finish(ResultCode::Done, CLIENT_CLOSED_STATUS);
            return Err(ResultCode::TargetTimeout);
        }
        if let RunReadResult::Finished(result) = reader.next_step(READER_CHECK) {
            return result;
        }
    }
}

fn completion_answer(request_id: &str, model: &str, result: &EngineResult) -> CompletionAnswer {
    let finish_reason = Some(result.finish_reason.clone());
    CompletionAnswer {
        id: format!("cmpl-{request_id}"),
        object: "text_completion".to_owned(),
        model: model.to_owned(),
        choices: vec![CompletionChoice { index: 0, text: result.text.clone(), finish_reason }],
        weight_versions: result.weight_versions.clone(),
    }
}
