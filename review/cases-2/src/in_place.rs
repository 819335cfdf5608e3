//! The engines of a service are upgraded one after the other, each in place: it ends, and starts again under its id with other
//! software. Clients take the streams that break off up again, and the hosts go on with the items of batch jobs. Streams and items go
//! on at the other software version.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client_stream::ClientStream;
use crate::record::Record;
use crate::site::{Site, USUAL_ITEM_BYTES, job_body, read_results, step_items, submit};

const ENGINES: usize = 12;

/// Engines that are upgraded, zone by zone, and the time that each is away, within the share and length of `release` and `srv_crash` in the
/// site file.
const UPGRADES: [usize; 5] = [0, 3, 6, 9, 1];
const AWAY: Duration = Duration::from_secs(2);

/// Clients, each of which reads two streams, one after the other.
const CLIENTS: usize = 60;
const STREAMS_PER_CLIENT: usize = 2;

/// Batch jobs, one each 4 s.
const JOBS: usize = 3;
const STEP_TIME: Duration = Duration::from_secs(4);

/// Events of each stream and item, and the time that each takes.
const STREAM_EVENTS: u64 = 60;
const STREAM_EVENT_MS: u64 = 140;

/// Tries to take one stream up.
const TAKE_UPS: usize = 8;

/// Streams of two versions that the rule allows.
const ALLOWED: usize = 2;

/// The data of the events of a stream or of a text.
struct Output {
    name: String,
    data: Vec<String>,
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Option<bool> {
    let site = Site::start(record, ENGINES, &["tt-south-a", "tt-south-a", "tt-south-b", "tt-south-c"])?;
    let hosts: Vec<SocketAddr> = site.hosts.iter().map(|host| host.callers).collect();
    let running = Arc::new(AtomicUsize::new(CLIENTS + JOBS));
    let outputs = Arc::new(Mutex::new(Vec::new()));
    for number in 0..CLIENTS {
        let (record, hosts, running, outputs) =
            (Arc::clone(record), hosts.clone(), Arc::clone(&running), Arc::clone(&outputs));
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(20 * number as u64));
            for stream in 0..STREAMS_PER_CLIENT {
                let name = format!("stream {number}-{stream}");
                let data = follow(&record, &hosts, number, stream);
                outputs.lock().unwrap().push(Output { name, data });
            }
            running.fetch_sub(1, Ordering::SeqCst);
        });
    }
    for number in 0..JOBS {
        let (record, hosts, running, outputs) =
            (Arc::clone(record), hosts.clone(), Arc::clone(&running), Arc::clone(&outputs));
        std::thread::spawn(move || {
            std::thread::sleep(STEP_TIME * number as u32);
            outputs.lock().unwrap().extend(run_job(&record, &hosts, number));
            running.fetch_sub(1, Ordering::SeqCst);
        });
    }
    std::thread::sleep(Duration::from_millis(1500));
    if has_trouble {
        for engine in UPGRADES.map(|number| &site.engines[number]) {
            engine.end();
            std::thread::sleep(AWAY);
            engine.start_again("v2");
        }
    }
    let deadline = Instant::now() + Duration::from_secs(60);
    while running.load(Ordering::SeqCst) > 0 && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(50));
    }
    let mut joined = 0;
    let outputs = outputs.lock().unwrap();
    for output in outputs.iter() {
        let count = |version: &str| output.data.iter().filter(|data| data.ends_with(version)).count();
        let (old, new) = (count("@v1"), count("@v2"));
        if old > 0 && new > 0 {
            joined += 1;
            record.line(&format!("{} holds {old} events of software v1 and {new} of v2", output.name));
        }
    }
    record.line(&format!(
        "{joined} of {} streams and texts hold events of two software versions; the rule allows {ALLOWED}",
        outputs.len()
    ));
    Some(joined > ALLOWED)
}

/// Hands a batch job in and reads its results; returns the texts.
fn run_job(record: &Record, hosts: &[SocketAddr], number: usize) -> Vec<Output> {
    let items = step_items(&format!("e5b2907c{number:04}"), USUAL_ITEM_BYTES, STREAM_EVENTS, STREAM_EVENT_MS);
    let job = format!("7c41e09b52d6{number:04}");
    let answer = submit(hosts[number % hosts.len()], &job, &job_body(&items), Duration::from_secs(12));
    record.line(&format!("job {job} ({} items): {:?}", items.len(), answer.map(|answer| answer.status())));
    let mut texts = Vec::new();
    let deadline = Instant::now() + Duration::from_secs(45);
    while texts.len() < items.len() && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(500));
        let host = hosts[(number + texts.len()) % hosts.len()];
        for (id, state, text) in read_results(host, &job, texts.len()).unwrap_or_default() {
            let name = format!("position {} of job {job}, item {id}, {state},", texts.len());
            texts.push(Output { name, data: text.lines().map(str::to_owned).collect() });
        }
    }
    record.line(&format!("job {job}: {} of {} items are listed", texts.len(), items.len()));
    texts
}

/// Reads a stream to its end, and takes it up at another host whenever it breaks off; returns the data of its events.
fn follow(record: &Record, hosts: &[SocketAddr], number: usize, stream_number: usize) -> Vec<String> {
    let mut stream = ClientStream::new(&format!("{number:04}{stream_number:02}"), STREAM_EVENTS, STREAM_EVENT_MS);
    let prompt = format!("prompt {number} {stream_number}");
    for attempt in 0..=TAKE_UPS {
        let end = stream.read(hosts[(number + attempt) % hosts.len()], &prompt);
        if end.whole {
            break;
        }
        record.line(&format!("stream {number}-{stream_number}: {end}"));
        if end.status != 200 {
            std::thread::sleep(Duration::from_millis(400));
        }
    }
    stream.data
}
