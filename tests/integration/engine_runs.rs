//! Tests of runs on engines: assembly of text from random faulty pieces, resumption on another engine, and limits on
//! silent engines and slow callers.

use std::io::Read;
use std::time::Duration;

use camphorspring::constants::ENGINE_IDLE_LIMIT;
use camphorspring::generated::caller_messages::VersionSpan;
use camphorspring::generated::engine_messages::{EnginePiece, EngineRequest};
use camphorspring::policy::prompt_prefix::prompt_prefixes;
use camphorspring::traffic::text_assembly::{PieceVerdict, TextAssembly};
use camphorspring_standins::engine::{
    EngineOptions, EngineStandin, completion_text, prefix_hashes as engine_prefix_hashes,
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::traffic_bench::{
    GatewayBench, NORTH_KEY, PlacedTarget, ScriptedTarget, TargetFault, send_request, token_text, wait_until,
    whole_text,
};

/// Address of the platform store in tests without one; nothing listens there.
const NO_PLATFORM: &str = "http://127.0.0.1:1";

/// Draws a piece that starts at token `next` or up to 6 tokens before it, possibly with a fault. Returns the piece and
/// whether the assembly may accept it if `version` is not outdated.
fn draw_piece(random: &mut ChaCha8Rng, next: u32, length: u32, version: u64) -> (EnginePiece, bool) {
    let overlap = if random.random_bool(0.2) { random.random_range(0..=next.min(6)) } else { 0 };
    let index = next - overlap;
    let tokens = random.random_range(1..5).min(length - index);
    let text: String = (index..index + tokens).map(token_text).collect();
    let is_last = index + tokens == length;
    let mut piece = EnginePiece {
        request_id: "r".to_owned(),
        index,
        text,
        tokens,
        weight_version: Some(version),
        software: None,
        finish_reason: is_last.then(|| "length".to_owned()),
    };
    let is_usable = match random.random_range(0..20) {
        0 => {
            "other".clone_into(&mut piece.request_id);
            false
        }
        1 => {
            piece.weight_version = None;
            false
        }
        2 => {
            piece.index += overlap + 1;
            false
        }
        3 if overlap > 0 => {
            piece.text = format!("x{}", piece.text);
            // A piece without new tokens is dropped without comparing its text, unless it is the last one.
            index + tokens <= next && !is_last
        }
        _ => true,
    };
    (piece, is_usable)
}

/// Assembles one completion from random pieces. Returns whether only usable pieces were added and the text and the
/// weight versions of all tokens are right.
fn run_random_completion(random: &mut ChaCha8Rng) -> bool {
    let length = random.random_range(1..40);
    let mut assembly = TextAssembly::new("r", length, Some(2));
    let mut delivered_text = String::new();
    let mut token_versions: Vec<u64> = Vec::new();
    let mut version = 2;
    while assembly.finish_reason().is_none() {
        if random.random_bool(0.1) {
            version += 1;
        }
        let stamped_version = if random.random_bool(0.05) { 1 } else { version };
        let (piece, is_usable) = draw_piece(random, assembly.tokens(), length, stamped_version);
        match assembly.add_piece(piece) {
            Ok(PieceVerdict::New(piece)) => {
                if !is_usable || stamped_version < 2 {
                    return false;
                }
                delivered_text.push_str(&piece.text);
                token_versions.extend(std::iter::repeat_n(version, piece.tokens as usize));
            }
            Ok(PieceVerdict::Redundant) => {}
            // After a refused piece, the runner resumes on another engine, which starts at the next token.
            Err(_) => version += 1,
        }
        if assembly.tokens() == length {
            assembly.finish_at_length();
        }
    }
    delivered_text == whole_text(length)
        && assembly.text() == delivered_text
        && build_spans(&token_versions) == assembly.spans()
}

fn build_spans(token_versions: &[u64]) -> Vec<VersionSpan> {
    let mut spans: Vec<VersionSpan> = Vec::new();
    for (index, version) in (0..).zip(token_versions) {
        match spans.last_mut() {
            Some(span) if span.version == *version => span.last_token = index,
            _ => spans.push(VersionSpan { version: *version, first_token: index, last_token: index }),
        }
    }
    spans
}

/// Guards against lost and repeated tokens, tokens of other requests and wrong weight versions when engines send pieces
/// that overlap, leave gaps, contradict the text, or have a wrong request id or a missing or outdated weight version.
#[googletest::test]
fn random_pieces_give_the_whole_text() {
    let mut wrong_completions = 0;
    for seed in 1..=4 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let wrong = (0..5000).filter(|_| !run_random_completion(&mut random)).count();
        println!("seed={seed} requests=5000 wrong={wrong}");
        wrong_completions += wrong;
    }
    expect_that!(wrong_completions, eq(0));
}

