//! `host`: lists, moves, drains and returns hosts.

use node::api;
use serde::Serialize;

use super::contract::print_accepted;
use crate::args::HostCommand;
use crate::client::Client;
use crate::failure::Failure;
use crate::output::print_json;
use crate::output::print_table;

/// Runs a `host` command and prints its result.
pub fn run(client: &Client, command: HostCommand, json: bool) -> Result<(), Failure> {
    match command {
        HostCommand::List => list(client, json),
        HostCommand::Move { host, pool } => {
            let body = api::MoveHost { pool: pool.into() };
            change(client, &format!("/hosts/{host}/move"), &body, json)
        }
        HostCommand::Drain { host } => change(client, &format!("/hosts/{host}/drain"), &(), json),
        HostCommand::Return { host } => change(client, &format!("/hosts/{host}/return"), &(), json),
    }
}

fn change(client: &Client, path: &str, body: &impl Serialize, json: bool) -> Result<(), Failure> {
    let accepted: api::Accepted = client.post(path, body)?;
    print_accepted(&accepted, json);
    Ok(())
}

fn list(client: &Client, json: bool) -> Result<(), Failure> {
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
                host.reason.map_or_else(String::new, |reason| reason.to_string()),
                host.move_to.map_or_else(String::new, |pool| pool.to_string()),
                host.running.to_string(),
                host.in_doubt.to_string(),
            ]
        })
        .collect();
    let header = ["HOST", "POOL", "ZONE", "STATE", "WHY", "MOVES TO", "RUNNING", "IN DOUBT"];
    print_table(header, &rows);
    Ok(())
}
