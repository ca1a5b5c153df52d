//! The owner carries out what the scheduler decides and stores the results.
//!
//! One task holds the [`Scheduler`]. Calls to workers, hosts, the advisor and the store run in
//! separate tasks, which send their results back as [`Event`]s.

mod actions;
mod commit;
mod divide;
mod evacuate;
mod event;
mod leases;
mod load;
mod pipeline;
mod requests;
mod run_log;
mod stats;
mod submissions;
mod write_times;

use std::sync::Arc;
use std::time::Duration;

use scheduler::Moment;
use scheduler::Scheduler;
use scheduler::SortedMap;
use scheduler::WaveId;
use scheduler::WaveState;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use self::event::Event;
use self::load::LoadedState;
use self::pipeline::Pipeline;
use self::stats::OwnerStats;
use crate::clock;
use crate::divisions::Divisions;
use crate::election::Reason;
use crate::election::VALIDITY;
use crate::evacuated_zones::EvacuatedZones;
use crate::peers::OwnerClient;
use crate::poll_schedule::PollSchedule;
use crate::ports::Platform;
use crate::ports::RowVersion;
use crate::rows::OwnerRow;
use crate::shared::HeldOwnership;
use crate::shared::OwnerRequest;
use crate::shared::Shared;

/// Longest time between two rounds of decisions.
const TICK: Duration = Duration::from_millis(100);
/// Minimum time for which an owner keeps the ownership before it hands it to a stronger node.
const OWNED_MIN: Duration = Duration::from_millis(2_000);
/// Capacity of the channels for requests and for events to the owner.
const QUEUE_CAPACITY: usize = 1_024;
/// Maximum number of events and requests that are handled before the next round of decisions,
/// beside the one that woke the owner.
const EVENTS_PER_ROUND: usize = 64;

/// The ownership as a takeover has acquired it.
pub(crate) struct AcquiredOwnership {
    /// Owner's row as it was written.
    pub row: OwnerRow,
    /// Version of the row.
    pub version: RowVersion,
    /// When the transaction of the takeover was sent.
    pub sent_at: Moment,
    /// Why the node took over.
    pub reason: Reason,
    /// For how long the previous owner had held the ownership when it sent its last transaction.
    pub previous_held: Duration,
}

/// Why an owner stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndReason {
    /// Another node has taken over.
    Superseded,
    /// The owner has released the ownership.
    Released,
}

struct Owner<P> {
    shared: Arc<Shared<P>>,
    scheduler: Scheduler,
    pipeline: Pipeline,
    epoch: u64,
    /// When this owner started to decide, after it had loaded the stored state.
    owned_since: Moment,
    events: mpsc::Sender<Event>,
    /// Calls in progress; they are aborted when the owner stops.
    calls: JoinSet<()>,
    poll_schedule: PollSchedule,
    /// When missing workers were last added to the poll schedule; zero makes the next time due
    /// at once.
    poll_schedule_reviewed_at: Moment,
    /// State of each maintenance wave as last reported to operators.
    reported_waves: SortedMap<WaveId, WaveState>,
    divisions: Divisions,
    /// When the list of hosts was last requested; zero makes the next request due at once.
    hosts_listed_at: Moment,
    is_listing_hosts: bool,
    /// Number of commands that this owner has sent to hosts.
    host_commands: u64,
    /// When a follower was last requested to take over because a transaction failed.
    takeover_requested_at: Moment,
    pools_logged_at: Moment,
    stats: OwnerStats,
    /// Evacuated zones that the scheduler knows.
    evacuated_zones: EvacuatedZones,
    /// Version of the configuration that the scheduler uses.
    config_version: u64,
    /// Set when the owner has to stop.
    end_reason: Option<EndReason>,
    release: Option<Release>,
}

/// A pending release of the ownership.
#[derive(Debug, Default)]
struct Release {
    /// Notified when the release is stored; present if the node is stopping.
    reply: Option<oneshot::Sender<()>>,
}

/// Acts as the owner until the ownership is lost or released.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>, acquired: AcquiredOwnership) {
    let epoch = acquired.row.epoch;
    let (requests_sender, requests) = mpsc::channel(QUEUE_CAPACITY);
    let ownership = HeldOwnership {
        epoch,
        requests: requests_sender,
        renewed_at: acquired.sent_at,
        is_ready: false,
    };
    *shared.owner.lock().expect("lock is never poisoned") = Some(ownership);
    let end_reason = match load::load(&shared, acquired).await {
        Some(loaded) => run_loop(&shared, loaded, epoch, requests).await,
        None => EndReason::Superseded,
    };
    shared.forget_ownership();
    telemetry::log::line("ownership-ended")
        .field("shard", shared.shard)
        .field("epoch", epoch)
        .text("why", format!("{end_reason:?}"))
        .write();
    if end_reason == EndReason::Released {
        request_takeover(&shared, epoch).await;
    }
}

