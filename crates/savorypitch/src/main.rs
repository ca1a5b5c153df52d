//! The savorypitch binary: runs a node (`serve`, `serve-platform`) and the commands for operators.
//!
//! Exit codes: 0 success; 1 refused or not found; 2 invalid usage, settings or files; 3 the outcome
//! is unknown; 4 the node could not be reached.

mod args;
mod client;
mod command;
mod failure;
mod output;

use std::process::ExitCode;

use clap::Parser;

use crate::args::Args;

fn main() -> ExitCode {
    let args = Args::parse();
    match command::run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            failure.exit_code()
        }
    }
}
