//! One service of a cluster under the fair queue, in virtual time.
//!
//! Eight nodes share the slots. A freed slot stays with its node while that has work, and goes to
//! one that has otherwise. Nodes learn of each other by heartbeats.

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

use crate::virtual_time::Events;
use crate::virtual_time::exponential;
use crate::virtual_time::quantile;

/// Nodes.
pub const NODES: usize = 8;
/// Slots of the service.
pub const SLOTS: usize = 80;
const RUN_MEAN: Duration = Duration::from_millis(250);
const HEARTBEAT: Duration = Duration::from_millis(500);
const WARM_UP: Duration = Duration::from_secs(20);
const LENGTH: Duration = Duration::from_secs(320);
const WAIT_MAX: Duration = Duration::from_secs(10);
/// Length of a burst, and of the cycle that it is part of.
const BURST: Duration = Duration::from_secs(4);
const CYCLE: Duration = Duration::from_secs(20);
/// Rate in a burst and between bursts, by the mean.
const BURST_FACTOR: f64 = 5.0;
const LULL_FACTOR: f64 = 0.05;
/// Rate in a burst by what the slots can do.
const BURST_LOAD: f64 = 1.5;
/// Portion of the requests that are urgent.
const URGENT: f64 = 0.03;

#[derive(Clone, Copy, PartialEq, Eq)]
/// Order of service.
pub enum Policy {
    /// Shares of the fleet.
    Fleet,
    /// Shares at each node by itself.
    Local,
    /// First come, first served.
    FirstCome,
}

#[derive(Clone, Copy, PartialEq, Eq)]
/// What callers ask for.
pub enum Load {
    /// Every team asks for twice its share, through all nodes in uneven parts.
    Uneven,
    /// Every team asks for twice its share, through three of the nodes.
    Concentrated,
    /// Bursts of seconds, with lulls between.
    Bursts,
}

enum Event {
    Arrival { team: usize },
    End { node: usize, ticket: u64, team: usize, started: Duration },
    Heartbeat { node: usize },
    Expire,
}

struct Request {
    team: usize,
    class: Class,
    arrived: Duration,
}

/// Queue of one node under one of the policies.
enum Queue {
    Fair(Box<FairQueue>),
    Fifo { waiting: VecDeque<(u64, Duration)>, next: u64 },
}

struct Node {
    queue: Queue,
    requests: Vec<Request>,
    running: Vec<u32>,
    queued: Vec<u32>,
    /// What the last heartbeat said, by team.
    told: Vec<Told>,
}

/// Part of a heartbeat about one team.
#[derive(Clone, Copy, Default)]
struct Told {
    running: u32,
    queued: u32,
    served: Duration,
}

struct Team {
    name: TeamRef,
    share_weight: u32,
    running_max: u32,
    /// Part of the team's requests that each node gets.
    nodes: Vec<f64>,
}

#[derive(Default)]
struct Seen {
    /// Slot seconds by window of one second and team.
    service: Vec<Vec<f64>>,
    waits_s: [Vec<f64>; 2],
    refused: usize,
    expired: usize,
    idle_slot_s: f64,
    slot_s_while_waiting: f64,
}

/// The nodes, their queues and what was seen.
pub struct World {
    load: Load,
    policy: Policy,
    base: Instant,
    rng: SmallRng,
    teams: Vec<Team>,
    nodes: Vec<Node>,
    events: Events<Event>,
    free: usize,
    seen: Seen,
}

