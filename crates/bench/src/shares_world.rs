//! Simulates the requests of one service under the fair queue in virtual time.
//!
//! The nodes share the slots of the service. A freed slot stays with its node while requests wait
//! there, and otherwise goes to a node at which requests wait. Nodes learn each other's counts from
//! heartbeats.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use model::Contract;
use model::TeamRef;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use shares::Class;
use shares::Entry;
use shares::FairQueue;
use shares::PeerCounts;
use shares::Settings;
use shares::TeamCounts;

use crate::virtual_time::EventQueue;
use crate::virtual_time::exponential;
use crate::virtual_time::quantile;

/// Number of nodes.
pub const NODES: usize = 8;
/// Number of slots of the service.
pub const SLOTS: usize = 80;
const MEAN_RUN_TIME: Duration = Duration::from_millis(250);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Virtual time before which waits, idle slots and shares are not evaluated.
const WARM_UP: Duration = Duration::from_secs(20);
const SIMULATED_TIME: Duration = Duration::from_secs(320);
/// Time in the queue after which a request expires.
const WAIT_MAX: Duration = Duration::from_secs(10);
/// Length of a burst.
const BURST_LENGTH: Duration = Duration::from_secs(4);
/// Time between the starts of two bursts.
const BURST_INTERVAL: Duration = Duration::from_secs(20);
/// Arrival rate in a burst, as a multiple of the mean rate.
const BURST_FACTOR: f64 = 5.0;
/// Arrival rate between bursts, as a multiple of the mean rate.
const LULL_FACTOR: f64 = 0.05;
/// Arrival rate in a burst, as a multiple of the rate that the slots can serve.
const BURST_LOAD: f64 = 1.5;
/// Fraction of the requests that are urgent, under [`Load::Bursts`].
const URGENT_FRACTION: f64 = 0.03;

/// How the next request is chosen.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Fair queue that counts what each team receives from all nodes.
    FleetShares,
    /// Fair queue that counts what each team receives from the node of the queue only.
    NodeShares,
    /// Requests start in the order of their arrival at the node.
    FirstComeFirstServed,
}

/// Pattern of the requests.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Load {
    /// Every team requests twice its share, unevenly distributed over all nodes.
    Uneven,
    /// Every team requests twice its share, unevenly distributed over three nodes.
    Concentrated,
    /// All teams send bursts of `BURST_LENGTH` and few requests in between.
    Bursts,
}

enum Event {
    Arrival { team: usize },
    Finish { node: usize, ticket: u64, team: usize, started_at: Duration },
    Heartbeat { node: usize },
    Expire,
}

/// A request at one node; its index in [`Node::requests`] is its ticket.
struct Request {
    team: usize,
    class: Class,
    arrived_at: Duration,
}

/// Queue of one node.
enum Queue {
    Fair(Box<FairQueue>),
    Fifo { waiting: VecDeque<(u64, Duration)>, next_ticket: u64 },
}

struct Node {
    queue: Queue,
    /// All requests that the queue has accepted, by ticket.
    requests: Vec<Request>,
    /// Number of running requests by team.
    running: Vec<u32>,
    /// Number of waiting requests by team.
    queued: Vec<u32>,
    /// Counts in the last heartbeat, by team.
    reported: Vec<ReportedCounts>,
}

/// Counts of one team in a heartbeat.
#[derive(Clone, Copy, Default)]
struct ReportedCounts {
    running: u32,
    queued: u32,
    served: Duration,
}

struct Team {
    name: TeamRef,
    share_weight: u32,
    running_max: u32,
    /// Fraction of the team's requests that arrives at each node.
    node_fractions: Vec<f64>,
}

#[derive(Default)]
struct Stats {
    /// Service that each team received in each second, in slot seconds.
    service: Vec<Vec<f64>>,
    /// Queue waits of urgent and of normal requests, in seconds.
    waits_s: [Vec<f64>; 2],
    refused: usize,
    expired: usize,
    /// Slot seconds that were idle while requests were waiting.
    idle_slot_s: f64,
    /// All slot seconds while requests were waiting.
    slot_s_while_waiting: f64,
}

/// The simulated nodes, teams and requests, and the statistics of the run.
pub struct World {
    load: Load,
    policy: Policy,
    /// Instant that corresponds to virtual time 0.
    epoch: Instant,
    rng: SmallRng,
    teams: Vec<Team>,
    nodes: Vec<Node>,
    events: EventQueue<Event>,
    free_slots: usize,
    stats: Stats,
}

