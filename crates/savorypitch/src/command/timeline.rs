//! `timeline`: shows the events of a node.

use events::Event;

use crate::client::Client;
use crate::failure::Failure;
use crate::output::print_json;

/// Runs `timeline`.
pub fn run(client: &Client, json: bool) -> Result<(), Failure> {
    let mut events: Vec<Event> = client.get("/events")?;
    events.sort_by_key(|event| (event.stamp, event.node.clone(), event.sequence));
    if json {
        print_json(&events);
        return Ok(());
    }
    for event in events {
        println!("{} {} {:?}", event.stamp.wall_ms, event.node, event.kind);
    }
    Ok(())
}
