//! Checks that no incarnation acts after its takeover was allowed, which would be an overlap: over
//! all interleavings of three nodes within a budget of actions, and over random walks of six nodes.
//! To show that the search can find an overlap, each rule of the protocol is omitted in turn, and
//! the search must then find one.

#[path = "overlap/world.rs"]
mod world;

use std::collections::HashSet;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

use crate::world::Action;
use crate::world::OmittedRule;
use crate::world::World;

const HOLDER: usize = 0;
const SUCCESSOR: usize = 1;
const WITNESS: usize = 2;

/// Actions that a branch of the search may still take.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Budget {
    ticks: u8,
    heartbeats: [u8; 3],
    reads: [u8; 3],
    restarts: [u8; 3],
}

impl Budget {
    fn spend(mut self, action: Action) -> Option<Self> {
        let remaining = match action {
            Action::Tick => &mut self.ticks,
            Action::Heartbeats(index) => &mut self.heartbeats[index],
            Action::ReadOwn(index) | Action::ReadAll(index) => &mut self.reads[index],
            Action::Restart(index) => &mut self.restarts[index],
            _ => return Some(self),
        };
        *remaining = remaining.checked_sub(1)?;
        Some(self)
    }
}

/// Number of states at which a search is aborted and its test fails.
const STATES_MAX: usize = 1_000_000;

struct SearchResult {
    states: usize,
    overlaps: usize,
    /// States in which the takeover of the holder is allowed.
    takeovers: usize,
    /// States in which the holder acts on its quorum lease alone.
    quorum_lease_only: usize,
}

fn explore(omitted_rule: OmittedRule, budget: Budget) -> SearchResult {
    let world = World::new(3, 3, omitted_rule, Instant::now());
    let mut seen = HashSet::new();
    let mut open = vec![(world, budget)];
    let mut result = SearchResult { states: 0, overlaps: 0, takeovers: 0, quorum_lease_only: 0 };
    while let Some((world, budget)) = open.pop() {
        result.states += 1;
        assert!(result.states < STATES_MAX, "the search exceeded its limit of states");
        let holder = &world.nodes[HOLDER];
        result.takeovers += usize::from(world.rows[HOLDER].takeover_up_to > 0);
        let has_quorum_lease_only =
            holder.has_quorum_lease(world.now) && !holder.has_table_lease(world.now);
        result.quorum_lease_only += usize::from(has_quorum_lease_only);
        if world.has_overlap() {
            result.overlaps += 1;
            return result;
        }
        let fixed = [
            Action::Tick,
            Action::Heartbeats(HOLDER),
            Action::Heartbeats(SUCCESSOR),
            Action::Heartbeats(WITNESS),
            Action::ReadOwn(HOLDER),
            Action::ReadAll(SUCCESSOR),
            Action::ReadAll(WITNESS),
            Action::Evict(HOLDER),
            Action::AllowTakeover(SUCCESSOR),
            Action::Restart(HOLDER),
            Action::Restart(WITNESS),
        ];
        let deliveries = (0..world.packets.len()).map(Action::Deliver);
        for action in fixed.into_iter().chain(deliveries) {
            let Some(budget) = budget.spend(action) else {
                continue;
            };
            let Some(next) = world.after(action) else {
                continue;
            };
            if seen.insert((next.fingerprint(), budget)) {
                open.push((next, budget));
            }
        }
    }
    result
}

/// Heartbeats whose replies arrive late.
const LATE_REPLIES: Budget =
    Budget { ticks: 2, heartbeats: [2, 1, 0], reads: [0, 1, 0], restarts: [0, 0, 0] };
/// The holder also renews its table lease.
const TABLE_LEASE: Budget =
    Budget { ticks: 2, heartbeats: [1, 1, 0], reads: [1, 1, 0], restarts: [0, 0, 0] };
/// The witness restarts and is informed by its peers.
const INFORMED_BY_PEERS: Budget =
    Budget { ticks: 1, heartbeats: [1, 1, 1], reads: [0, 1, 0], restarts: [0, 0, 1] };
