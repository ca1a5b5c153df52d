//! The one binary of savorypitch: the node (`serve`) and the operators' command line.
//!
//! Exit codes: 0 done; 1 refused or not found; 2 wrong usage or settings; 3 the outcome is unknown;
//! 4 the node could not be reached.

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
