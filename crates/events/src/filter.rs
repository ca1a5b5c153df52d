//! Selection of the events that a reader wants to see.

use serde::Deserialize;
use serde::Serialize;

use crate::event::Event;

/// Conditions on an event. An event must meet all conditions that are set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Filter {
    /// Id of the request that the event names.
    pub request: Option<String>,
    /// Team that the event names, as `customer/team`.
    pub team: Option<String>,
    /// Host that the event names.
    pub host: Option<String>,
    /// Node that recorded the event.
    pub node: Option<String>,
    /// Kind of the event, as in `host-step`.
    pub kind: Option<String>,
    /// Earliest wall time, in milliseconds since the Unix epoch.
    pub since_ms: Option<u64>,
    /// Latest wall time, in milliseconds since the Unix epoch.
    pub until_ms: Option<u64>,
}

impl Filter {
    /// Returns true if the event meets all conditions.
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
