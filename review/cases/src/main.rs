//! Runs one case of the review: `cases NAME RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. With `TROUBLE=0` the disruption is left out.

mod http;
mod json;
mod record;
mod site;
mod store;
mod engine;
mod endless;
mod steps;
mod turns;
mod stops;

use std::sync::Arc;
use std::time::Duration;

use crate::record::Record;

/// Result of a case: whether the rule was broken, and what shows it.
pub struct Verdict {
    pub broken: Vec<String>,
}

const TIME_LIMIT: Duration = Duration::from_secs(115);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (name, path) = (arguments.next().unwrap_or_default(), arguments.next().unwrap_or_default());
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let run: fn(Arc<Record>, bool) -> Verdict = match name.as_str() {
        "route-removed" => steps::route_removed,
        "stale-owner" => steps::stale_owner,
        "owner-without-configuration" => steps::owner_without_configuration,
        "open-route" => steps::open_route,
        "bytes-without-end" => endless::bytes_without_end,
        "turns" => turns::turns,
        "rolling-stop" => stops::rolling_stop,
        _ => {
            eprintln!("no such case: {name}");
            std::process::exit(2);
        }
    };
    let record = Arc::new(Record::create(&path));
    let (sender, receiver) = std::sync::mpsc::channel();
    let worker_record = Arc::clone(&record);
    std::thread::spawn(move || {
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run(worker_record, has_trouble)));
        let _ = sender.send(result);
    });
    let code = match receiver.recv_timeout(TIME_LIMIT) {
        Ok(Ok(verdict)) => {
            verdict.broken.iter().for_each(|line| record.write(&format!("BROKEN: {line}")));
            verdict.broken.iter().for_each(|line| println!("broken: {line}"));
            i32::from(!verdict.broken.is_empty())
        }
        Ok(Err(_)) => 2,
        Err(_) => {
            site::end_processes();
            2
        }
    };
    record.write(&format!("exit {code}"));
    println!("{name}: exit {code}");
    std::process::exit(code);
}
