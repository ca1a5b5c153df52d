//! Division of the fleet among shards, each of which has an owner of its own.
//!
//! A shard schedules a fixed set of hosts, taken evenly from all pools, and the jobs whose ids lead
//! to it. Jobs with long-running units are the exception: those of a queue share one shard, so that
//! their units, which have to be spread over many hosts, share the same hosts. Owners therefore
//! share no worker, host or job, and one falling behind or being replaced doesn't delay the others.
//! What spans shards is divided: quotas of teams by [`scheduler::portions`], the limit of a
//! maintenance wave by [`wave_slots`].
//!
//! The first node of a fleet stores the [`Layout`]. It stays as it is, since it determines where
//! the rows of a job are. Hosts that join later are assigned by their name.

use scheduler::HostEntry;
use scheduler::HostName;
use scheduler::JobRecord;
use scheduler::PoolName;
use scheduler::ShardIndex;
use scheduler::SortedMap;
use scheduler::WorkerRegistration;
use serde::Deserialize;
use serde::Serialize;

/// Division of the fleet, as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LayoutRow {
    /// Number of shards.
    pub shard_count: usize,
    /// Number of rows that list the shards of hosts.
    pub host_rows: usize,
}

/// Division of the fleet among shards.
#[derive(Clone, Debug, Default)]
pub struct Layout {
    /// Number of shards, at least 1.
    pub shard_count: usize,
    /// Shards of the hosts that were known when the layout was made.
    pub hosts: SortedMap<HostName, ShardIndex>,
}

impl Layout {
    /// Returns the layout of a fleet that one owner schedules.
    pub fn single() -> Self {
        Self { shard_count: 1, hosts: SortedMap::default() }
    }

    /// Divides the listed hosts evenly among shards, with about `hosts_per_shard` in each.
    pub fn new(hosts: &[HostEntry], hosts_per_shard: usize) -> Self {
        let shard_count = shard_count(hosts.len(), hosts_per_shard);
        if shard_count == 1 {
            return Self::single();
        }
        let mut by_pool: Vec<(&PoolName, &HostName)> =
            hosts.iter().map(|host| (&host.pool, &host.name)).collect();
        by_pool.sort();
        // The numbers continue from one pool to the next, so that the remainders of the pools are
        // spread over all shards.
        let numbered = by_pool.into_iter().enumerate();
        let hosts = numbered.map(|(number, (_, name))| {
            let shard = number % shard_count;
            (name.clone(), shard as ShardIndex)
        });
        Self { shard_count, hosts: hosts.collect() }
    }

    /// Returns the shard of a job.
    pub fn shard_of_job(&self, record: &JobRecord) -> ShardIndex {
        match record.steps.iter().any(|step| step.is_long_running) {
            true => self.shard_of_name(&record.queue),
            false => self.shard_of_name(&record.id),
        }
    }

    /// Returns the shards that may have a job of which only the queue and id are known, the
    /// likelier one first.
    pub fn shards_of_job(&self, queue: &str, id: &str) -> Vec<ShardIndex> {
        let mut shards = vec![self.shard_of_name(id), self.shard_of_name(queue)];
        shards.dedup();
        shards
    }

    /// Returns the shard of a host.
    pub fn shard_of_host(&self, name: &str) -> ShardIndex {
        self.hosts.get(name).copied().unwrap_or_else(|| self.shard_of_name(name))
    }

    /// Returns the shard of a worker, which is that of its host.
    pub fn shard_of_worker(&self, registration: &WorkerRegistration) -> ShardIndex {
        match &registration.host {
            Some(host) => self.shard_of_host(host),
            None => self.shard_of_name(&registration.id),
        }
    }

    /// Returns the number of a wave's hosts in each shard.
    pub fn hosts_by_shard(&self, hosts: &[HostName]) -> Vec<usize> {
        let mut counts = vec![0; self.shard_count];
        for host in hosts {
            counts[usize::from(self.shard_of_host(host))] += 1;
        }
        counts
    }

    fn shard_of_name(&self, name: &str) -> ShardIndex {
        if self.shard_count <= 1 {
            return 0;
        }
        (stable_hash(name.as_bytes()) % self.shard_count as u64) as ShardIndex
    }
}

/// Returns a hash that is the same in all processes.
pub(crate) fn stable_hash(text: &[u8]) -> u64 {
    let hash = blake3::hash(text);
    let first = hash.as_bytes().first_chunk().expect("a hash has 32 bytes");
    u64::from_le_bytes(*first)
}

/// Returns the number of shards for a fleet of `host_count` hosts.
fn shard_count(host_count: usize, hosts_per_shard: usize) -> usize {
    let hosts_per_shard = hosts_per_shard.max(1);
    let rounded = (host_count + hosts_per_shard / 2) / hosts_per_shard;
    rounded.clamp(1, usize::from(ShardIndex::MAX))
}

/// Returns how many hosts of a wave each shard may make unavailable at a time.
///
/// `hosts` is the number of the wave's hosts in each shard, `slot_count` the limit for the whole
/// wave. The shards in `done` have maintained all of theirs, in this order; each passes its slots
/// on. A shard that is not done never loses a slot when `done` grows, so that owners that know
/// different beginnings of the list still keep to the limit together.
pub fn wave_slots(hosts: &[usize], slot_count: usize, done: &[ShardIndex]) -> Vec<usize> {
    let mut slots = vec![0; hosts.len()];
    let mut is_open: Vec<bool> = hosts.iter().map(|hosts| *hosts > 0).collect();
    deal(slot_count, hosts, &is_open, &mut slots);
    for shard in done.iter().map(|shard| usize::from(*shard)) {
        if is_open.get(shard).copied().unwrap_or(false) {
            is_open[shard] = false;
            let passed_on = std::mem::take(&mut slots[shard]);
            deal(passed_on, hosts, &is_open, &mut slots);
        }
    }
    slots
}

/// Adds slots one by one to the open shard with the fewest slots for each of its hosts.
fn deal(count: usize, hosts: &[usize], is_open: &[bool], slots: &mut [usize]) {
    for _ in 0..count {
        let open = (0..hosts.len()).filter(|shard| is_open[*shard]);
        // Compares the quotients of slots and hosts without rounding; shards without a slot are
        // first, so that each gets one if there are enough.
        let next = open.min_by(|a, b| {
            let (a_slots, b_slots) = (slots[*a], slots[*b]);
            let ratio = (a_slots * hosts[*b]).cmp(&(b_slots * hosts[*a]));
            (a_slots > 0).cmp(&(b_slots > 0)).then(ratio).then(a.cmp(b))
        });
        let Some(next) = next else {
            return;
        };
        slots[next] += 1;
    }
}