impl World {
    /// Creates a service with the teams of `contract`; `seed` determines the requests.
    pub fn new(contract: &Contract, load: Load, policy: Policy, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let count = contract.teams.len();
        let teams: Vec<Team> = contract
            .teams
            .iter()
            .enumerate()
            .map(|(index, team)| Team {
                name: TeamRef::new(contract.customer.clone(), team.name.clone()),
                share_weight: team.share_weight,
                running_max: if load == Load::Bursts { team.running_max } else { u32::MAX },
                node_fractions: node_fractions(load, index, &mut rng),
            })
            .collect();
        let nodes = (0..NODES)
            .map(|_| Node {
                queue: new_queue(policy),
                requests: Vec::new(),
                running: vec![0; count],
                queued: vec![0; count],
                reported: vec![ReportedCounts::default(); count],
            })
            .collect();
        let seconds = SIMULATED_TIME.as_secs() as usize + 1;
        let stats = Stats { service: vec![vec![0.0; count]; seconds], ..Stats::default() };
        let epoch = Instant::now();
        let events = EventQueue::default();
        Self { load, policy, epoch, rng, teams, nodes, events, free_slots: SLOTS, stats }
    }

    /// Runs the simulation to its end.
    pub fn run(&mut self) {
        for team in 0..self.teams.len() {
            self.events.schedule(Duration::ZERO, Event::Arrival { team });
        }
        for node in 0..NODES {
            let offset = HEARTBEAT_INTERVAL.mul_f64(node as f64 / NODES as f64);
            self.events.schedule(offset, Event::Heartbeat { node });
        }
        self.events.schedule(Duration::ZERO, Event::Expire);
        let mut previous = Duration::ZERO;
        while let Some((now, event)) = self.events.pop() {
            if now >= SIMULATED_TIME {
                return;
            }
            self.account_idle(previous, now);
            previous = now;
            match event {
                Event::Arrival { team } => self.handle_arrival(team, now),
                Event::Finish { node, ticket, team, started_at } => {
                    self.handle_finish(node, ticket, team, started_at, now);
                }
                Event::Heartbeat { node } => self.handle_heartbeat(node, now),
                Event::Expire => self.handle_expiry(now),
            }
        }
    }

    /// Accounts for the slots that were idle since `previous` although requests were waiting.
    fn account_idle(&mut self, previous: Duration, now: Duration) {
        let elapsed_s = (now - previous).as_secs_f64();
        let waiting: u32 = self.nodes.iter().flat_map(|node| &node.queued).sum();
        if waiting > 0 && now > WARM_UP {
            self.stats.idle_slot_s += self.free_slots as f64 * elapsed_s;
            self.stats.slot_s_while_waiting += SLOTS as f64 * elapsed_s;
        }
    }

    /// Returns the arrival rate of a team, in requests per second.
    fn rate(&self, team: usize, now: Duration) -> f64 {
        let capacity = SLOTS as f64 / MEAN_RUN_TIME.as_secs_f64();
        let weights: u32 = self.teams.iter().map(|team| team.share_weight).sum();
        let share = f64::from(self.teams[team].share_weight) / f64::from(weights);
        if self.load != Load::Bursts {
            return 2.0 * capacity * share;
        }
        let in_burst = now.as_millis() % BURST_INTERVAL.as_millis() < BURST_LENGTH.as_millis();
        let factor = if in_burst { BURST_FACTOR } else { LULL_FACTOR };
        capacity * share * BURST_LOAD / BURST_FACTOR * factor
    }

    fn handle_arrival(&mut self, team: usize, now: Duration) {
        let rate = self.rate(team, now);
        let gap = exponential(Duration::from_secs_f64(1.0 / rate), self.rng.random());
        // A gap must not extend past the next full second, at which the rate may change.
        let rate_change = Duration::from_secs(now.as_secs() + 1);
        let arrival = now + gap;
        if self.load == Load::Bursts && arrival > rate_change {
            self.events.schedule(rate_change + exponential(gap, 0.5), Event::Arrival { team });
        } else {
            self.events.schedule(arrival, Event::Arrival { team });
        }
        let node = draw_index(&self.teams[team].node_fractions, self.rng.random());
        let is_urgent = self.load == Load::Bursts && self.rng.random::<f64>() < URGENT_FRACTION;
        let class = if is_urgent { Class::Urgent } else { Class::Normal };
        let at = self.epoch + now;
        let entry = Entry {
            team: self.teams[team].name.clone(),
            share_weight: self.teams[team].share_weight,
            class,
            deadline: at + WAIT_MAX,
        };
        let target = &mut self.nodes[node];
        let ticket = match &mut target.queue {
            Queue::Fair(queue) => match queue.push(entry, at) {
                Ok(ticket) => ticket,
                Err(_) => {
                    self.stats.refused += 1;
                    return;
                }
            },
            Queue::Fifo { waiting, next_ticket } => {
                if waiting.len() >= 400 {
                    self.stats.refused += 1;
                    return;
                }
                let ticket = *next_ticket;
                *next_ticket += 1;
                waiting.push_back((ticket, now));
                ticket
            }
        };
        assert_eq!(ticket as usize, target.requests.len());
        target.requests.push(Request { team, class, arrived_at: now });
        target.queued[team] += 1;
        self.remove_expired(node, now);
        if self.free_slots > 0 {
            self.start_next(node, now);
        }
    }

