//! Cases of the third review: `cases-3 NUMBER DIRECTORY` runs one of them in the root of the repository, and exits with 1 if the
//! rule was broken, with 0 if it held, and with 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod crash_after_events;
mod crash_in_the_dark;
mod crash_through_peers;
mod engine;
mod host;
mod http;
mod link;
mod record;
mod software_in_turn;
mod software_through_peers;
mod store;
mod taken_up_and_broken;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(number), Some(directory)) = (arguments.get(1), arguments.get(2)) else { return ExitCode::from(2) };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let scratch = std::env::temp_dir().join(format!("camphorspring-case-{number}-{}", std::process::id()));
    if std::fs::create_dir_all(&scratch).is_err() {
        return ExitCode::from(2);
    }
    let record = record::Record::create(&PathBuf::from(directory));
    let outcome = match number.as_str() {
        "crash-through-peers" => crash_through_peers::run(&scratch, &record, is_troubled),
        "software-through-peers" => software_through_peers::run(&scratch, &record, is_troubled),
        "software-in-turn" => software_in_turn::run(&scratch, &record, is_troubled),
        "crash-after-events" => crash_after_events::run(&scratch, &record, is_troubled),
        "crash-in-the-dark" => crash_in_the_dark::run(&scratch, &record, is_troubled),
        "taken-up-and-broken" => taken_up_and_broken::run(&scratch, &record, is_troubled),
        _ => None,
    };
    let code = match outcome {
        Some(true) => 0,
        Some(false) => 1,
        None => 2,
    };
    record.say(["the rule held", "the rule was broken", "the case could not run"][code as usize]);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&scratch);
    } else {
        println!("{}", scratch.display());
    }
    ExitCode::from(code)
}
