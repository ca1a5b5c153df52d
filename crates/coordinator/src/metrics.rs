//! Names of a node's metrics.

use telemetry::Kind;
use telemetry::MetricSpec;

/// Requests of callers with a known queue and key.
pub const REQUESTS: &str = "requests";
/// Requests refused for an unknown queue or key, or because the configuration may be outdated.
pub const REQUESTS_REFUSED: &str = "requests.refused";
/// Submissions whose body is not a valid job.
pub const JOBS_MALFORMED: &str = "jobs.malformed";
/// Time until a submission is answered.
pub const JOBS_SUBMIT: &str = "jobs.submit";
/// Jobs that this owner has stored.
pub const JOBS_ACCEPTED: &str = "jobs.accepted";
/// Submissions that this node could not store.
pub const JOBS_NOT_STORED: &str = "jobs.not-stored";
/// Jobs whose final state this owner has stored.
pub const JOBS_ENDED: &str = "jobs.ended";
/// Time from the acceptance of a job to the start of its first unit.
pub const JOBS_WAIT: &str = "jobs.wait";
/// Live jobs at this owner; 0 at other nodes.
pub const JOBS_LIVE: &str = "jobs.live";
/// Start commands that workers have carried out.
pub const RUNS_STARTED: &str = "runs.started";
/// Start commands that workers refused or did not answer.
pub const RUNS_NOT_STARTED: &str = "runs.not-started";
/// Start commands that cold workers have carried out.
pub const RUNS_STARTED_COLD: &str = "runs.started-cold";
/// Planned or commanded runs that were not started, for an evacuation, an old read of the operators'
/// rows or an expired ownership.
pub const STARTS_WITHHELD: &str = "starts.withheld";
/// Long-running units that were stopped in an evacuated zone, to run elsewhere.
pub const UNITS_EVACUATED: &str = "units.evacuated";
/// Runs that count as ended although no completion shows how.
pub const RUNS_LOST: &str = "runs.lost";
/// Runs that were stopped so that their units run on another worker.
pub const RUNS_MOVED: &str = "runs.moved";
/// Runs that a worker has listed although their units were assigned to another one.
pub const UNITS_ON_TWO_WORKERS: &str = "units.on-two-workers";
/// Starts whose reply doesn't show that the known incarnation of the worker has carried them out.
pub const STARTS_OF_UNKNOWN_INCARNATIONS: &str = "starts.of-unknown-incarnations";
/// Runs whose durations were recorded for the expected ones.
pub const DURATION_SAMPLES: &str = "durations.samples";
/// Time until a start command is answered.
pub const RUNS_START: &str = "runs.start";
/// Time from the report of completions until they are stored and can be acknowledged.
pub const COMPLETIONS_STORE: &str = "ends.store";
/// Polls of workers.
pub const POLLS: &str = "looks";
/// Polls that workers did not answer.
pub const POLLS_FAILED: &str = "looks.failed";
/// Polls that were made once more, since the reply was late.
pub const POLLS_REPEATED: &str = "looks.repeated";
/// Commands to hosts without a reply.
pub const HOST_COMMANDS_UNKNOWN: &str = "hosts.commands-unknown";
/// Time of a transaction of the owner.
pub const STORE_WRITE: &str = "store.write";
/// Transactions of the owner that were refused or not answered.
pub const STORE_FAILED: &str = "store.failed";
/// Transactions of the owner that the store rejects as they are.
pub const STORE_REJECTED: &str = "store.rejected";
/// Changes of the portions of quotas, or of waves, that this node has sent.
pub const DIVISIONS_CHANGED: &str = "divisions.changed";
/// Takeovers by this node.
pub const OWNERSHIP_TAKEN: &str = "ownership.taken";
/// Time from a takeover to the first decision.
pub const OWNERSHIP_LOAD: &str = "ownership.load";

/// Replies of workers, of the store and of nodes that were not read whole, since they were too large.
pub const REPLIES_TOO_LARGE: &str = "replies.too-large";

/// All metrics of a node.
pub const METRICS: &[MetricSpec] = &[
    counter(REQUESTS, "requests with a known queue and key"),
    counter(REQUESTS_REFUSED, "requests refused for their queue, key or an old configuration"),
    counter(JOBS_MALFORMED, "submissions that are not jobs"),
    timer(JOBS_SUBMIT, "time to the answer of a submission"),
    counter(JOBS_ACCEPTED, "jobs that this owner has stored"),
    counter(JOBS_NOT_STORED, "submissions that could not be stored"),
    counter(JOBS_ENDED, "jobs whose end this owner has stored"),
    timer(JOBS_WAIT, "time from the acceptance of a job to the begin of its first unit"),
    gauge(JOBS_LIVE, "live jobs at this owner"),
    counter(RUNS_STARTED, "orders to start that workers have carried out"),
    counter(RUNS_NOT_STARTED, "orders to start that workers have refused or not answered"),
    counter(RUNS_STARTED_COLD, "orders to start that cold workers have carried out"),
    counter(
        STARTS_WITHHELD,
        "starts withheld for an evacuation, an old read of the operators' rows or an expired ownership",
    ),
    counter(UNITS_EVACUATED, "long-running units moved out of evacuated zones"),
    counter(RUNS_LOST, "runs whose worker has ended or is silent, and runs that it does not list"),
    counter(RUNS_MOVED, "runs stopped on shrunk workers to run elsewhere"),
    counter(
        UNITS_ON_TWO_WORKERS,
        "runs listed by a worker although their units were assigned to another one",
    ),
    counter(
        STARTS_OF_UNKNOWN_INCARNATIONS,
        "starts that the known incarnation of the worker may not have carried out",
    ),
    counter(DURATION_SAMPLES, "runs whose durations were recorded"),
    timer(RUNS_START, "time of an order to start"),
    timer(COMPLETIONS_STORE, "time from the report of ends until they can be acknowledged"),
    counter(POLLS, "looks at workers"),
    counter(POLLS_FAILED, "looks that workers did not answer"),
    counter(POLLS_REPEATED, "looks that were repeated, since the answer was late"),
    counter(HOST_COMMANDS_UNKNOWN, "orders to hosts that were not answered"),
    timer(STORE_WRITE, "time of a transaction of the owner"),
    counter(STORE_FAILED, "transactions of the owner that were refused or not answered"),
    counter(STORE_REJECTED, "transactions of the owner that the store rejects as they are"),
    counter(DIVISIONS_CHANGED, "changes of divisions among shards that this node has sent"),
    counter(OWNERSHIP_TAKEN, "take-overs by this node"),
    counter(REPLIES_TOO_LARGE, "replies that were too large to be read whole"),
    timer(OWNERSHIP_LOAD, "time from a take-over to the first decision"),
];

const fn counter(name: &'static str, help: &'static str) -> MetricSpec {
    MetricSpec { name, kind: Kind::Counter, help }
}

const fn gauge(name: &'static str, help: &'static str) -> MetricSpec {
    MetricSpec { name, kind: Kind::Gauge, help }
}

const fn timer(name: &'static str, help: &'static str) -> MetricSpec {
    MetricSpec { name, kind: Kind::Timer, help }
}