/// The witness restarts and is informed by the table.
const INFORMED_BY_TABLE: Budget =
    Budget { ticks: 1, heartbeats: [1, 1, 0], reads: [0, 1, 1], restarts: [0, 0, 1] };
/// The holder restarts.
const HOLDER_RESTARTS: Budget =
    Budget { ticks: 1, heartbeats: [1, 1, 0], reads: [0, 1, 0], restarts: [1, 0, 0] };

#[rstest]
#[case::late(LATE_REPLIES)]
#[case::table(TABLE_LEASE)]
#[case::informed_by_peers(INFORMED_BY_PEERS)]
#[case::informed_by_table(INFORMED_BY_TABLE)]
#[case::holder_restarts(HOLDER_RESTARTS)]
fn no_node_acts_after_its_takeover_in_any_interleaving(#[case] budget: Budget) {
    let result = explore(OmittedRule::Nothing, budget);
    println!(
        "{} states, {} with a takeover, {} on the quorum lease alone",
        result.states, result.takeovers, result.quorum_lease_only
    );
    assert_eq!(result.overlaps, 0);
    assert!(result.takeovers > 0, "no state with a takeover was reached");
    assert!(result.quorum_lease_only > 0, "no state with only a quorum lease was reached");
}

#[rstest]
#[case::wait(OmittedRule::Wait, LATE_REPLIES)]
#[case::majority(OmittedRule::Majority, LATE_REPLIES)]
#[case::matching(OmittedRule::Matching, LATE_REPLIES)]
#[case::witness(OmittedRule::Witness, INFORMED_BY_PEERS)]
fn omitting_a_rule_lets_a_node_act_after_its_takeover(
    #[case] omitted_rule: OmittedRule,
    #[case] budget: Budget,
) {
    let result = explore(omitted_rule, budget);
    println!("{omitted_rule:?} omitted: overlap found after {} states", result.states);
    assert!(result.overlaps > 0);
}

/// Nodes of the random walks; the first [`INITIAL_MEMBERS`] are members at the start.
const WALK_NODES: usize = 6;
const INITIAL_MEMBERS: usize = 5;
const WALKS: u64 = 150;
const WALK_STEPS: usize = 600;

/// Returns a random action; deliveries, heartbeats and reads are more frequent than faults.
fn random_action(rng: &mut StdRng, world: &World) -> Action {
    let node = rng.random_range(0..WALK_NODES);
    match rng.random_range(0..100) {
        0..8 => Action::Tick,
        8..20 => Action::Heartbeats(node),
        20..23 => Action::ReadOwn(node),
        23..29 => Action::ReadAll(node),
        29 => Action::Evict(node),
        30..36 => Action::AllowTakeover(node),
        36 => Action::Restart(node),
        37 => Action::PutMember(node),
        38 => Action::RemoveMember(node),
        39..43 => Action::Drop(rng.random_range(0..=world.packets.len())),
        _ => Action::Deliver(rng.random_range(0..=world.packets.len())),
    }
}

#[test]
fn no_node_acts_after_its_takeover_in_random_walks_with_list_changes() {
    let (mut takeovers, mut quorum_leases, mut lists) = (0, 0, 0);
    for seed in 0..WALKS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut world =
            World::new(WALK_NODES, INITIAL_MEMBERS, OmittedRule::Nothing, Instant::now());
        for step in 0..WALK_STEPS {
            let action = random_action(&mut rng, &world);
            let Some(next) = world.after(action) else {
                continue;
            };
            world = next;
            assert!(!world.has_overlap(), "seed {seed}, step {step}, {action:?}");
            let holder = &world.nodes[HOLDER];
            quorum_leases += usize::from(holder.has_quorum_lease(world.now));
        }
        takeovers += world.rows.iter().filter(|row| row.takeover_up_to > 0).count();
        lists += world.list.version - 1;
    }
    println!(
        "{takeovers} takeovers, {quorum_leases} states with a quorum lease, {lists} list changes"
    );
    assert!(takeovers > 0 && quorum_leases > 0 && lists > 0);
}
