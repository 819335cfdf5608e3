//! Scripts of the cases in `review/`. The argument is the folder of the case; `TROUBLE=0` leaves the disruption out.
//! Exits with 1 when the rule is broken, with 0 when it holds, and with 2 when the case cannot run.

mod big_steps;
mod client_stream;
mod engine;
mod host;
mod http;
mod in_place;
mod json;
mod memory;
mod record;
mod same_question;
mod silent_answer;
mod site;
mod store;
mod unsigned;

use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: cases-2 CASE FOLDER");
        std::process::exit(2);
    };
    let record = record::Record::create(&PathBuf::from(folder));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let is_broken = match case.as_str() {
        "in-place" => in_place::play(&record, has_trouble),
        "same-question" => same_question::play(&record, has_trouble),
        "silent-answer" => silent_answer::play(&record, has_trouble),
        "unsigned" => unsigned::play(&record, has_trouble),
        "big-steps" => big_steps::play(&record, has_trouble),
        _ => {
            eprintln!("no such case");
            std::process::exit(2);
        }
    };
    let Some(is_broken) = is_broken else {
        record.line("RESULT: the case cannot run");
        std::process::exit(2);
    };
    record.line(if is_broken { "RESULT: the rule is broken" } else { "RESULT: the rule holds" });
    std::process::exit(i32::from(is_broken));
}
