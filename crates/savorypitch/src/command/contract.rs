//! `contract`: checks, accepts and shows contracts.

use std::path::Path;

use model::Contract;
use model::contract::parse_contract;
use node::api;

use crate::args::ContractCommand;
use crate::client::Client;
use crate::failure::Failure;
use crate::output::print_json;
use crate::output::print_line;

/// Runs a `contract` command.
pub fn run(client: &Client, command: ContractCommand, json: bool) -> Result<(), Failure> {
    match command {
        ContractCommand::Check { file } => check(&file, json),
        ContractCommand::Apply { file, seen } => apply(client, &file, seen, json),
        ContractCommand::Show { customer } => show(client, &customer),
        ContractCommand::Diff { file } => diff(client, &file),
    }
}

fn check(file: &Path, json: bool) -> Result<(), Failure> {
    let contract = read(file)?;
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
    let call = api::ApplyContract { source, text, seen_version: seen };
    let accepted: api::Accepted = client.post("/contracts", &call)?;
    report_accepted(&accepted, json);
    Ok(())
}

fn show(client: &Client, customer: &str) -> Result<(), Failure> {
    let contract: Contract = client.get(&format!("/contracts/{customer}"))?;
    print_json(&contract);
    Ok(())
}

fn diff(client: &Client, file: &Path) -> Result<(), Failure> {
    let wanted = read(file)?;
    let held: Contract = client.get(&format!("/contracts/{}", wanted.customer))?;
    let before = lines(&held);
    let after = lines(&wanted);
    for line in before.iter().filter(|line| !after.contains(line)) {
        print_line(format_args!("- {line}"));
    }
    for line in after.iter().filter(|line| !before.contains(line)) {
        print_line(format_args!("+ {line}"));
    }
    Ok(())
}

/// Says which version a change led to and which nodes have it.
pub fn report_accepted(accepted: &api::Accepted, json: bool) {
    if json {
        print_json(accepted);
        return;
    }
    print_line(format_args!(
        "version {} is in force on {}",
        accepted.version,
        accepted.active_nodes.join(", ")
    ));
    if !accepted.missing.is_empty() {
        print_line(format_args!("not yet reported by {}", accepted.missing.join(", ")));
    }
}

/// One line for each entry of a contract.
fn lines(contract: &Contract) -> Vec<String> {
    let mut lines = vec![format!("profile {:?}", contract.profile)];
    lines.extend(contract.services.iter().map(|entry| format!("{entry:?}")));
    lines.extend(contract.queues.iter().map(|entry| format!("{entry:?}")));
    lines.extend(contract.teams.iter().map(|entry| format!("{entry:?}")));
    lines.extend(contract.pools.iter().map(|entry| format!("{entry:?}")));
    lines.extend(contract.hosts.iter().map(|entry| format!("{entry:?}")));
    lines
}

fn read(file: &Path) -> Result<Contract, Failure> {
    let text = read_text(file)?;
    parse_contract(&file.display().to_string(), &text).map_err(Failure::Diagnostics)
}

fn read_text(file: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(file)
        .map_err(|source| Failure::File { path: file.display().to_string(), source })
}
