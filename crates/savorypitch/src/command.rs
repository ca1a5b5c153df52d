//! Runs the subcommands; one module per subcommand.

mod contract;
mod explain;
mod host;
mod key;
mod operation;
mod queue;
mod serve;
mod status;
mod team;
mod timeline;
mod wave;

use std::io;

use clap::CommandFactory;
use platform_adapter::Policies;

use crate::args::Args;
use crate::args::Command;
use crate::client::Client;
use crate::failure::Failure;

/// Runs the command that `args` name.
pub fn run(args: Args) -> Result<(), Failure> {
    let json = args.target.json;
    let client = Client::new(args.target);
    match args.command {
        Command::Serve(serve_args) => serve::run(&serve_args),
        Command::ServePlatform { settings, disable_policies } => {
            let policies = Policies::without(&disable_policies);
            platform_adapter::serve(&settings, policies).map_err(Failure::from)
        }
        Command::Contract(command) => contract::run(&client, command, json),
        Command::Key(command) => key::run(&client, command, json),
        Command::Queue(command) => queue::run(&client, command, json),
        Command::Host(command) => host::run(&client, command, json),
        Command::Wave(command) => wave::run(&client, command, json),
        Command::Team(command) => team::run(&client, command, json),
        Command::Operation { id } => operation::run(&client, &id, json),
        Command::Status => status::run(&client, json),
        Command::Timeline(timeline_args) => timeline::run(&client, &timeline_args, json),
        Command::Explain(explain_args) => explain::run(&explain_args, json),
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Args::command(), "savorypitch", &mut io::stdout());
            Ok(())
        }
    }
}
