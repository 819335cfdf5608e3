//! Entry of the `camphorspring` binary.

use std::process::ExitCode;

use camphorspring::admin::run_command;
use camphorspring::options::arguments::{Camphorspring, CamphorspringCmd};
use camphorspring::serve::serve_host;

#[path = "../platform/mod.rs"]
mod platform;

fn main() -> ExitCode {
    let arguments = Camphorspring::from_env_or_exit();
    let result = match &arguments.subcommand {
        CamphorspringCmd::Serve(command) => serve_host(&command.settings),
        CamphorspringCmd::ServePlatform(_) => platform::serve(),
        _ => run_command(&arguments),
    };
    match result {
        Ok(output) => {
            print!("{}", output.text);
            ExitCode::from(output.code.entry().exit)
        }
        Err(fault) => {
            eprintln!("error {} {}: {}", fault.code.number(), fault.code.entry().name, fault.message);
            ExitCode::from(fault.code.entry().exit)
        }
    }
}
