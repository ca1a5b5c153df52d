//! When a draining host counts as idle.

use maintenance::NodeReport;
use maintenance::transition::check_idle;
use model::HostRow;
use model::HostState;
use model::contract::parse_contract;
use rstest::rstest;

#[path = "support/fake.rs"]
mod support;

fn report(config_version: u64, running: u32) -> NodeReport {
    NodeReport { config_version: Some(config_version), running: Some(running) }
}

#[rstest]
#[case(vec![report(9, 0), report(12, 0)], true)]
// No node has reported.
#[case(vec![], false)]
// The second node may still start work under the version before the drain.
#[case(vec![report(9, 0), report(8, 0)], false)]
// Work is running or in doubt.
#[case(vec![report(9, 0), report(9, 1)], false)]
// A node without a report may be running anything.
#[case(vec![report(9, 0), NodeReport { config_version: None, running: None }], false)]
#[case(vec![report(9, 0), NodeReport { config_version: Some(9), running: None }], false)]
fn host_is_idle_only_if_every_node_has_the_drain_and_runs_nothing(
    #[case] reports: Vec<NodeReport>,
    #[case] expected: bool,
) {
    let contract = parse_contract("test", &support::contract(1, 1, 1)).unwrap();
    let mut row = HostRow::new(contract.customer.clone(), contract.hosts[0].clone());
    row.state = HostState::Draining;
    row.since_version = 9;
    assert_eq!(check_idle(&row, &reports).is_some(), expected);
}
