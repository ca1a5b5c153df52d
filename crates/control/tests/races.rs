//! Racing operators over a faulty table: what they are told is true, and versions only grow.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use control::ChangeError;
use control::ConfigWriter;
use control::Operation;
use control::OperationOutcome;
use control::PollResult;
use control::load;
use control::poll;
use model::Change;
use model::Config;
use model::ConfigVersion;
use model::Contract;
use model::OperationId;
use model::contract::parse_contract;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRunner;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use services::CommitOutcome;
use services::MemoryTable;
use services::Precondition;
use services::Row;
use services::Scan;
use services::Table;
use services::Transaction;
use services::Unavailable;
use standin::faulty_table::FaultyTable;
use standin::faulty_table::Odds;

const CASES: u32 = 24;
const OPERATORS: u64 = 3;
const CALLS: u32 = 8;

/// What is left out of the table's checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Whole,
    NoHeadPrecondition,
    NoOperationId,
}

/// What an operator was told about one call.
#[derive(Clone, Debug)]
struct Told {
    operation_id: OperationId,
    seen: Option<ConfigVersion>,
    in_force: Option<ConfigVersion>,
}

struct Checks {
    inner: FaultyTable,
    variant: Variant,
}

#[async_trait]
impl Table for Checks {
    async fn get(&self, key: &str) -> Result<Option<Row>, Unavailable> {
        self.inner.get(key).await
    }

    async fn scan(&self, scan: Scan) -> Result<Vec<Row>, Unavailable> {
        self.inner.scan(scan).await
    }

    async fn commit(&self, transaction: &Transaction) -> CommitOutcome {
        let mut transaction = transaction.clone();
        let left_out = match self.variant {
            Variant::Whole => "nothing",
            Variant::NoHeadPrecondition => "config/head",
            Variant::NoOperationId => "op/",
        };
        transaction.preconditions.retain(|p: &Precondition| !p.key().starts_with(left_out));
        self.inner.commit(&transaction).await
    }
}

fn contract(running_max: u32) -> Contract {
    let text = format!(
        "customer = \"levy\"\nprofile = \"share\"\n\
         [[teams]]\nname = \"officers\"\nrunning_max = {running_max}\n"
    );
    parse_contract("levy.toml", &text).unwrap()
}

async fn operate(table: Arc<dyn Table>, told: Arc<Mutex<Vec<Told>>>, seed: u64, operator: u64) {
    let mut rng = SmallRng::seed_from_u64(seed ^ operator);
    let writer = ConfigWriter::new(format!("operator {operator}"));
    for _ in 0..CALLS {
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..300))).await;
        let seen = match load(&*table).await {
            Ok(config) if rng.random_bool(0.5) => Some(config.version),
            _ => None,
        };
        let operation = Operation::new(format!("operator {operator}"));
        let wanted = contract(rng.random_range(1..100));
        let mut answer = writer.apply_contract_as(&*table, &operation, wanted.clone(), seen).await;
        if rng.random_bool(0.3) && answer.is_ok() {
            // A repeat under the same id, as after an answer that the operator did not get.
            let again = writer.apply_contract_as(&*table, &operation, wanted, seen).await;
            answer = if again.is_ok() { again } else { answer };
        }
        let in_force = match answer {
            Ok(version) => Some(version),
            Err(ChangeError::Unknown { operation_id }) => {
                resolve(&writer, &*table, &operation_id).await
            }
            Err(_) => None,
        };
        let operation_id = operation.id;
        told.lock().unwrap().push(Told { operation_id, seen, in_force });
    }
}

