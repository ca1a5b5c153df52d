//! `timeline`: shows the events of all nodes.

use std::path::Path;
use std::time::Duration;

use events::Event;
use events::Filter;
use events::render_html;

use crate::args::TimelineArgs;
use crate::client::Client;
use crate::failure::Failure;
use crate::output::print_json;
use crate::output::print_line;

/// Time between reads in follow mode.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(1);
/// How far back a read in follow mode looks for events that were shipped late, in milliseconds.
const FOLLOW_OVERLAP_MS: u64 = 5_000;

/// Runs `timeline`.
pub fn run(client: &Client, args: &TimelineArgs, json: bool) -> Result<(), Failure> {
    let mut filter = Filter {
        request: args.request.clone(),
        team: args.team.clone(),
        host: args.host.clone(),
        node: args.seen_by.clone(),
        kind: args.kind.clone(),
        since_ms: args.since_ms,
        until_ms: args.until_ms,
    };
    let events = read(client, &filter)?;
    if let Some(file) = &args.html {
        return write_html(file, &events);
    }
    if !args.follow {
        print_events(&events, json);
        return Ok(());
    }
    let mut shown = events;
    print_lines(&shown, json);
    loop {
        std::thread::sleep(FOLLOW_INTERVAL);
        let last_ms = shown.last().map_or(0, |event| event.timestamp.wall_ms);
        let overlap_ms = last_ms.saturating_sub(FOLLOW_OVERLAP_MS);
        filter.since_ms = filter.since_ms.max(Some(overlap_ms));
        shown.retain(|event| event.timestamp.wall_ms >= overlap_ms);
        let mut fresh = read(client, &filter)?;
        fresh.retain(|event| !shown.contains(event));
        print_lines(&fresh, json);
        shown.extend(fresh);
        shown.sort_by_key(|event| event.timestamp);
    }
}

fn read(client: &Client, filter: &Filter) -> Result<Vec<Event>, Failure> {
    let query = serde_urlencoded::to_string(filter).expect("filters are flat");
    client.get(&format!("/timeline?{query}"))
}

fn print_events(events: &[Event], json: bool) {
    if json {
        print_json(&events);
        return;
    }
    print_lines(events, json);
}

fn print_lines(events: &[Event], json: bool) {
    for event in events {
        if json {
            let line = serde_json::to_string(event).expect("events have string keys only");
            print_line(format_args!("{line}"));
            continue;
        }
        let timestamp = event.timestamp;
        let kind = event.kind_name();
        print_line(format_args!(
            "{}.{:03} {:10} {:16} {}",
            timestamp.wall_ms / 1_000,
            timestamp.wall_ms % 1_000,
            event.node,
            kind,
            event.describe_details()
        ));
    }
}

fn write_html(file: &Path, events: &[Event]) -> Result<(), Failure> {
    std::fs::write(file, render_html(events))
        .map_err(|source| Failure::File { path: file.display().to_string(), source })?;
    print_line(format_args!("{} events in {}", events.len(), file.display()));
    Ok(())
}
