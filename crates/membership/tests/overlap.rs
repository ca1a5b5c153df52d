//! No run acts once what it held was taken: all interleavings of three nodes, and random walks of
//! six; and each rule that is left out leads to an overlap that the same search finds.

#[path = "overlap/world.rs"]
mod world;

use std::collections::HashSet;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

use crate::world::Action;
use crate::world::Broken;
use crate::world::World;

const HOLDER: usize = 0;
const TAKER: usize = 1;
const WITNESS: usize = 2;

/// Acts left in a branch of the search.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Budget {
    ticks: u8,
    beats: [u8; 3],
    reads: [u8; 3],
    restarts: [u8; 3],
}

impl Budget {
    fn spend(mut self, action: Action) -> Option<Self> {
        let left = match action {
            Action::Tick => &mut self.ticks,
            Action::Beat(index) => &mut self.beats[index],
            Action::ReadOwn(index) | Action::ReadAll(index) => &mut self.reads[index],
            Action::Restart(index) => &mut self.restarts[index],
            _ => return Some(self),
        };
        *left = left.checked_sub(1)?;
        Some(self)
    }
}

/// Bound of one search.
const STATES_MAX: usize = 1_000_000;

struct Found {
    states: usize,
    overlaps: usize,
    /// States in which the take-over was written.
    taken: usize,
    /// States in which the holder acts on a majority's confirmation alone.
    on_peers: usize,
}

fn explore(broken: Broken, budget: Budget) -> Found {
    let world = World::new(3, 3, broken, Instant::now());
    let mut seen = HashSet::new();
    let mut open = vec![(world, budget)];
    let mut found = Found { states: 0, overlaps: 0, taken: 0, on_peers: 0 };
    while let Some((world, budget)) = open.pop() {
        found.states += 1;
        assert!(found.states < STATES_MAX, "the search did not end");
        let holder = &world.nodes[HOLDER];
        found.taken += usize::from(world.rows[HOLDER].takeover_up_to > 0);
        let by_peers = holder.has_quorum_lease(world.now) && !holder.has_table_lease(world.now);
        found.on_peers += usize::from(by_peers);
        if world.overlaps() {
            found.overlaps += 1;
            return found;
        }
        let fixed = [
            Action::Tick,
            Action::Beat(HOLDER),
            Action::Beat(TAKER),
            Action::Beat(WITNESS),
            Action::ReadOwn(HOLDER),
            Action::ReadAll(TAKER),
            Action::ReadAll(WITNESS),
            Action::Evict(HOLDER),
            Action::AllowTakeover(TAKER),
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
    found
}

/// Holder and taker with late answers; then a restart of the witness, which is informed by its
/// peers or by the table; then a restart of the holder.
const LATE: Budget = Budget { ticks: 2, beats: [2, 1, 0], reads: [0, 1, 0], restarts: [0, 0, 0] };
const TABLE: Budget = Budget { ticks: 2, beats: [1, 1, 0], reads: [1, 1, 0], restarts: [0, 0, 0] };
const INFORMED_BY_PEERS: Budget =
    Budget { ticks: 1, beats: [1, 1, 1], reads: [0, 1, 0], restarts: [0, 0, 1] };
const INFORMED_BY_TABLE: Budget =
    Budget { ticks: 1, beats: [1, 1, 0], reads: [0, 1, 1], restarts: [0, 0, 1] };
const HOLDER_RESTARTS: Budget =
    Budget { ticks: 1, beats: [1, 1, 0], reads: [0, 1, 0], restarts: [1, 0, 0] };

#[rstest]
#[case::late(LATE)]
#[case::table(TABLE)]
#[case::informed_by_peers(INFORMED_BY_PEERS)]
#[case::informed_by_table(INFORMED_BY_TABLE)]
#[case::holder_restarts(HOLDER_RESTARTS)]
fn no_interleaving_of_three_nodes_overlaps(#[case] budget: Budget) {
    let found = explore(Broken::Nothing, budget);
    println!("{} states, {} taken, {} on peers", found.states, found.taken, found.on_peers);
    assert_eq!(found.overlaps, 0);
    assert!(found.taken > 0, "no take-over was reached");
    assert!(found.on_peers > 0, "no majority's confirmation was reached");
}

#[rstest]
#[case::wait(Broken::Wait, LATE)]
#[case::majority(Broken::Majority, LATE)]
#[case::matching(Broken::Matching, LATE)]
#[case::witness(Broken::Witness, INFORMED_BY_PEERS)]
fn rule_left_out_is_found(#[case] broken: Broken, #[case] budget: Budget) {
    let found = explore(broken, budget);
    println!("{broken:?}: found after {} states", found.states);
    assert!(found.overlaps > 0);
}

/// Nodes of the random walks; the first five are members at the start.
const WALKERS: usize = 6;
const LISTED: usize = 5;
const WALKS: u64 = 150;
const STEPS: usize = 600;

/// One random act; deliveries, heartbeats and reads come more often than faults.
fn random_action(rng: &mut StdRng, world: &World) -> Action {
    let node = rng.random_range(0..WALKERS);
    match rng.random_range(0..100) {
        0..8 => Action::Tick,
        8..20 => Action::Beat(node),
        20..23 => Action::ReadOwn(node),
        23..29 => Action::ReadAll(node),
        29 => Action::Evict(node),
        30..36 => Action::AllowTakeover(node),
        36 => Action::Restart(node),
        37 => Action::Put(node),
        38 => Action::Remove(node),
        39..43 => Action::Drop(rng.random_range(0..=world.packets.len())),
        _ => Action::Deliver(rng.random_range(0..=world.packets.len())),
    }
}

#[test]
fn no_random_walk_of_six_nodes_and_changing_lists_overlaps() {
    let (mut taken, mut on_peers, mut lists) = (0, 0, 0);
    for seed in 0..WALKS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut world = World::new(WALKERS, LISTED, Broken::Nothing, Instant::now());
        for step in 0..STEPS {
            let action = random_action(&mut rng, &world);
            let Some(next) = world.after(action) else {
                continue;
            };
            world = next;
            assert!(!world.overlaps(), "seed {seed}, step {step}, {action:?}");
            let holder = &world.nodes[HOLDER];
            on_peers += usize::from(holder.has_quorum_lease(world.now));
        }
        taken += world.rows.iter().filter(|row| row.takeover_up_to > 0).count();
        lists += world.list.version - 1;
    }
    println!("{taken} taken, {on_peers} states on peers, {lists} list changes");
    assert!(taken > 0 && on_peers > 0 && lists > 0);
}
