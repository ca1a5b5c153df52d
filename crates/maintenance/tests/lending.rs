//! When hosts are lent to another pool and returned.

use std::time::Duration;
use std::time::SystemTime;

use maintenance::Moment;
use maintenance::lend::LendingPolicy;
use maintenance::lend::Loan;
use maintenance::lend::PoolDemand;
use maintenance::lend::next_loan;
use model::Config;
use model::ConfigRow;
use model::HostRow;
use model::HostState;
use model::contract::Profile;
use model::contract::parse_contract;

const POLICY: LendingPolicy = LendingPolicy {
    time_constant: Duration::from_secs(300),
    target_utilization: 0.8,
    borrow_band: 0.6,
    return_band: 1.4,
    cooldown: Duration::from_secs(300),
};

/// Two pools with four serving hosts each, and a spare pool with two hosts.
fn config() -> Config {
    let mut text = "customer = \"levy\"\nprofile = \"share\"\n".to_owned();
    for name in ["one", "two"] {
        text.push_str(&format!("[[services]]\nname = \"{name}\"\nunavailable_max = 1\n"));
        text.push_str(&format!("[[pools]]\nname = \"{name}\"\nservice = \"{name}\"\n"));
    }
    text.push_str("[[pools]]\nname = \"spare\"\n");
    for index in 0..10 {
        let pool = ["one", "two", "one", "two", "one", "two", "one", "two", "spare", "spare"];
        text.push_str(&format!(
            "[[hosts]]\nname = \"h{index}\"\npool = \"{}\"\naddress = \"10.0.0.{index}:80\"\n\
             zone = \"a\"\nrack = \"r{index}\"\nslots = 8\nconnections_max = 64\n\
             processors = 16\nmemory_mib = 32768\n",
            pool[index]
        ));
    }
    let contract = parse_contract("test", &text).unwrap();
    let hosts = contract.hosts.iter().cloned();
    let mut rows: Vec<_> =
        hosts.map(|spec| ConfigRow::Host(HostRow::new("levy".into(), spec))).collect();
    rows.push(ConfigRow::Contract(contract));
    Config::from_rows(1, rows)
}

fn at(second: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000 + second)
}

/// Returns the smoothed demand of both pools after `seconds` seconds; `demand_at` gives the demand
/// of each second.
fn observe_demand(seconds: u64, demand_at: impl Fn(u64) -> [f64; 2]) -> Vec<PoolDemand> {
    let first = demand_at(0);
    let mut demands = vec![
        PoolDemand::new("one".into(), first[0], at(0)),
        PoolDemand::new("two".into(), first[1], at(0)),
    ];
    for second in 0..seconds {
        for (demand, hosts) in demands.iter_mut().zip(demand_at(second)) {
            demand.observe(hosts, at(second), &POLICY);
        }
    }
    demands
}

fn loan(config: &Config, demands: &[PoolDemand], second: u64) -> Option<Loan> {
    let moment = Moment { version: config.version + 1, now: at(second) };
    next_loan(config, &config.contracts[0], demands, &POLICY, &[], moment)
}

/// Returns the configuration after the move of a loan has finished.
fn after_move(config: &Config, loan: &Loan) -> Config {
    let mut row = loan.row.clone();
    row.spec.pool = loan.to.clone();
    row.move_to = None;
    row.state = HostState::Serving;
    let mut next = config.clone();
    let index = next.hosts.iter().position(|host| host.id() == row.id()).unwrap();
    next.hosts[index] = row;
    next
}

#[test]
fn short_bursts_cause_no_loan() {
    // Each pool in turn has five times its mean demand for four seconds, and a twentieth of it in
    // between.
    let bursts = |second: u64| {
        let burst = (second / 4 % 5) as usize;
        [0, 1].map(|pool| if pool == burst { 12.5 } else { 0.125 })
    };
    for seconds in 600..640 {
        assert_eq!(loan(&config(), &observe_demand(seconds, bursts), seconds), None);
    }
}

#[test]
fn lasting_demand_borrows_from_the_spare_pool_and_returns_the_host() {
    let demands = observe_demand(900, |_| [5.0, 2.0]);
    let borrowed = loan(&config(), &demands, 900).unwrap();
    assert_eq!((&*borrowed.from, &*borrowed.to), ("spare", "one"));
    let config_after_loan = after_move(&config(), &borrowed);
    // Between the bands there is neither a loan nor a return.
    assert_eq!(loan(&config_after_loan, &observe_demand(900, |_| [3.2, 2.0]), 900), None);
    let returned = loan(&config_after_loan, &observe_demand(900, |_| [1.0, 2.0]), 900).unwrap();
    assert_eq!(
        (returned.row.id(), &*returned.from, &*returned.to),
        (borrowed.row.id(), "one", "spare")
    );
}

#[test]
fn pool_lends_only_hosts_beyond_its_availability_floor() {
    let demands = observe_demand(900, |_| [8.0, 0.5]);
    let mut config = config();
    let mut sources = Vec::new();
    while let Some(next) = loan(&config, &demands, 900) {
        sources.push(next.from.to_string());
        config = after_move(&config, &next);
    }
    assert_eq!(sources, ["spare", "spare", "two"]);
}

#[test]
fn pool_takes_no_part_before_its_observation_time_or_during_its_cooldown() {
    assert_eq!(loan(&config(), &observe_demand(200, |_| [8.0, 2.0]), 200), None);
    let mut demands = observe_demand(900, |_| [8.0, 2.0]);
    demands[0].record_move(at(800));
    assert_eq!(loan(&config(), &demands, 900), None);
    assert!(loan(&config(), &demands, 1_100).is_some());
}

#[test]
fn host_moved_by_an_operator_is_not_returned() {
    let mut config = config();
    config.hosts[8].spec.pool = "one".into();
    assert_eq!(loan(&config, &observe_demand(900, |_| [0.5, 2.0]), 900), None);
}

#[test]
fn buffer_profile_lends_later_and_less_than_share_profile() {
    let share = LendingPolicy::of(Profile::Share);
    let buffer = LendingPolicy::of(Profile::Buffer);
    assert!(buffer.time_constant > share.time_constant && buffer.cooldown > share.cooldown);
    assert!(
        buffer.borrow_band > share.borrow_band
            && buffer.target_utilization > share.target_utilization
    );
}
