//! Several operators change the configuration at the same time through a table that loses, delays
//! and repeats transactions. The result that each operator gets must match the accepted changes,
//! and the versions that a follower sees must only increase.

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
use standin::faulty_table::FaultRates;
use standin::faulty_table::FaultyTable;

const CASES: u32 = 24;
const OPERATORS: u64 = 3;
const CALLS: u32 = 8;

/// Precondition that the test removes from all transactions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    AllChecks,
    NoHeadPrecondition,
    NoOperationId,
}

/// Result of one request, as the operator got it.
#[derive(Clone, Debug)]
struct ReportedResult {
    operation_id: OperationId,
    seen: Option<ConfigVersion>,
    active_version: Option<ConfigVersion>,
}

/// Removes the precondition of the variant from each transaction and passes it on.
struct FilteringTable {
    inner: FaultyTable,
    variant: Variant,
}

#[async_trait]
impl Table for FilteringTable {
    async fn get(&self, key: &str) -> Result<Option<Row>, Unavailable> {
        self.inner.get(key).await
    }

    async fn scan(&self, scan: Scan) -> Result<Vec<Row>, Unavailable> {
        self.inner.scan(scan).await
    }

    async fn commit(&self, transaction: &Transaction) -> CommitOutcome {
        let mut transaction = transaction.clone();
        let omitted_prefix = match self.variant {
            Variant::AllChecks => "nothing",
            Variant::NoHeadPrecondition => "config/head",
            Variant::NoOperationId => "op/",
        };
        transaction.preconditions.retain(|p: &Precondition| !p.key().starts_with(omitted_prefix));
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

async fn run_operator(
    table: Arc<dyn Table>,
    reported: Arc<Mutex<Vec<ReportedResult>>>,
    seed: u64,
    operator: u64,
) {
    let mut rng = SmallRng::seed_from_u64(seed ^ operator);
    let writer = ConfigWriter::new(format!("operator {operator}"));
    for _ in 0..CALLS {
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..300))).await;
        let seen = match load(&*table).await {
            Ok(config) if rng.random_bool(0.5) => Some(config.version),
            _ => None,
        };
        let operation = Operation::new(format!("operator {operator}"));
        let new_contract = contract(rng.random_range(1..100));
        let mut result =
            writer.apply_contract_as(&*table, &operation, new_contract.clone(), seen).await;
        if rng.random_bool(0.3) && result.is_ok() {
            // Repeats the request with the same id, as an operator does after a lost reply.
            let repeat = writer.apply_contract_as(&*table, &operation, new_contract, seen).await;
            result = if repeat.is_ok() { repeat } else { result };
        }
        let active_version = match result {
            Ok(version) => Some(version),
            Err(ChangeError::Unknown { operation_id }) => {
                resolve(&writer, &*table, &operation_id).await
            }
            Err(_) => None,
        };
        let operation_id = operation.id;
        reported.lock().unwrap().push(ReportedResult { operation_id, seen, active_version });
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

/// Polls until it is aborted; records each configuration that it reaches.
async fn follow(table: Arc<dyn Table>, seen: Arc<Mutex<Vec<Config>>>) {
    let mut current = Config::default();
    loop {
        if let Ok(PollResult::Newer(config) | PollResult::Reloaded(config)) =
            poll(&*table, &current).await
        {
            seen.lock().unwrap().push(config.clone());
            current = config;
        }
        tokio::time::sleep(Duration::from_millis(70)).await;
    }
}

async fn run(seed: u64, fault_rates: FaultRates, variant: Variant) -> Result<(), String> {
    let memory = Arc::new(MemoryTable::default());
    let inner = FaultyTable::new(memory.clone(), fault_rates, seed);
    let table: Arc<dyn Table> = Arc::new(FilteringTable { inner, variant });
    let reported = Arc::new(Mutex::new(Vec::new()));
    let seen = Arc::new(Mutex::new(Vec::new()));
    let follower = tokio::spawn(follow(table.clone(), seen.clone()));
    let operators: Vec<_> = (0..OPERATORS)
        .map(|operator| tokio::spawn(run_operator(table.clone(), reported.clone(), seed, operator)))
        .collect();
    for operator in operators {
        operator.await.unwrap();
    }
    // Wait until all delayed transactions have arrived.
    tokio::time::sleep(fault_rates.late_delay_max * 2).await;
    follower.abort();
    let changes: Vec<Change> = memory
        .scan(Scan::prefix("config/change/"))
        .await
        .unwrap()
        .iter()
        .map(|row| serde_json::from_slice(&row.value).unwrap())
        .collect();
    assert!(!changes.is_empty(), "no change was accepted");
    check_reported_results(&reported.lock().unwrap(), &changes)?;
    check_followed_configs(&seen.lock().unwrap(), &changes)?;
    let loaded = load(&*memory).await.unwrap();
    let last = changes.last().and_then(|change| change.digest.clone());
    if last != Some(loaded.digest()) {
        return Err("the rows differ from the digest of the last change".to_owned());
    }
    Ok(())
}

fn check_reported_results(reported: &[ReportedResult], changes: &[Change]) -> Result<(), String> {
    for call in reported {
        let is_of_call =
            |change: &&Change| change.operation_id.as_ref() == Some(&call.operation_id);
        let accepted: Vec<_> =
            changes.iter().filter(is_of_call).map(|change| change.version).collect();
        let expected: Vec<_> = call.active_version.into_iter().collect();
        if accepted != expected {
            return Err(format!("reported versions {expected:?}, accepted versions {accepted:?}"));
        }
        let rivals = reported.iter().filter(|other| {
            other.seen.is_some() && other.seen == call.seen && other.active_version.is_some()
        });
        if rivals.count() > 1 {
            return Err(format!("two accepted changes are based on version {:?}", call.seen));
        }
    }
    Ok(())
}

fn check_followed_configs(seen: &[Config], changes: &[Change]) -> Result<(), String> {
    if let Some(pair) = seen.windows(2).find(|pair| pair[0].version >= pair[1].version) {
        return Err(format!(
            "the follower reached version {} after version {}",
            pair[1].version, pair[0].version
        ));
    }
    for config in seen {
        let change = changes.iter().find(|change| change.version == config.version);
        if change.and_then(|change| change.digest.clone()) != Some(config.digest()) {
            return Err(format!("version {} differs from the accepted change", config.version));
        }
    }
    Ok(())
}

fn run_virtual(seed: u64, fault_rates: FaultRates, variant: Variant) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(run(seed, fault_rates, variant))
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

fn seeds_and_fault_rates() -> impl Strategy<Value = (u64, FaultRates)> {
    (any::<u64>(), 0..15_u32, 0..15_u32, 0..20_u32, 0..15_u32, 0..15_u32, 1..60_u64).prop_map(
        |(
            seed,
            failed_read_percent,
            lost_commit_percent,
            lost_reply_percent,
            late_commit_percent,
            duplicate_percent,
            ms,
        )| {
            let fault_rates = FaultRates {
                failed_read_percent,
                lost_commit_percent,
                lost_reply_percent,
                late_commit_percent,
                duplicate_commit_percent: duplicate_percent,
                delay_max: Duration::from_millis(ms),
                late_delay_max: Duration::from_secs(20),
            };
            (seed, fault_rates)
        },
    )
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn reported_results_match_the_accepted_changes((seed, fault_rates) in seeds_and_fault_rates()) {
        prop_assert_eq!(run_virtual(seed, fault_rates, Variant::AllChecks), Ok(()));
    }
}

#[rstest::rstest]
#[case::no_head_precondition(Variant::NoHeadPrecondition)]
#[case::no_operation_id(Variant::NoOperationId)]
fn omitting_a_check_is_detected(#[case] variant: Variant) {
    let outcome = TestRunner::new(config()).run(&seeds_and_fault_rates(), |(seed, fault_rates)| {
        run_virtual(seed, fault_rates, variant).map_err(TestCaseError::fail)
    });
    assert!(outcome.is_err(), "no run failed with {variant:?}");
}