async fn resolve(
    writer: &ConfigWriter,
    table: &dyn Table,
    operation_id: &OperationId,
) -> Option<ConfigVersion> {
    loop {
        match writer.resolve(table, operation_id).await {
            Some(OperationOutcome::Active(version)) => return Some(version),
            Some(OperationOutcome::Never) => return None,
            None => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

/// Follows for as long as the run lasts; keeps each configuration that it came to.
async fn follow(table: Arc<dyn Table>, seen: Arc<Mutex<Vec<Config>>>) {
    let mut held = Config::default();
    loop {
        if let Ok(PollResult::Newer(config) | PollResult::Reloaded(config)) =
            poll(&*table, &held).await
        {
            seen.lock().unwrap().push(config.clone());
            held = config;
        }
        tokio::time::sleep(Duration::from_millis(70)).await;
    }
}

async fn run(seed: u64, odds: Odds, variant: Variant) -> Result<(), String> {
    let memory = Arc::new(MemoryTable::default());
    let inner = FaultyTable::new(memory.clone(), odds, seed);
    let table: Arc<dyn Table> = Arc::new(Checks { inner, variant });
    let told = Arc::new(Mutex::new(Vec::new()));
    let seen = Arc::new(Mutex::new(Vec::new()));
    let follower = tokio::spawn(follow(table.clone(), seen.clone()));
    let operators: Vec<_> = (0..OPERATORS)
        .map(|operator| tokio::spawn(operate(table.clone(), told.clone(), seed, operator)))
        .collect();
    for operator in operators {
        operator.await.unwrap();
    }
    // Late transactions have come in by then.
    tokio::time::sleep(odds.late_max * 2).await;
    follower.abort();
    let changes: Vec<Change> = memory
        .scan(Scan::prefix("config/change/"))
        .await
        .unwrap()
        .iter()
        .map(|row| serde_json::from_slice(&row.value).unwrap())
        .collect();
    assert!(!changes.is_empty(), "nothing was changed");
    check_told(&told.lock().unwrap(), &changes)?;
    check_followed(&seen.lock().unwrap(), &changes)?;
    let whole = load(&*memory).await.unwrap();
    let last = changes.last().and_then(|change| change.digest.clone());
    if last != Some(whole.digest()) {
        return Err("the rows are not what the changes say".to_owned());
    }
    Ok(())
}

fn check_told(told: &[Told], changes: &[Change]) -> Result<(), String> {
    for call in told {
        let is_ours = |change: &&Change| change.operation_id.as_ref() == Some(&call.operation_id);
        let made: Vec<_> = changes.iter().filter(is_ours).map(|change| change.version).collect();
        let wanted: Vec<_> = call.in_force.into_iter().collect();
        if made != wanted {
            return Err(format!("told {wanted:?}, made {made:?}"));
        }
        let rivals = told.iter().filter(|other| {
            other.seen.is_some() && other.seen == call.seen && other.in_force.is_some()
        });
        if rivals.count() > 1 {
            return Err(format!("two changes rest on version {:?}", call.seen));
        }
    }
    Ok(())
}

fn check_followed(seen: &[Config], changes: &[Change]) -> Result<(), String> {
    if let Some(pair) = seen.windows(2).find(|pair| pair[0].version >= pair[1].version) {
        return Err(format!("{} came after {}", pair[1].version, pair[0].version));
    }
    for config in seen {
        let change = changes.iter().find(|change| change.version == config.version);
        if change.and_then(|change| change.digest.clone()) != Some(config.digest()) {
            return Err(format!("version {} is not what was accepted", config.version));
        }
    }
    Ok(())
}

fn run_virtual(seed: u64, odds: Odds, variant: Variant) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(run(seed, odds, variant))
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        max_shrink_iters: 0,
        rng_seed: RngSeed::Fixed(4),
        ..ProptestConfig::default()
    }
}

fn plans() -> impl Strategy<Value = (u64, Odds)> {
    (any::<u64>(), 0..15_u32, 0..15_u32, 0..20_u32, 0..15_u32, 0..15_u32, 1..60_u64).prop_map(
        |(seed, unread_percent, lost_percent, unanswered_percent, late_percent, twice, ms)| {
            let odds = Odds {
                unread_percent,
                lost_percent,
                unanswered_percent,
                late_percent,
                twice_percent: twice,
                delay_max: Duration::from_millis(ms),
                late_max: Duration::from_secs(20),
            };
            (seed, odds)
        },
    )
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn operators_are_told_the_truth((seed, odds) in plans()) {
        prop_assert_eq!(run_virtual(seed, odds, Variant::Whole), Ok(()));
    }
}

#[rstest::rstest]
#[case::no_head_precondition(Variant::NoHeadPrecondition)]
#[case::no_operation_id(Variant::NoOperationId)]
fn a_check_left_out_is_found(#[case] variant: Variant) {
    let found = TestRunner::new(config()).run(&plans(), |(seed, odds)| {
        run_virtual(seed, odds, variant).map_err(TestCaseError::fail)
    });
    assert!(found.is_err(), "{variant:?} went through all runs");
}
