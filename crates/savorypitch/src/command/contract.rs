//! `contract`: checks, applies, shows and compares contracts.

use std::path::Path;

use model::Contract;
use model::contract::parse_contract;
use node::api;

use crate::args::ContractCommand;
use crate::client::Client;
use crate::failure::Failure;
use crate::output::print_json;
use crate::output::print_line;

/// Runs a `contract` command and prints its result.
pub fn run(client: &Client, command: ContractCommand, json: bool) -> Result<(), Failure> {
    match command {
        ContractCommand::Check { file } => check(&file, json),
        ContractCommand::Apply { file, seen } => apply(client, &file, seen, json),
        ContractCommand::Show { customer } => show(client, &customer),
        ContractCommand::Diff { file } => diff(client, &file),
    }
}

fn check(file: &Path, json: bool) -> Result<(), Failure> {
    let contract = read_contract(file)?;
    if json {
        print_json(&contract);
        return Ok(());
    }
    print_line(format_args!(
        "ok: customer {}: {} services, {} queues, {} teams, {} pools, {} hosts",
        contract.customer,
        contract.services.len(),
        contract.queues.len(),
        contract.teams.len(),
        contract.pools.len(),
        contract.hosts.len(),
    ));
    Ok(())
}

fn apply(client: &Client, file: &Path, seen: Option<u64>, json: bool) -> Result<(), Failure> {
    let source = file.display().to_string();
    let text = read_text(file)?;
    let body = api::ApplyContract { source, text, seen_version: seen };
    let accepted: api::Accepted = client.post("/contracts", &body)?;
    print_accepted(&accepted, json);
    Ok(())
}

fn show(client: &Client, customer: &str) -> Result<(), Failure> {
    let contract: Contract = client.get(&format!("/contracts/{customer}"))?;
    print_json(&contract);
    Ok(())
}

fn diff(client: &Client, file: &Path) -> Result<(), Failure> {
    let new_contract = read_contract(file)?;
    let active_contract: Contract = client.get(&format!("/contracts/{}", new_contract.customer))?;
    let old_lines = entry_lines(&active_contract);
    let new_lines = entry_lines(&new_contract);
    for line in old_lines.iter().filter(|line| !new_lines.contains(line)) {
        print_line(format_args!("- {line}"));
    }
    for line in new_lines.iter().filter(|line| !old_lines.contains(line)) {
        print_line(format_args!("+ {line}"));
    }
    Ok(())
}

/// Prints the configuration version of an accepted change and the nodes on which it is active.
pub fn print_accepted(accepted: &api::Accepted, json: bool) {
    if json {
        print_json(accepted);
        return;
    }
    print_line(format_args!(
        "version {} is active on {}",
        accepted.version,
        accepted.active_nodes.join(", ")
    ));
    if !accepted.missing.is_empty() {
        print_line(format_args!("not yet reported as active by {}", accepted.missing.join(", ")));
    }
}

/// Returns one line for each entry of a contract, for comparison.
fn entry_lines(contract: &Contract) -> Vec<String> {
    let mut entry_lines = vec![format!("profile {:?}", contract.profile)];
    entry_lines.extend(contract.services.iter().map(|entry| format!("{entry:?}")));
    entry_lines.extend(contract.queues.iter().map(|entry| format!("{entry:?}")));
    entry_lines.extend(contract.teams.iter().map(|entry| format!("{entry:?}")));
    entry_lines.extend(contract.pools.iter().map(|entry| format!("{entry:?}")));
    entry_lines.extend(contract.hosts.iter().map(|entry| format!("{entry:?}")));
    entry_lines
}

fn read_contract(file: &Path) -> Result<Contract, Failure> {
    let text = read_text(file)?;
    parse_contract(&file.display().to_string(), &text).map_err(Failure::Diagnostics)
}

fn read_text(file: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(file)
        .map_err(|source| Failure::File { path: file.display().to_string(), source })
}