    /// Starts the next request of a node; returns false if none may run.
    fn start_next(&mut self, node: usize, now: Duration) -> bool {
        let running: Vec<u32> = (0..self.teams.len())
            .map(|team| self.nodes.iter().map(|node| node.running[team]).sum())
            .collect();
        let teams = &self.teams;
        let may_run = |name: &TeamRef| {
            let team =
                teams.iter().position(|team| team.name == *name).expect("the team is configured");
            running[team] < teams[team].running_max
        };
        let target = &mut self.nodes[node];
        let ticket = match &mut target.queue {
            Queue::Fair(queue) => queue.pop(self.epoch + now, may_run),
            Queue::Fifo { waiting, .. } => {
                let next = waiting.iter().position(|(ticket, _)| {
                    let team = target.requests[*ticket as usize].team;
                    running[team] < teams[team].running_max
                });
                next.and_then(|position| waiting.remove(position)).map(|(ticket, _)| ticket)
            }
        };
        let Some(ticket) = ticket else {
            return false;
        };
        let request = &target.requests[ticket as usize];
        let (team, class, waited) = (request.team, request.class, now - request.arrived_at);
        target.queued[team] -= 1;
        target.running[team] += 1;
        self.free_slots -= 1;
        if now > WARM_UP {
            self.stats.waits_s[class as usize].push(waited.as_secs_f64());
        }
        let run = exponential(MEAN_RUN_TIME, self.rng.random());
        self.events.schedule(now + run, Event::Finish { node, ticket, team, started_at: now });
        true
    }

    fn handle_finish(
        &mut self,
        node: usize,
        ticket: u64,
        team: usize,
        started_at: Duration,
        now: Duration,
    ) {
        let target = &mut self.nodes[node];
        target.running[team] -= 1;
        if let Queue::Fair(queue) = &mut target.queue {
            queue.finish(ticket, self.epoch + now);
        }
        self.account_service(team, started_at, now);
        self.free_slots += 1;
        let others = (1..NODES).map(|step| (node + step) % NODES);
        // The slot stays with its node while requests wait there.
        for candidate in std::iter::once(node).chain(others) {
            if self.start_next(candidate, now) {
                return;
            }
        }
    }

    /// Adds the service of a request to each second in which it ran.
    fn account_service(&mut self, team: usize, started_at: Duration, ended_at: Duration) {
        let (mut from, until) = (started_at.as_secs_f64(), ended_at.as_secs_f64());
        while from < until {
            let second = from as usize;
            let to = until.min((second + 1) as f64);
            self.stats.service[second.min(SIMULATED_TIME.as_secs() as usize)][team] += to - from;
            from = to;
        }
    }

    fn handle_heartbeat(&mut self, node: usize, now: Duration) {
        self.events.schedule(now + HEARTBEAT_INTERVAL, Event::Heartbeat { node });
        let sender = &mut self.nodes[node];
        if let Queue::Fair(queue) = &mut sender.queue {
            for counts in queue.counts(self.epoch + now) {
                let team = self.teams.iter().position(|team| team.name == counts.team);
                let team = team.expect("the team is configured");
                let TeamCounts { running, queued, served, .. } = counts;
                sender.reported[team] = ReportedCounts { running, queued, served };
            }
        }
        if self.policy != Policy::FleetShares {
            return;
        }
        for receiver in (0..NODES).filter(|&receiver| receiver != node) {
            let counts: Vec<PeerCounts> = self
                .teams
                .iter()
                .enumerate()
                .map(|(team, team_settings)| {
                    let others = (0..NODES).filter(|&other| other != receiver);
                    let reported: Vec<ReportedCounts> =
                        others.map(|o| self.nodes[o].reported[team]).collect();
                    PeerCounts {
                        team: team_settings.name.clone(),
                        share_weight: team_settings.share_weight,
                        served: reported.iter().map(|reported| reported.served).sum(),
                        running: reported.iter().map(|reported| reported.running).sum(),
                        queued: reported.iter().map(|reported| reported.queued).sum(),
                        nodes: reported.iter().filter(|reported| reported.queued > 0).count()
                            as u32,
                    }
                })
                .collect();
            if let Queue::Fair(queue) = &mut self.nodes[receiver].queue {
                queue.observe_peers(&counts, self.epoch + now);
            }
        }
    }