/// Guards against prefix hashes that differ from those of the engines: no target would be found to have a prompt's
/// prefix in its cache.
#[googletest::test]
fn prefix_hashes_match_engines() {
    for length in [0, 63, 64, 65, 1000] {
        let prompt: String = ('a'..='z').cycle().take(length).collect();
        expect_that!(prompt_prefixes(&prompt), eq(&engine_prefix_hashes(&prompt)));
    }
}

/// Starts an engine stand-in that sends a token every 5 ms and always generates the maximum number of tokens.
fn start_engine(version: u64) -> EngineStandin {
    let options = EngineOptions {
        token_time: Duration::from_millis(5),
        weight_version: version,
        ends_early: false,
        ..EngineOptions::default()
    };
    EngineStandin::start(options).unwrap()
}

/// Guards against a caller's key in the headers of an engine request, and against a changed text or wrong weight
/// versions when an engine crashes in mid-stream and another engine resumes the completion.
#[googletest::test]
fn crash_in_mid_stream_resumes_elsewhere() {
    let (first, second) = (start_engine(4), start_engine(5));
    let addresses = [&first, &second].map(|engine| engine.server().address().to_string());
    let targets = [
        PlacedTarget { service: "scoring", id: "e1", address: &addresses[0] },
        PlacedTarget { service: "scoring", id: "e2", address: &addresses[1] },
    ];
    let bench = GatewayBench::start(&targets, NO_PLATFORM);
    let address = bench.address.clone();
    let body = r#"{"model":"pile","prompt":"seven bags","max_tokens":100,"seed":3}"#;
    let caller = std::thread::spawn(move || {
        let authorization = format!("Bearer {NORTH_KEY}");
        send_request(&address, "POST", "/v1/completions", &[("authorization", &authorization)], body.as_bytes())
    });
    wait_until("the first engine produces", || first.records().tokens > 10);
    first.crash();
    let (status, answer) = caller.join().unwrap();
    expect_that!(status, eq(200));
    let answer: serde_json::Value = serde_json::from_str(&answer).unwrap();
    let expected = completion_text("seven bags", 3, 0, 100);
    expect_that!(answer["choices"][0]["text"].as_str(), some(eq(expected.as_str())));
    let versions: Vec<u64> =
        answer["weight_versions"].as_array().unwrap().iter().filter_map(|span| span["version"].as_u64()).collect();
    expect_that!(versions, eq(&vec![4, 5]));
    for engine in [&first, &second] {
        expect_that!(engine.records().has_header_text("cs_"), eq(false));
    }
}

/// Runs a completion on engines `e1` and so on, which name these versions of their software and stamp the weight versions 1 and
/// so on. The first engine crashes in mid-stream. Returns the status and the weight versions of the text.
fn run_with_software(software: &[&str]) -> (u16, Vec<u64>) {
    let engines: Vec<EngineStandin> = (1..)
        .zip(software)
        .map(|(weight_version, software)| {
            let options = EngineOptions {
                token_time: Duration::from_millis(5),
                weight_version,
                software: Some((*software).to_owned()),
                ..EngineOptions::default()
            };
            EngineStandin::start(options).unwrap()
        })
        .collect();
    let addresses: Vec<String> = engines.iter().map(|engine| engine.server().address().to_string()).collect();
    let targets: Vec<PlacedTarget<'_>> = ["e1", "e2", "e3"]
        .iter()
        .zip(&addresses)
        .map(|(id, address)| PlacedTarget { service: "scoring", id, address })
        .collect();
    let bench = GatewayBench::start(&targets, NO_PLATFORM);
    let address = bench.address.clone();
    let caller = std::thread::spawn(move || {
        let authorization = format!("Bearer {NORTH_KEY}");
        let body = br#"{"model":"pile","prompt":"seven bags","max_tokens":100,"seed":3}"#;
        send_request(&address, "POST", "/v1/completions", &[("authorization", &authorization)], body)
    });
    wait_until("the first engine produces", || engines[0].records().tokens > 10);
    engines[0].crash();
    let (status, answer) = caller.join().unwrap();
    let answer: serde_json::Value = serde_json::from_str(&answer).unwrap();
    let spans = answer["weight_versions"].as_array().cloned().unwrap_or_default();
    (status, spans.iter().filter_map(|span| span["version"].as_u64()).collect())
}

