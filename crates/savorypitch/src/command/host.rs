//! `host`: lists hosts.

use node::api;

use crate::args::HostCommand;
use crate::client::Client;
use crate::failure::Failure;
use crate::output::print_json;
use crate::output::print_table;

/// Runs a `host` command.
pub fn run(client: &Client, command: HostCommand, json: bool) -> Result<(), Failure> {
    let HostCommand::List = command;
    let hosts: Vec<api::HostView> = client.get("/hosts")?;
    if json {
        print_json(&hosts);
        return Ok(());
    }
    let rows: Vec<_> = hosts
        .into_iter()
        .map(|host| {
            [
                host.id.to_string(),
                host.pool.to_string(),
                host.zone.to_string(),
                host.state.to_string(),
                host.move_to.map_or_else(String::new, |pool| pool.to_string()),
                host.running.to_string(),
                host.in_doubt.to_string(),
            ]
        })
        .collect();
    print_table(["HOST", "POOL", "ZONE", "STATE", "MOVES TO", "RUNNING", "IN DOUBT"], &rows);
    Ok(())
}
