//! Contracts: the examples are valid, and broken ones are answered with all findings at once.
//!
//! `UPDATE_GOLDEN=1` writes the golden files anew.

use std::path::Path;

use model::contract::Access;
use model::contract::Profile;
use model::contract::parse_contract;
use rstest::rstest;

fn read(path: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(root.join(path)).unwrap()
}

#[rstest]
#[case("levy", Profile::Share)]
#[case("studio", Profile::Buffer)]
fn example_is_valid_and_has_its_sizes(#[case] customer: &str, #[case] profile: Profile) {
    let text = read(&format!("../../examples/{customer}.toml"));
    let contract = parse_contract("example", &text).unwrap();
    assert_eq!(&*contract.customer, customer);
    assert_eq!(contract.profile, profile);
    assert_eq!(contract.services.len(), 5);
    assert_eq!(contract.teams.len(), 6);
    let spare: Vec<_> = contract.pools.iter().filter(|pool| pool.service.is_none()).collect();
    assert_eq!(spare.len(), 1);
    let serving = contract.hosts.iter().filter(|host| host.pool != spare[0].name);
    assert_eq!(serving.count(), 50);
    assert!(contract.hosts.iter().all(|host| host.slots == 8 && host.connections_max == 64));
    let mut zones: Vec<_> = contract.hosts.iter().map(|host| &host.zone).collect();
    zones.sort();
    zones.dedup();
    assert_eq!(zones.len(), 3);
    assert_eq!(contract.queues.iter().filter(|q| q.access == Access::Open).count(), 1);
}

#[rstest]
#[case("names")]
#[case("syntax")]
#[case("types")]
fn broken_contract_is_answered_with_all_findings(#[case] name: &str) {
    let text = read(&format!("tests/contracts/{name}.toml"));
    let diagnostics = parse_contract(&format!("{name}.toml"), &text).unwrap_err();
    let printed = format!("{diagnostics}\n");
    let golden = format!("tests/contracts/{name}.txt");
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(&golden);
        std::fs::write(path, &printed).unwrap();
    }
    assert_eq!(printed, read(&golden));
}
