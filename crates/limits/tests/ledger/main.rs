//! Checks that no limit is exceeded under faults of the table, and that the checks detect a ledger
//! that breaks one of its rules.

mod broken;
mod world;

use std::sync::atomic::Ordering;
use std::time::Duration;

use limits::Holder;
use limits::LimitTable;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRunner;
use standin::faulty_table::FaultRates;

use crate::world::NodeRun;
use crate::world::TestPlan;
use crate::world::Variant;
use crate::world::World;
use crate::world::keys;
use crate::world::reclaim;

/// Number of random plans that each property runs.
const CASES: u32 = 24;
/// Duration of each phase of a run, in virtual time.
const PHASE: Duration = Duration::from_secs(8);

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        max_shrink_iters: 0,
        rng_seed: RngSeed::Fixed(4),
        ..ProptestConfig::default()
    }
}

fn any_fault_rates() -> impl Strategy<Value = FaultRates> {
    (0..15_u32, 0..15_u32, 0..15_u32, 0..15_u32, 0..15_u32, 1..60_u64).prop_map(
        |(
            failed_read_percent,
            lost_commit_percent,
            lost_reply_percent,
            late_commit_percent,
            duplicate_commit_percent,
            ms,
        )| {
            FaultRates {
                failed_read_percent,
                lost_commit_percent,
                lost_reply_percent,
                late_commit_percent,
                duplicate_commit_percent,
                delay_max: Duration::from_millis(ms),
                late_delay_max: Duration::from_secs(5),
            }
        },
    )
}

fn any_plan() -> impl Strategy<Value = TestPlan> {
    (any::<u64>(), 2..5_u64, 1..14_u32, 1..10_u32, any_fault_rates()).prop_map(
        |(seed, nodes, limit, lowered, fault_rates)| TestPlan {
            seed,
            nodes,
            limit,
            lowered: lowered.min(limit),
            fault_rates,
        },
    )
}

/// Runs a plan in virtual time and returns the violations: random work, then the crash of a node
/// with its reclaim, then a lowered limit.
fn run(plan: TestPlan, variant: Variant) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async {
        let world = World::new(plan, variant);
        let start = |n, incarnation| {
            NodeRun::start(&world, Holder::new(format!("n{n}"), incarnation), variant)
        };
        let mut nodes: Vec<NodeRun> = (0..plan.nodes).map(|n| start(n, 1)).collect();
        tokio::time::sleep(PHASE).await;

        let gone = nodes.remove(0);
        gone.kill(&world);
        nodes.push(start(0, 2));
        reclaim(&world, &gone, Holder::new("reclaimer", 1)).await;
        tokio::time::sleep(PHASE).await;

        world.set_limit(plan.lowered);
        tokio::time::sleep(PHASE).await;
        assert!(world.runs.load(Ordering::Relaxed) > 0, "nothing ran");
        std::mem::take(&mut *world.violations.lock().unwrap())
    })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn limits_hold_under_faults(plan in any_plan()) {
        let violations = run(plan, Variant::Correct);
        prop_assert_eq!(violations.first(), None);
    }
}

#[rstest::rstest]
#[case::early_use(Variant::EarlyUse)]
#[case::late_release(Variant::LateRelease)]
#[case::no_precondition(Variant::NoPrecondition)]
fn omitting_a_rule_is_detected(#[case] variant: Variant) {
    let found = TestRunner::new(config()).run(&any_plan(), |plan| match run(plan, variant) {
        violations if violations.is_empty() => Ok(()),
        violations => Err(TestCaseError::fail(violations[0].clone())),
    });
    assert!(found.is_err(), "no run found a violation with {variant:?}");
}

/// Without faults, all tokens of a limit move to the one node that has demand.
#[tokio::test(start_paused = true)]
async fn tokens_follow_demand() {
    let plan =
        TestPlan { seed: 1, nodes: 4, limit: 8, lowered: 8, fault_rates: FaultRates::default() };
    let world = World::new(plan, Variant::Correct);
    let nodes: Vec<NodeRun> = (0..4)
        .map(|n| NodeRun::start(&world, Holder::new(format!("n{n}"), 1), Variant::Correct))
        .collect();
    for busy in &nodes {
        for node in &nodes {
            world.set_demand(&node.holder, if node.holder == busy.holder { 50 } else { 0 });
        }
        nodes.iter().for_each(NodeRun::stop_work);
        tokio::time::sleep(PHASE).await;
        let granted = |tokens: &LimitTable| tokens.get(&keys()[0]).map_or(0, |row| row.granted);
        assert_eq!(granted(&busy.tokens), 8);
    }
}
