//! `team`: lists teams and their limits.

use node::api;

use crate::args::TeamCommand;
use crate::client::Client;
use crate::failure::Failure;
use crate::output::print_json;
use crate::output::print_table;

/// Runs a `team` command and prints its result.
pub fn run(client: &Client, command: TeamCommand, json: bool) -> Result<(), Failure> {
    let TeamCommand::List = command;
    let teams: Vec<api::TeamView> = client.get("/teams")?;
    if json {
        print_json(&teams);
        return Ok(());
    }
    let rows: Vec<_> = teams
        .into_iter()
        .map(|team| {
            [
                team.team.to_string(),
                team.share_weight.to_string(),
                team.running_max.to_string(),
                team.granted.to_string(),
                team.running.to_string(),
                team.in_doubt.to_string(),
            ]
        })
        .collect();
    print_table(["TEAM", "WEIGHT", "LIMIT", "HELD HERE", "RUNNING", "IN DOUBT"], &rows);
    Ok(())
}
