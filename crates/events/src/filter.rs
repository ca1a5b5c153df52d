//! Which events a reader wants to see.

use serde::Deserialize;
use serde::Serialize;

use crate::event::Event;

/// Conditions on an event; those that are set must all hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Filter {
    /// Request id.
    pub request: Option<String>,
    /// Team, as `customer/team`.
    pub team: Option<String>,
    /// Host.
    pub host: Option<String>,
    /// Node that saw the event.
    pub node: Option<String>,
    /// Kind, as in `host-step`.
    pub kind: Option<String>,
    /// Earliest wall time, in milliseconds since the Unix epoch.
    pub since_ms: Option<u64>,
    /// Latest wall time, in milliseconds since the Unix epoch.
    pub until_ms: Option<u64>,
}

impl Filter {
    /// True if the event meets every condition.
    pub fn matches(&self, event: &Event) -> bool {
        let wall_ms = event.timestamp.wall_ms;
        self.since_ms.is_none_or(|since_ms| wall_ms >= since_ms)
            && self.until_ms.is_none_or(|until_ms| wall_ms <= until_ms)
            && self.node.as_deref().is_none_or(|node| node == &*event.node)
            && self.kind.as_deref().is_none_or(|kind| kind == event.kind_name())
            && has_detail(event, "request", self.request.as_deref())
            && has_detail(event, "team", self.team.as_deref())
            && has_detail(event, "host", self.host.as_deref())
    }
}

fn has_detail(event: &Event, name: &str, wanted: Option<&str>) -> bool {
    let Some(wanted) = wanted else {
        return true;
    };
    event.details().iter().any(|detail| detail.name == name && detail.value == wanted)
}
