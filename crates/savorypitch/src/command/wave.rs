//! `wave`: plans, starts, pauses and lists maintenance waves.

use node::api;

use super::contract::print_accepted;
use crate::args::WaveCommand;
use crate::client::Client;
use crate::failure::Failure;
use crate::output::print_json;
use crate::output::print_table;

/// Runs a `wave` command and prints its result.
pub fn run(client: &Client, command: WaveCommand, json: bool) -> Result<(), Failure> {
    match command {
        WaveCommand::Plan { pool } => change(client, &pool, "plan", json),
        WaveCommand::Start { pool } => change(client, &pool, "start", json),
        WaveCommand::Pause { pool } => change(client, &pool, "pause", json),
        WaveCommand::List => list(client, json),
    }
}

fn change(client: &Client, pool: &str, verb: &str, json: bool) -> Result<(), Failure> {
    let accepted: api::Accepted = client.post(&format!("/waves/{pool}/{verb}"), &())?;
    print_accepted(&accepted, json);
    Ok(())
}

fn list(client: &Client, json: bool) -> Result<(), Failure> {
    let waves: Vec<api::WaveView> = client.get("/waves")?;
    if json {
        print_json(&waves);
        return Ok(());
    }
    let rows: Vec<_> = waves
        .into_iter()
        .map(|wave| {
            [
                wave.id.to_string(),
                wave.round.to_string(),
                wave.state.to_string(),
                wave.waiting.to_string(),
                wave.started.to_string(),
                wave.done.to_string(),
                wave.failed.to_string(),
                format!("{:.1} %", wave.urgency * 100.0),
            ]
        })
        .collect();
    let header =
        ["WAVE", "ROUND", "STATE", "WAITING", "IN WORK", "DONE", "FAILED", "TIME LEFT USED"];
    print_table(header, &rows);
    Ok(())
}
