//! Names of the metrics of connections from callers.

use telemetry::Kind;
use telemetry::MetricSpec;

/// Connections closed since the budget was used up and they had the least progress.
pub const CLOSED_FOR_ROOM: &str = "inbound.closed-for-room";
/// Connections closed since a head, a body or the reading of a response took too long.
pub const CLOSED_LATE: &str = "inbound.closed-late";
/// Connections closed for a head over the limit.
pub const HEADS_TOO_LARGE: &str = "inbound.heads-too-large";
/// Bodies refused since the budget was used up.
pub const BODIES_REFUSED: &str = "inbound.bodies-refused";
/// Connections that could not be accepted for lack of descriptors.
pub const ACCEPT_FAILED: &str = "inbound.accept-failed";

/// All metrics of connections from callers.
pub const METRICS: &[MetricSpec] = &[
    counter(CLOSED_FOR_ROOM, "connections closed to make room for others"),
    counter(CLOSED_LATE, "connections closed for a late head or body, or an unread response"),
    counter(HEADS_TOO_LARGE, "connections closed for a head over the limit"),
    counter(BODIES_REFUSED, "bodies refused for lack of memory"),
    counter(ACCEPT_FAILED, "connections not accepted for lack of descriptors"),
];

const fn counter(name: &'static str, help: &'static str) -> MetricSpec {
    MetricSpec { name, kind: Kind::Counter, help }
}