impl World {
    /// The service of `contract` under a load and a policy.
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
                nodes: node_parts(load, index, &mut rng),
            })
            .collect();
        let nodes = (0..NODES)
            .map(|_| Node {
                queue: new_queue(policy),
                requests: Vec::new(),
                running: vec![0; count],
                queued: vec![0; count],
                told: vec![Told::default(); count],
            })
            .collect();
        let seconds = LENGTH.as_secs() as usize + 1;
        let seen = Seen { service: vec![vec![0.0; count]; seconds], ..Seen::default() };
        let base = Instant::now();
        let events = Events::default();
        Self { load, policy, base, rng, teams, nodes, events, free: SLOTS, seen }
    }

    /// Runs to the end.
    pub fn run(&mut self) {
        for team in 0..self.teams.len() {
            self.events.add(Duration::ZERO, Event::Arrival { team });
        }
        for node in 0..NODES {
            let offset = HEARTBEAT.mul_f64(node as f64 / NODES as f64);
            self.events.add(offset, Event::Heartbeat { node });
        }
        self.events.add(Duration::ZERO, Event::Expire);
        let mut last = Duration::ZERO;
        while let Some((now, event)) = self.events.take() {
            if now >= LENGTH {
                return;
            }
            self.measure(last, now);
            last = now;
            match event {
                Event::Arrival { team } => self.arrive(team, now),
                Event::End { node, ticket, team, started } => {
                    self.end(node, ticket, team, started, now);
                }
                Event::Heartbeat { node } => self.heartbeat(node, now),
                Event::Expire => self.expire(now),
            }
        }
    }

    fn measure(&mut self, last: Duration, now: Duration) {
        let elapsed_s = (now - last).as_secs_f64();
        let waiting: u32 = self.nodes.iter().flat_map(|node| &node.queued).sum();
        if waiting > 0 && now > WARM_UP {
            self.seen.idle_slot_s += self.free as f64 * elapsed_s;
            self.seen.slot_s_while_waiting += SLOTS as f64 * elapsed_s;
        }
    }

    /// Requests a second of a team.
    fn rate(&self, team: usize, now: Duration) -> f64 {
        let capacity = SLOTS as f64 / RUN_MEAN.as_secs_f64();
        let weights: u32 = self.teams.iter().map(|team| team.share_weight).sum();
        let part = f64::from(self.teams[team].share_weight) / f64::from(weights);
        if self.load != Load::Bursts {
            return 2.0 * capacity * part;
        }
        let in_burst = now.as_millis() % CYCLE.as_millis() < BURST.as_millis();
        let factor = if in_burst { BURST_FACTOR } else { LULL_FACTOR };
        capacity * part * BURST_LOAD / BURST_FACTOR * factor
    }

    fn arrive(&mut self, team: usize, now: Duration) {
        let rate = self.rate(team, now);
        let gap = exponential(Duration::from_secs_f64(1.0 / rate), self.rng.random());
        // No gap jumps over the next change of the rate.
        let change = Duration::from_secs(now.as_secs() + 1);
        let next = now + gap;
        if self.load == Load::Bursts && next > change {
            self.events.add(change + exponential(gap, 0.5), Event::Arrival { team });
        } else {
            self.events.add(next, Event::Arrival { team });
        }
        let node = pick(&self.teams[team].nodes, self.rng.random());
        let is_urgent = self.load == Load::Bursts && self.rng.random::<f64>() < URGENT;
        let class = if is_urgent { Class::Urgent } else { Class::Normal };
        let at = self.base + now;
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
                    self.seen.refused += 1;
                    return;
                }
            },
            Queue::Fifo { waiting, next } => {
                if waiting.len() >= 400 {
                    self.seen.refused += 1;
                    return;
                }
                let ticket = *next;
                *next += 1;
                waiting.push_back((ticket, now));
                ticket
            }
        };
        assert_eq!(ticket as usize, target.requests.len());
        target.requests.push(Request { team, class, arrived: now });
        target.queued[team] += 1;
        self.drop_gone(node, now);
        if self.free > 0 {
            self.start_at(node, now);
        }
    }

    /// Starts what the node has next; false if it has nothing that may run.
    fn start_at(&mut self, node: usize, now: Duration) -> bool {
        let running: Vec<u32> = (0..self.teams.len())
            .map(|team| self.nodes.iter().map(|node| node.running[team]).sum())
            .collect();
        let teams = &self.teams;
        let may_run = |name: &TeamRef| {
            let team = teams.iter().position(|team| team.name == *name).expect("known team");
            running[team] < teams[team].running_max
        };
        let target = &mut self.nodes[node];
        let ticket = match &mut target.queue {
            Queue::Fair(queue) => queue.pop(self.base + now, may_run),
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
        let (team, class, waited) = (request.team, request.class, now - request.arrived);
        target.queued[team] -= 1;
        target.running[team] += 1;
        self.free -= 1;
        if now > WARM_UP {
            self.seen.waits_s[class as usize].push(waited.as_secs_f64());
        }
        let run = exponential(RUN_MEAN, self.rng.random());
        self.events.add(now + run, Event::End { node, ticket, team, started: now });
        true
    }

    fn end(&mut self, node: usize, ticket: u64, team: usize, started: Duration, now: Duration) {
        let target = &mut self.nodes[node];
        target.running[team] -= 1;
        if let Queue::Fair(queue) = &mut target.queue {
            queue.finish(ticket, self.base + now);
        }
        self.count_service(team, started, now);
        self.free += 1;
        let others = (1..NODES).map(|step| (node + step) % NODES);
        // The slot stays with its node while that has work.
        for candidate in std::iter::once(node).chain(others) {
            if self.start_at(candidate, now) {
                return;
            }
        }
    }

    fn count_service(&mut self, team: usize, started: Duration, ended: Duration) {
        let (mut from, until) = (started.as_secs_f64(), ended.as_secs_f64());
        while from < until {
            let second = from as usize;
            let to = until.min((second + 1) as f64);
            self.seen.service[second.min(LENGTH.as_secs() as usize)][team] += to - from;
            from = to;
        }
    }

    fn heartbeat(&mut self, node: usize, now: Duration) {
        self.events.add(now + HEARTBEAT, Event::Heartbeat { node });
        let sender = &mut self.nodes[node];
        if let Queue::Fair(queue) = &mut sender.queue {
            for counts in queue.counts(self.base + now) {
                let team = self.teams.iter().position(|team| team.name == counts.team);
                let team = team.expect("known team");
                let TeamCounts { running, queued, served, .. } = counts;
                sender.told[team] = Told { running, queued, served };
            }
        }
        if self.policy != Policy::Fleet {
            return;
        }
        for receiver in (0..NODES).filter(|&receiver| receiver != node) {
            let counts: Vec<PeerCounts> = self
                .teams
                .iter()
                .enumerate()
                .map(|(team, named)| {
                    let others = (0..NODES).filter(|&other| other != receiver);
                    let told: Vec<Told> = others.map(|o| self.nodes[o].told[team]).collect();
                    PeerCounts {
                        team: named.name.clone(),
                        share_weight: named.share_weight,
                        served: told.iter().map(|told| told.served).sum(),
                        running: told.iter().map(|told| told.running).sum(),
                        queued: told.iter().map(|told| told.queued).sum(),
                        nodes: told.iter().filter(|told| told.queued > 0).count() as u32,
                    }
                })
                .collect();
            if let Queue::Fair(queue) = &mut self.nodes[receiver].queue {
                queue.observe_peers(&counts, self.base + now);
            }
        }
    }

    fn expire(&mut self, now: Duration) {
        self.events.add(now + Duration::from_millis(100), Event::Expire);
        for node in 0..NODES {
            self.drop_gone(node, now);
        }
    }

    fn drop_gone(&mut self, node: usize, now: Duration) {
        let target = &mut self.nodes[node];
        let gone = match &mut target.queue {
            Queue::Fair(queue) => queue.expire(self.base + now),
            Queue::Fifo { waiting, .. } => {
                let old = waiting.partition_point(|(_, at)| now - *at >= WAIT_MAX);
                waiting.drain(..old).map(|(ticket, _)| ticket).collect()
            }
        };
        for ticket in gone {
            target.queued[target.requests[ticket as usize].team] -= 1;
            self.seen.expired += 1;
        }
    }

    /// Largest relative error of any team's service over windows of `seconds`.
    fn share_error(&self, seconds: usize) -> f64 {
        let weights: f64 = self.teams.iter().map(|team| f64::from(team.share_weight)).sum();
        let first = WARM_UP.as_secs() as usize;
        let windows = self.seen.service[first..LENGTH.as_secs() as usize].chunks_exact(seconds);
        let mut largest: f64 = 0.0;
        for window in windows {
            let sum: f64 = window.iter().flatten().sum();
            for (team, named) in self.teams.iter().enumerate() {
                let got: f64 = window.iter().map(|second| second[team]).sum();
                let due = sum * f64::from(named.share_weight) / weights;
                largest = largest.max((got / due - 1.0).abs());
            }
        }
        largest
    }

    /// Prints a line with what was seen.
    pub fn print(&mut self) {
        let load = match self.load {
            Load::Uneven => "backlogged, uneven",
            Load::Concentrated => "backlogged, 3 nodes each",
            Load::Bursts => "bursts",
        };
        let policy = match self.policy {
            Policy::Fleet => "fleet shares",
            Policy::Local => "node-local shares",
            Policy::FirstCome => "first come",
        };
        print!("  {load:<25}{policy:<18}");
        if self.load != Load::Bursts {
            let (ten, sixty) = (self.share_error(10), self.share_error(60));
            print!("share error 10 s {:5.1}%  60 s {:5.1}%  ", 100.0 * ten, 100.0 * sixty);
        }
        let [urgent, normal] = &mut self.seen.waits_s;
        let idle = self.seen.idle_slot_s / self.seen.slot_s_while_waiting.max(1e-9);
        print!("wait p50 {:.2} s p99 {:.2} s  ", quantile(normal, 0.5), quantile(normal, 0.99));
        if self.load == Load::Bursts {
            print!(
                "urgent p50 {:.2} s p99 {:.2} s  ",
                quantile(urgent, 0.5),
                quantile(urgent, 0.99)
            );
        }
        let Seen { refused, expired, .. } = self.seen;
        println!("idle {:.2}%  refused {refused}  expired {expired}", 100.0 * idle);
    }
}

fn new_queue(policy: Policy) -> Queue {
    if policy == Policy::FirstCome {
        return Queue::Fifo { waiting: VecDeque::new(), next: 0 };
    }
    let settings = Settings { waiting_max: 400, wait_max: WAIT_MAX, urgent_percent: 25 };
    Queue::Fair(Box::new(FairQueue::new(settings)))
}

/// Part of a team's requests that each node gets.
fn node_parts(load: Load, team: usize, rng: &mut SmallRng) -> Vec<f64> {
    let mut parts = [0.0; NODES];
    for (node, part) in parts.iter_mut().enumerate() {
        let is_near = (node + NODES - team) % NODES < 3;
        *part = match load {
            Load::Concentrated if !is_near => 0.0,
            _ => rng.random_range(1.0..8.0),
        };
    }
    let sum: f64 = parts.iter().sum();
    parts.iter().map(|part| part / sum).collect()
}

fn pick(parts: &[f64], uniform: f64) -> usize {
    let mut sum = 0.0;
    for (index, part) in parts.iter().enumerate() {
        sum += part;
        if uniform < sum {
            return index;
        }
    }
    parts.iter().rposition(|part| *part > 0.0).unwrap_or(0)
}
