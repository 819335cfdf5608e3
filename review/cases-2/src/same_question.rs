//! Many devices ask the same question at the same time, and read the answers as streams. The engines of one zone crash. The streams that
//! break off are taken up again, and refused, while new streams with other questions begin.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::client_stream::ClientStream;
use crate::record::Record;
use crate::site::Site;

const ENGINES: usize = 12;

/// Time for which the engines of a zone are away (`srv_crash`).
const AWAY: Duration = Duration::from_millis(4500);

/// Devices that ask the same question.
const DEVICES: usize = 48;
const QUESTION: &str = "which piles are ready today?";

/// Clients that ask questions of their own after the crash, one each 200 ms.
const OTHERS: usize = 24;
const OTHER_PAUSE: Duration = Duration::from_millis(200);

/// Events of an answer, and the time that each takes.
const EVENTS: u64 = 55;
const EVENT_MS: u64 = 140;
const OTHER_EVENTS: u64 = 10;

/// Time until a client takes up a stream that broke off: it opens a new connection.
const TAKE_UP_PAUSE: Duration = Duration::from_millis(200);

/// Tries of a client beside the first one (client's retries in the site's table), and the pause before it: the refusals name about a
/// second in `Retry-After`.
const RETRIES: usize = 1;
const RETRY_PAUSE: Duration = Duration::from_millis(1100);

/// Streams that must be taken up for the rule to hold a share against.
const MIN_TAKEN_UP: usize = 12;

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Option<bool> {
    let site = Site::start(record, ENGINES, &["tt-south-a", "tt-south-a", "tt-south-b", "tt-south-c"])?;
    let hosts: Vec<SocketAddr> = site.hosts.iter().map(|host| host.callers).collect();
    // Whether a stream was taken up, and whether it went on then.
    let devices: Arc<Mutex<Vec<(bool, bool)>>> = Arc::default();
    let mut threads = Vec::new();
    for number in 0..DEVICES {
        let (record, hosts, devices) = (Arc::clone(record), hosts.clone(), Arc::clone(&devices));
        threads.push(std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(10 * number as u64));
            let outcome = ask(&record, &hosts, number);
            devices.lock().unwrap().push(outcome);
        }));
    }
    std::thread::sleep(Duration::from_secs(2));
    let zone: Vec<_> = site.engines.iter().step_by(3).cloned().collect();
    if has_trouble {
        zone.iter().for_each(|engine| engine.end());
    }
    let back = std::thread::spawn(move || {
        std::thread::sleep(AWAY);
        if has_trouble {
            zone.iter().for_each(|engine| engine.start_again("v1"));
        }
    });
    let begun: Arc<Mutex<usize>> = Arc::default();
    for number in 0..OTHERS {
        std::thread::sleep(OTHER_PAUSE);
        let (record, host, begun) = (Arc::clone(record), hosts[number % hosts.len()], Arc::clone(&begun));
        threads.push(std::thread::spawn(move || {
            let mut stream = ClientStream::new(&format!("{number:04}99"), OTHER_EVENTS, EVENT_MS);
            let end = stream.read(host, &format!("question of client {number}"));
            record.line(&format!("new stream of client {number}: {end}"));
            *begun.lock().unwrap() += usize::from(end.brought > 0);
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let _ = back.join();
    let devices = devices.lock().unwrap();
    let taken_up = devices.iter().filter(|device| device.0).count();
    let went_on = devices.iter().filter(|device| device.1).count();
    let begun = *begun.lock().unwrap();
    record.line(&format!(
        "{went_on} of {taken_up} streams that were taken up went on; {begun} of {OTHERS} new streams began"
    ));
    let share = |part: usize, whole: usize| part as f64 / whole.max(1) as f64;
    Some(taken_up >= MIN_TAKEN_UP && share(went_on, taken_up) < share(begun, OTHERS) / 2.0)
}

/// Asks the question and reads the answer; takes the stream up at other hosts when it breaks off.
fn ask(record: &Record, hosts: &[SocketAddr], number: usize) -> (bool, bool) {
    let mut stream = ClientStream::new(&format!("{number:04}00"), EVENTS, EVENT_MS);
    let end = stream.read(hosts[number % hosts.len()], QUESTION);
    if end.whole {
        return (false, false);
    }
    record.line(&format!("stream of device {number}: {end}"));
    std::thread::sleep(TAKE_UP_PAUSE);
    for attempt in 0..=RETRIES {
        let end = stream.read(hosts[(number + 1 + attempt) % hosts.len()], QUESTION);
        record.line(&format!("stream of device {number} is taken up: {end}"));
        if end.brought > 0 {
            return (true, true);
        }
        std::thread::sleep(RETRY_PAUSE);
    }
    (true, false)
}
