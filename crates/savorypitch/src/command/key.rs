//! `key`: grants, withdraws and lists keys.

use model::TeamRef;
use model::key::KeyHolder;
use node::api;

use super::contract::print_accepted;
use crate::args::KeyCommand;
use crate::client::Client;
use crate::failure::Failure;
use crate::output::print_json;
use crate::output::print_line;
use crate::output::print_table;

/// Runs a `key` command and prints its result.
pub fn run(client: &Client, command: KeyCommand, json: bool) -> Result<(), Failure> {
    match command {
        KeyCommand::Grant { holder } => grant(client, &holder, json),
        KeyCommand::Withdraw { id } => withdraw(client, &id, json),
        KeyCommand::List => list(client, json),
    }
}

fn grant(client: &Client, holder: &str, json: bool) -> Result<(), Failure> {
    let holder = parse_holder(holder)?;
    let granted: api::GrantedKey = client.post("/keys", &api::GrantKey { holder })?;
    if json {
        print_json(&granted);
        return Ok(());
    }
    print_line(format_args!("key {}: {}", granted.id, granted.secret));
    print_line(format_args!("This key will not be shown again."));
    print_accepted(&granted.accepted, json);
    Ok(())
}

fn withdraw(client: &Client, id: &str, json: bool) -> Result<(), Failure> {
    let accepted: api::Accepted = client.delete(&format!("/keys/{id}"))?;
    print_accepted(&accepted, json);
    Ok(())
}

fn list(client: &Client, json: bool) -> Result<(), Failure> {
    let keys: Vec<api::KeyView> = client.get("/keys")?;
    if json {
        print_json(&keys);
        return Ok(());
    }
    let rows: Vec<_> = keys
        .into_iter()
        .map(|key| [key.id.to_string(), key.holder, format!("{:?}", key.state).to_lowercase()])
        .collect();
    print_table(["KEY", "HOLDER", "STATE"], &rows);
    Ok(())
}

fn parse_holder(text: &str) -> Result<KeyHolder, Failure> {
    if text == "operator" {
        return Ok(KeyHolder::Operator);
    }
    match text.split_once('/') {
        Some((customer, team)) => Ok(KeyHolder::Team(TeamRef::new(customer, team))),
        None => Err(Failure::Refused(format!(
            "`{text}` is not a valid key holder\n  hint: write CUSTOMER/TEAM or `operator`"
        ))),
    }
}