/// Guards against a text that is joined from engines of two versions of their software, after a crash in mid-stream.
#[googletest::test]
fn text_goes_on_at_its_software_version_only() {
    let results = [run_with_software(&["s1", "s2", "s1"]), run_with_software(&["s1", "s2"])];
    expect_that!(results, eq(&[(200, vec![1, 3]), (502, vec![])]));
}

/// Guards against a resumed run that leaves the KV cache of the failed engine unused although that engine still runs,
/// and against a run that asks a crashed engine for the cache.
#[googletest::test]
fn resumed_run_imports_cache_unless_engine_crashed() {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let (first, second) = (ScriptedTarget::engine(&runtime, 1), ScriptedTarget::engine(&runtime, 1));
    let targets = [
        PlacedTarget { service: "scoring", id: "e1", address: &first.address },
        PlacedTarget { service: "scoring", id: "e2", address: &second.address },
    ];
    let bench = GatewayBench::start(&targets, NO_PLATFORM);
    let mut rows = Vec::new();
    for (seed, fault) in
        [TargetFault::Unstamped(2), TargetFault::Gap(2), TargetFault::DieAfter(2)].into_iter().enumerate()
    {
        first.script([fault.clone()]);
        let (status, _) = bench.complete(&format!(r#"{{"model":"pile","prompt":"p","max_tokens":6,"seed":{seed}}}"#));
        let requests = second.requests.lock().unwrap();
        let resumed = requests.iter().rfind(|request| request.path == "/v1/completions").unwrap();
        let resumed: EngineRequest = serde_json::from_slice(&resumed.body).unwrap();
        let has_cache = resumed.kv_handle.as_ref() == Some(&resumed.request_id);
        rows.push((status, resumed.resume_tokens, resumed.resume_text, has_cache));
    }
    let expected_row = |has_cache| (200, 2, whole_text(2), has_cache);
    expect_that!(rows, eq(&vec![expected_row(true), expected_row(true), expected_row(false)]));
}

/// Guards against a caller that stops reading and thereby keeps its stream open for ever or blocks another caller of
/// the same shared run.
#[googletest::test]
fn stalled_caller_is_dropped_from_shared_run() {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let target = ScriptedTarget::engine(&runtime, 1);
    target.script([TargetFault::Slow(Duration::from_micros(100))]);
    let bench =
        GatewayBench::start(&[PlacedTarget { service: "scoring", id: "e1", address: &target.address }], NO_PLATFORM);
    // The response is larger than the buffers of both sockets.
    let body = r#"{"model":"pile","prompt":"p","max_tokens":60000,"stream":true}"#;
    let mut unread = std::net::TcpStream::connect(&bench.address).unwrap();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {NORTH_KEY}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    std::io::Write::write_all(&mut unread, head.as_bytes()).unwrap();
    let mut first_bytes = [0; 8];
    unread.read_exact(&mut first_bytes).unwrap();
    let (status, events) = bench.complete(body);
    expect_that!(status, eq(200));
    expect_that!(events, ends_with("data: [DONE]\n\n"));
    expect_that!(target.runs(), eq(1));
    wait_until("the unread stream is dropped", || {
        bench.registry.gather().iter().any(|family| {
            family.name() == "camphorspring_streams_open" && family.get_metric()[0].get_gauge().get_value() == 0.0
        })
    });
}

/// Guards against a run that waits for ever for a silent engine, and against a run that keeps its permit until the idle
/// limit of a silent engine although the caller's key was withdrawn.
#[googletest::test]
fn silent_engine_is_abandoned() {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let (silent, responsive) = (ScriptedTarget::engine(&runtime, 1), ScriptedTarget::engine(&runtime, 2));
    let silence_fault = TargetFault::Slow(ENGINE_IDLE_LIMIT * 4);
    silent.script([silence_fault.clone(), silence_fault]);
    let targets = [
        PlacedTarget { service: "scoring", id: "e1", address: &silent.address },
        PlacedTarget { service: "scoring", id: "e2", address: &responsive.address },
    ];
    let bench = GatewayBench::start(&targets, NO_PLATFORM);
    let (status, answer) = bench.complete(r#"{"model":"pile","prompt":"p","max_tokens":4}"#);
    expect_that!(status, eq(200));
    expect_that!(answer, contains_substring(whole_text(4)));
    expect_that!(bench.reports.lock().unwrap()[0].total, ge(ENGINE_IDLE_LIMIT));

    let address = bench.address.clone();
    let caller = std::thread::spawn(move || {
        let authorization = format!("Bearer {NORTH_KEY}");
        let body = br#"{"model":"pile","prompt":"q","max_tokens":4}"#;
        send_request(&address, "POST", "/v1/completions", &[("authorization", &authorization)], body)
    });
    wait_until("the engine has the request", || silent.runs() == 2);
    bench.change_view(|view| view.withdrawn = std::sync::Arc::new(vec!["north1".to_owned()]));
    let (_, answer) = caller.join().unwrap();
    // 1603: the key was withdrawn while the request ran.
    expect_that!(answer, contains_substring("\"code\":1603"));
    wait_until("the permit is back", || bench.reports.lock().unwrap().len() == 3);
    expect_that!(bench.reports.lock().unwrap()[2].total, lt(ENGINE_IDLE_LIMIT));
}

/// Faults of which all pairs are tested: one fault on the engine that starts the completion, one on the engine that
/// resumes it.
const PAIRED_FAULTS: [TargetFault; 7] = [
    TargetFault::DieAfter(0),
    TargetFault::DieAfter(3),
    TargetFault::Status(500),
    TargetFault::Unstamped(2),
    TargetFault::Repeat,
    TargetFault::Crossed(2),
    TargetFault::Gap(4),
];

/// Combines one fault of the first engine with every fault of the second engine. Returns a description of each pair
/// with a wrong response.
fn run_fault_pairs(first_fault: &TargetFault) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let engines = [1, 2, 3].map(|version| ScriptedTarget::engine(&runtime, version));
    let ids = ["e1", "e2", "e3"];
    let targets: Vec<PlacedTarget<'_>> = ids
        .iter()
        .zip(&engines)
        .map(|(id, engine)| PlacedTarget { service: "scoring", id, address: &engine.address })
        .collect();
    let bench = GatewayBench::start(&targets, NO_PLATFORM);
    let mut wrong_responses = Vec::new();
    for (seed, second_fault) in PAIRED_FAULTS.iter().enumerate() {
        for (engine, fault) in engines.iter().zip([first_fault, second_fault]) {
            engine.faults.lock().unwrap().clear();
            engine.script([fault.clone()]);
        }
        let body = format!(r#"{{"model":"pile","prompt":"p","max_tokens":8,"seed":{seed}}}"#);
        let (status, answer) = bench.complete(&body);
        let answer: serde_json::Value = serde_json::from_str(&answer).unwrap();
        let is_whole = status == 200 && answer["choices"][0]["text"] == whole_text(8);
        // A request that was the only one in flight on two crashed targets is quarantined. It then fails with code 1601
        // (target failed), because the code of the quarantine would say that it did not run.
        let is_crash = |fault: &TargetFault| matches!(fault, TargetFault::DieAfter(_));
        let is_quarantined = is_crash(first_fault) && is_crash(second_fault) && answer["code"] == 1601;
        if !is_whole && !is_quarantined {
            wrong_responses.push(format!("{first_fault:?} then {second_fault:?}: {status} {answer}"));
        }
    }
    wrong_responses
}

/// Guards against a lost or wrong text when the engine that resumes a completion fails as well.
#[googletest::test]
fn pairs_of_engine_faults_give_the_whole_text() {
    let threads: Vec<_> =
        PAIRED_FAULTS.into_iter().map(|fault| std::thread::spawn(move || run_fault_pairs(&fault))).collect();
    let wrong_responses: Vec<String> = threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect();
    expect_that!(wrong_responses, is_empty());
}