    fn handle_expiry(&mut self, now: Duration) {
        self.events.schedule(now + Duration::from_millis(100), Event::Expire);
        for node in 0..NODES {
            self.remove_expired(node, now);
        }
    }

    fn remove_expired(&mut self, node: usize, now: Duration) {
        let target = &mut self.nodes[node];
        let expired = match &mut target.queue {
            Queue::Fair(queue) => queue.expire(self.epoch + now),
            Queue::Fifo { waiting, .. } => {
                let expired_count = waiting.partition_point(|(_, at)| now - *at >= WAIT_MAX);
                waiting.drain(..expired_count).map(|(ticket, _)| ticket).collect()
            }
        };
        for ticket in expired {
            target.queued[target.requests[ticket as usize].team] -= 1;
            self.stats.expired += 1;
        }
    }

    /// Returns the largest relative deviation of a team's service from its share, over all windows
    /// of `seconds`.
    fn share_error(&self, seconds: usize) -> f64 {
        let weights: f64 = self.teams.iter().map(|team| f64::from(team.share_weight)).sum();
        let first = WARM_UP.as_secs() as usize;
        let windows =
            self.stats.service[first..SIMULATED_TIME.as_secs() as usize].chunks_exact(seconds);
        let mut largest: f64 = 0.0;
        for window in windows {
            let total: f64 = window.iter().flatten().sum();
            for (team, team_settings) in self.teams.iter().enumerate() {
                let received: f64 = window.iter().map(|second| second[team]).sum();
                let expected = total * f64::from(team_settings.share_weight) / weights;
                largest = largest.max((received / expected - 1.0).abs());
            }
        }
        largest
    }

    /// Prints the statistics as one line.
    pub fn print(&mut self) {
        let load = match self.load {
            Load::Uneven => "backlogged, uneven",
            Load::Concentrated => "backlogged, 3 nodes each",
            Load::Bursts => "bursts",
        };
        let policy = match self.policy {
            Policy::FleetShares => "fleet shares",
            Policy::NodeShares => "node-local shares",
            Policy::FirstComeFirstServed => "first come",
        };
        print!("  {load:<25}{policy:<18}");
        if self.load != Load::Bursts {
            let (ten, sixty) = (self.share_error(10), self.share_error(60));
            print!("share error 10 s {:5.1}%  60 s {:5.1}%  ", 100.0 * ten, 100.0 * sixty);
        }
        let [urgent, normal] = &mut self.stats.waits_s;
        let idle = self.stats.idle_slot_s / self.stats.slot_s_while_waiting.max(1e-9);
        print!("wait p50 {:.2} s p99 {:.2} s  ", quantile(normal, 0.5), quantile(normal, 0.99));
        if self.load == Load::Bursts {
            print!(
                "urgent p50 {:.2} s p99 {:.2} s  ",
                quantile(urgent, 0.5),
                quantile(urgent, 0.99)
            );
        }
        let Stats { refused, expired, .. } = self.stats;
        println!("idle {:.2}%  refused {refused}  expired {expired}", 100.0 * idle);
    }
}

fn new_queue(policy: Policy) -> Queue {
    if policy == Policy::FirstComeFirstServed {
        return Queue::Fifo { waiting: VecDeque::new(), next_ticket: 0 };
    }
    let settings = Settings { waiting_max: 400, wait_max: WAIT_MAX, urgent_percent: 25 };
    Queue::Fair(Box::new(FairQueue::new(settings)))
}

/// Draws the fraction of a team's requests that arrives at each node.
fn node_fractions(load: Load, team: usize, rng: &mut SmallRng) -> Vec<f64> {
    let mut fractions = [0.0; NODES];
    for (node, fraction) in fractions.iter_mut().enumerate() {
        let is_near = (node + NODES - team) % NODES < 3;
        *fraction = match load {
            Load::Concentrated if !is_near => 0.0,
            _ => rng.random_range(1.0..8.0),
        };
    }
    let total: f64 = fractions.iter().sum();
    fractions.iter().map(|fraction| fraction / total).collect()
}

/// Converts a number that is uniform in 0..1 into an index with the given probabilities.
fn draw_index(fractions: &[f64], uniform: f64) -> usize {
    let mut total = 0.0;
    for (index, fraction) in fractions.iter().enumerate() {
        total += fraction;
        if uniform < total {
            return index;
        }
    }
    fractions.iter().rposition(|fraction| *fraction > 0.0).unwrap_or(0)
}