/// Requests the best follower to take over the released ownership.
async fn request_takeover<P: Platform>(shared: &Shared<P>, epoch: u64) {
    let Some(address) = shared.successor(clock::now()) else {
        return;
    };
    let reply = OwnerClient { client: &shared.node.client, address, shard: shared.shard }
        .request_takeover()
        .await;
    telemetry::log::line("ownership-handed-over")
        .field("epoch", epoch)
        .text("to", address)
        .field("is_answered", reply.is_ok())
        .write();
}

async fn run_loop<P: Platform>(
    shared: &Arc<Shared<P>>,
    loaded: LoadedState,
    epoch: u64,
    mut requests: mpsc::Receiver<OwnerRequest>,
) -> EndReason {
    let (events, mut received) = mpsc::channel(QUEUE_CAPACITY);
    let mut owner = Owner {
        shared: shared.clone(),
        scheduler: loaded.scheduler,
        pipeline: loaded.pipeline,
        epoch,
        owned_since: clock::now(),
        events,
        calls: JoinSet::new(),
        poll_schedule: PollSchedule::default(),
        poll_schedule_reviewed_at: Moment::ZERO,
        reported_waves: SortedMap::default(),
        divisions: loaded.divisions,
        hosts_listed_at: Moment::ZERO,
        is_listing_hosts: false,
        host_commands: 0,
        takeover_requested_at: Moment::ZERO,
        pools_logged_at: Moment::ZERO,
        stats: OwnerStats::new(shared.node.telemetry.clone()),
        evacuated_zones: EvacuatedZones::default(),
        config_version: 0,
        end_reason: None,
        release: None,
    };
    owner.handle_inbox(loaded.inbox);
    owner.follow_registry();
    owner.follow_inbox();
    owner.follow_divisions(loaded.divisions_version);
    if let Some(ownership) = shared.owner.lock().expect("lock is never poisoned").as_mut() {
        ownership.is_ready = true;
    }
    let mut operator_state = shared.node.operator_state.subscribe();
    operator_state.mark_changed();
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Some(event) = received.recv() => owner.handle_event(event),
            Some(request) = requests.recv() => owner.handle_request(request),
            Ok(()) = operator_state.changed() => owner.apply_operator_state(),
            _ = ticks.tick() => {}
        }
        for _ in 0..EVENTS_PER_ROUND {
            if let Ok(event) = received.try_recv() {
                owner.handle_event(event);
            } else if let Ok(request) = requests.try_recv() {
                owner.handle_request(request);
            } else {
                break;
            }
        }
        while owner.calls.try_join_next().is_some() {}
        if let Some(end_reason) = owner.end_reason {
            return end_reason;
        }
        owner.run_round();
    }
}

impl<P: Platform> Owner<P> {
    /// Makes one round of decisions and carries them out.
    fn run_round(&mut self) {
        let now = clock::now();
        self.stats.record_round();
        self.stats.log(self.shared.shard, self.epoch, now);
        if self.scheduler.is_fenced() {
            telemetry::log::line("orders-fenced").field("epoch", self.epoch).write();
            self.end_reason = Some(EndReason::Superseded);
            return;
        }
        if self.release.is_none() && self.should_yield(now) {
            self.release = Some(Release::default());
        }
        self.admit_submissions(now);
        self.process_cancellations();
        let has_read_rows = self.apply_evacuations();
        let is_valid = now.saturating_sub(self.pipeline.renewed_at()) <= VALIDITY;
        // While a transaction is in flight, newly planned runs would only have to wait for the next
        // one.
        let may_plan = has_read_rows && self.pipeline.is_idle();
        match (is_valid && self.release.is_none(), may_plan) {
            (true, true) => self.scheduler.plan(now),
            (true, false) => self.scheduler.review(now),
            (false, _) => {}
        }
        if is_valid && self.release.is_none() {
            self.divide_quotas(now);
        }
        self.commit_next(now);
        self.remove_inbox_rows();
        let actions = self.scheduler.take_actions();
        self.log_starts(&actions);
        self.stats.record_counts(self.scheduler.take_counts());
        for action in actions {
            self.execute(action);
        }
        // A successor reckons with no lease that was renewed after the release. The reply to the
        // release may be lost.
        if is_valid && !self.pipeline.may_be_released() {
            self.poll_workers(now);
        }
        if is_valid {
            self.list_hosts(now);
            self.log_pools(now);
        }
    }

    /// Returns whether a stronger node should own the scheduling.
    fn should_yield(&self, now: Moment) -> bool {
        let owned_for = now.saturating_sub(self.owned_since);
        owned_for >= OWNED_MIN && !self.pipeline.is_stuck(now) && self.shared.should_yield(now)
    }

    fn apply_operator_state(&mut self) {
        let config = self.shared.node.operator_state.borrow().config.clone();
        if let Some(config) = config
            && config.version > self.config_version
        {
            self.config_version = config.version;
            self.scheduler.set_config(config.scheduling.clone());
        }
        self.apply_waves();
    }

    /// Runs a call in a task of its own; its result comes back as an event.
    fn spawn(&mut self, call: impl Future<Output = Event> + Send + 'static) {
        let events = self.events.clone();
        self.calls.spawn(async move {
            let event = call.await;
            // Sending fails only if the owner has stopped.
            let _ = events.send(event).await;
        });
    }
}
