//! One order for the events of all processes.

use crate::event::Event;

/// Sorts events by stamp, node and sequence, and drops those that came twice.
pub fn merge(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by(|a, b| {
        let key = |event: &Event| (event.timestamp, event.incarnation, event.sequence);
        key(a).cmp(&key(b)).then_with(|| a.node.cmp(&b.node))
    });
    events.dedup_by(|a, b| {
        a.node == b.node && a.incarnation == b.incarnation && a.sequence == b.sequence
    });
    events
}
