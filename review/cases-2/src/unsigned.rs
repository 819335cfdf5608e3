//! Engines spoil a few of their answers: the signature and the body are missing. Items are listed as completed with a text that is
//! not their whole output.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::site::{Site, USUAL_ITEM_BYTES, job_body, read_results, step_items, submit};

const ENGINES: usize = 12;

/// Engines that spoil answers, each how many-th one they spoil, and for how long (`garble` in the site file: share 0.6, x 0.03, 5.5 s).
const FAULTY_ENGINES: usize = 7;
const SPOILED_EACH: usize = 34;
const SPOIL_TIME: Duration = Duration::from_millis(5500);

/// Batch jobs of 64 items, handed in together by as many trainers.
const JOBS: usize = 6;
const EVENTS: u64 = 28;
const EVENT_MS: u64 = 20;

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Option<bool> {
    let site = Site::start(record, ENGINES, &["tt-south-a", "tt-south-a", "tt-south-b", "tt-south-c"])?;
    let hosts: Vec<SocketAddr> = site.hosts.iter().map(|host| host.callers).collect();
    if has_trouble {
        for (number, engine) in site.engines[..FAULTY_ENGINES].iter().enumerate() {
            engine.spoil(SPOILED_EACH, number * SPOILED_EACH / FAULTY_ENGINES);
        }
    }
    let engines: Vec<_> = site.engines.to_vec();
    let end = std::thread::spawn(move || {
        std::thread::sleep(SPOIL_TIME);
        engines.iter().for_each(|engine| engine.spoil(0, 0));
    });
    let wrong: Arc<Mutex<usize>> = Arc::default();
    let threads: Vec<_> = (0..JOBS)
        .map(|number| {
            let (record, hosts, wrong) = (Arc::clone(record), hosts.clone(), Arc::clone(&wrong));
            std::thread::spawn(move || {
                let found = run_job(&record, &hosts, number);
                *wrong.lock().unwrap() += found;
            })
        })
        .collect();
    for thread in threads {
        let _ = thread.join();
    }
    let _ = end.join();
    let wrong = *wrong.lock().unwrap();
    record.line(&format!("{wrong} results are listed as completed with another text than the whole output"));
    Some(wrong > 0)
}

/// Hands a batch job in and reads its results; returns how many are completed without their whole output.
fn run_job(record: &Record, hosts: &[SocketAddr], number: usize) -> usize {
    let items = step_items(&format!("e5b2907c{number:04}"), USUAL_ITEM_BYTES, EVENTS, EVENT_MS);
    let job = format!("7c41e09b52d6{number:04}");
    let answer = submit(hosts[number % hosts.len()], &job, &job_body(&items), Duration::from_secs(12));
    record.line(&format!("job {job} ({} items): {:?}", items.len(), answer.map(|answer| answer.status())));
    let (mut position, mut wrong) = (0, 0);
    let deadline = Instant::now() + Duration::from_secs(45);
    while position < items.len() && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(500));
        for (id, state, text) in read_results(hosts[number % hosts.len()], &job, position).unwrap_or_default() {
            let whole: Vec<String> = (1..=EVENTS).map(|event| format!("{id}:{event}@v1")).collect();
            if state == "completed" && text != whole.join("\n") {
                record.line(&format!("position {position} of job {job}: item {id} is {state} with the text {text:?}"));
                wrong += 1;
            }
            position += 1;
        }
    }
    record.line(&format!("job {job}: {position} of {} items are listed", items.len()));
    wrong
}
