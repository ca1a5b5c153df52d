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

/// Time between two reads in follow mode.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(1);
/// Time before the last shown event that each read in follow mode covers again, in milliseconds:
/// nodes may ship events late.
const FOLLOW_OVERLAP_MS: u64 = 5_000;

/// Runs `timeline`; in follow mode it returns only on an error.
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
    let events = fetch_events(client, &filter)?;
    if let Some(file) = &args.html {
        return write_html(file, &events);
    }
    if !args.follow {
        print_events(&events, json);
        return Ok(());
    }
    let mut shown_events = events;
    print_lines(&shown_events, json);
    loop {
        std::thread::sleep(FOLLOW_INTERVAL);
        let last_ms = shown_events.last().map_or(0, |event| event.timestamp.wall_ms);
        let since_ms = last_ms.saturating_sub(FOLLOW_OVERLAP_MS);
        filter.since_ms = filter.since_ms.max(Some(since_ms));
        shown_events.retain(|event| event.timestamp.wall_ms >= since_ms);
        let mut new_events = fetch_events(client, &filter)?;
        new_events.retain(|event| !shown_events.contains(event));
        print_lines(&new_events, json);
        shown_events.extend(new_events);
        shown_events.sort_by_key(|event| event.timestamp);
    }
}

fn fetch_events(client: &Client, filter: &Filter) -> Result<Vec<Event>, Failure> {
    let query = serde_urlencoded::to_string(filter).expect("filters have no nested fields");
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
