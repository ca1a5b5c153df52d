//! Checks properties of the queue under random sequences of calls, with a fixed seed.

use std::time::Duration;
use std::time::Instant;

use model::TeamRef;
use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use shares::Class;
use shares::Entry;
use shares::FairQueue;
use shares::PeerCounts;
use shares::Settings;
use shares::Ticket;

const WAITING_MAX: usize = 12;
const TEAMS: usize = 4;

#[derive(Clone, Debug)]
enum Call {
    Push {
        team: usize,
        urgent: bool,
        timeout_ms: u64,
    },
    Pop {
        team_at_limit: usize,
    },
    Finish,
    Expire,
    /// Removes the entry whose ticket is `offset` below the newest one.
    Remove {
        offset: u64,
    },
    Observe {
        running: u32,
        queued: u32,
    },
    Wait {
        elapsed_ms: u64,
    },
}

fn any_call() -> impl Strategy<Value = Call> {
    prop_oneof![
        4 => (0..TEAMS, any::<bool>(), 1..5_000_u64)
            .prop_map(|(team, urgent, timeout_ms)| Call::Push { team, urgent, timeout_ms }),
        3 => (0..TEAMS).prop_map(|team_at_limit| Call::Pop { team_at_limit }),
        2 => Just(Call::Finish),
        1 => Just(Call::Expire),
        1 => (0..20_u64).prop_map(|offset| Call::Remove { offset }),
        1 => (0..50_u32, 0..50_u32).prop_map(|(running, queued)| Call::Observe { running, queued }),
        2 => (1..400_u64).prop_map(|elapsed_ms| Call::Wait { elapsed_ms }),
    ]
}

fn team(index: usize) -> TeamRef {
    TeamRef::new("levy", format!("team-{index}"))
}

/// A queue together with the tickets that it must contain.
struct CheckedQueue {
    queue: FairQueue,
    /// Waiting tickets with their teams, sorted by ticket.
    waiting: Vec<(Ticket, usize)>,
    started: Vec<Ticket>,
    now: Instant,
}

impl CheckedQueue {
    fn remove_waiting(&mut self, ticket: Ticket) -> usize {
        let index = self.waiting.binary_search_by_key(&ticket, |(ticket, _)| *ticket);
        self.waiting.remove(index.expect("each ticket is returned once")).1
    }

    fn apply(&mut self, call: &Call) {
        match *call {
            Call::Push { team: index, urgent, timeout_ms } => {
                let class = if urgent { Class::Urgent } else { Class::Normal };
                let deadline = self.now + Duration::from_millis(timeout_ms);
                let share_weight = index as u32 + 1;
                let entry = Entry { team: team(index), share_weight, class, deadline };
                if let Ok(ticket) = self.queue.push(entry, self.now) {
                    self.waiting.push((ticket, index));
                }
                self.expire();
            }
            Call::Pop { team_at_limit } => self.pop(team_at_limit),
            Call::Finish => {
                if let Some(ticket) = self.started.pop() {
                    self.queue.finish(ticket, self.now);
                }
            }
            Call::Expire => self.expire(),
            Call::Remove { offset } => {
                let newest = self.waiting.last().map_or(0, |(ticket, _)| *ticket);
                let ticket = newest.saturating_sub(offset);
                if self.queue.remove(ticket) {
                    self.remove_waiting(ticket);
                }
            }
            Call::Observe { running, queued } => {
                let counts = PeerCounts {
                    team: team(0),
                    share_weight: 1,
                    served: Duration::from_secs(u64::from(running)),
                    running,
                    queued,
                    nodes: 3,
                };
                self.queue.observe_peers(&[counts], self.now);
            }
            Call::Wait { elapsed_ms } => self.now += Duration::from_millis(elapsed_ms),
        }
    }

    fn pop(&mut self, team_at_limit: usize) {
        let excluded = team(team_at_limit);
        let popped = self.queue.pop(self.now, |team| *team != excluded);
        let may_run = self.waiting.iter().any(|(_, team)| *team != team_at_limit);
        assert_eq!(popped.is_some(), may_run, "the queue is work-conserving");
        if let Some(ticket) = popped {
            assert_ne!(self.remove_waiting(ticket), team_at_limit);
            self.started.push(ticket);
        }
    }

    fn expire(&mut self) {
        for ticket in self.queue.expire(self.now) {
            self.remove_waiting(ticket);
        }
    }
}

fn runner() -> TestRunner {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, rng)
}

#[test]
fn each_ticket_is_returned_once_and_the_queue_is_work_conserving() {
    let outcome = runner().run(&vec(any_call(), 1..200), |calls| {
        let settings = Settings {
            waiting_max: WAITING_MAX,
            wait_max: Duration::from_secs(3),
            urgent_percent: 25,
        };
        let now = Instant::now();
        let queue = FairQueue::new(settings);
        let mut checked = CheckedQueue { queue, waiting: Vec::new(), started: Vec::new(), now };
        for call in &calls {
            checked.apply(call);
            prop_assert!(checked.queue.len() <= WAITING_MAX);
            prop_assert_eq!(checked.queue.len(), checked.waiting.len());
        }
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn backlogged_teams_deviate_from_their_share_by_at_most_one_start_per_other_team() {
    // Each other team may be one start ahead of its share.
    const BOUND: f64 = (TEAMS - 1) as f64;

    let weights = vec(1..10_u32, TEAMS);
    let outcome = runner().run(&weights, |weights| {
        let mut now = Instant::now();
        let settings = Settings {
            waiting_max: 10_000,
            wait_max: Duration::from_secs(1_000),
            urgent_percent: 0,
        };
        let mut queue = FairQueue::new(settings);
        let mut teams_by_ticket = Vec::new();
        for (index, &share_weight) in weights.iter().enumerate() {
            for _ in 0..200 {
                let deadline = now + Duration::from_secs(1_000);
                let class = Class::Normal;
                queue
                    .push(Entry { team: team(index), share_weight, class, deadline }, now)
                    .unwrap();
                teams_by_ticket.push(index);
            }
        }
        let mut starts = [0_u32; TEAMS];
        for total in 1..=200_u32 {
            let ticket = queue.pop(now, |_| true).unwrap();
            starts[teams_by_ticket[ticket as usize]] += 1;
            now += Duration::from_millis(50);
            queue.finish(ticket, now);
            let weight_sum: u32 = weights.iter().sum();
            for (index, &weight) in weights.iter().enumerate() {
                let expected = f64::from(total * weight) / f64::from(weight_sum);
                prop_assert!((f64::from(starts[index]) - expected).abs() <= BOUND);
            }
        }
        Ok(())
    });
    outcome.unwrap();
}
