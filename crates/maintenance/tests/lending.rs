//! When hosts are lent and given back.

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

/// Two pools of four hosts that serve, and two spare hosts.
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

/// Demands after both pools asked as `asked` says, second by second.
fn watch(seconds: u64, asked: impl Fn(u64) -> [f64; 2]) -> Vec<PoolDemand> {
    let first = asked(0);
    let mut demands = vec![
        PoolDemand::new("one".into(), first[0], at(0)),
        PoolDemand::new("two".into(), first[1], at(0)),
    ];
    for second in 0..seconds {
        for (demand, hosts) in demands.iter_mut().zip(asked(second)) {
            demand.observe(hosts, at(second), &POLICY);
        }
    }
    demands
}

fn loan(config: &Config, demands: &[PoolDemand], second: u64) -> Option<Loan> {
    let moment = Moment { version: config.version + 1, now: at(second) };
    next_loan(config, &config.contracts[0], demands, &POLICY, &[], moment)
}

/// Puts a loan in force as if its move were over.
fn moved(config: &Config, loan: &Loan) -> Config {
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
fn bursts_of_seconds_move_nothing() {
    // Each in turn asks for five times its mean for four seconds, a twentieth between.
    let bursts = |second: u64| {
        let burst = (second / 4 % 5) as usize;
        [0, 1].map(|pool| if pool == burst { 12.5 } else { 0.125 })
    };
    for seconds in 600..640 {
        assert_eq!(loan(&config(), &watch(seconds, bursts), seconds), None);
    }
}

#[test]
fn lasting_demand_borrows_from_the_spare_pool_and_gives_back() {
    let demands = watch(900, |_| [5.0, 2.0]);
    let borrowed = loan(&config(), &demands, 900).unwrap();
    assert_eq!((&*borrowed.from, &*borrowed.to), ("spare", "one"));
    let lent = moved(&config(), &borrowed);
    // Between the bands nothing moves either way.
    assert_eq!(loan(&lent, &watch(900, |_| [3.2, 2.0]), 900), None);
    let back = loan(&lent, &watch(900, |_| [1.0, 2.0]), 900).unwrap();
    assert_eq!((back.row.id(), &*back.from, &*back.to), (borrowed.row.id(), "one", "spare"));
}

#[test]
fn pool_lends_beyond_the_spares_only_what_its_floor_allows() {
    let demands = watch(900, |_| [8.0, 0.5]);
    let mut config = config();
    let mut sources = Vec::new();
    while let Some(next) = loan(&config, &demands, 900) {
        sources.push(next.from.to_string());
        config = moved(&config, &next);
    }
    assert_eq!(sources, ["spare", "spare", "two"]);
}

#[test]
fn pool_rests_after_a_move_and_is_watched_first() {
    assert_eq!(loan(&config(), &watch(200, |_| [8.0, 2.0]), 200), None);
    let mut demands = watch(900, |_| [8.0, 2.0]);
    demands[0].record_move(at(800));
    assert_eq!(loan(&config(), &demands, 900), None);
    assert!(loan(&config(), &demands, 1_100).is_some());
}

#[test]
fn host_that_an_operator_moved_is_not_given_back() {
    let mut config = config();
    config.hosts[8].spec.pool = "one".into();
    assert_eq!(loan(&config, &watch(900, |_| [0.5, 2.0]), 900), None);
}

#[test]
fn buffer_profile_moves_later_and_less_than_share_profile() {
    let share = LendingPolicy::of(Profile::Share);
    let buffer = LendingPolicy::of(Profile::Buffer);
    assert!(buffer.time_constant > share.time_constant && buffer.cooldown > share.cooldown);
    assert!(
        buffer.borrow_band > share.borrow_band
            && buffer.target_utilization > share.target_utilization
    );
}
