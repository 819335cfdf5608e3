//! Entry point of the `camphorspring` binary: runs the command and exits with the status of its result code.

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
        Err(error) => {
            eprintln!("error {} {}: {}", error.code.number(), error.code.entry().name, error.message);
            ExitCode::from(error.code.entry().exit)
        }
    }
}
