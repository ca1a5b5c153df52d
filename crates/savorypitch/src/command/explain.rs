//! `explain`: shows the history of one job or unit from log lines.

use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;

use explain::Entry;
use explain::JobHistory;
use explain::Reader;
use explain::Role;

use crate::args::ExplainArgs;
use crate::failure::Failure;
use crate::output::print_json;
use crate::output::print_line;

/// File argument that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Reads the log files, or standard input if there are none, and prints the history.
pub fn run(args: &ExplainArgs, json: bool) -> Result<(), Failure> {
    let mut reader = Reader::new(&args.id);
    if args.files.is_empty() {
        add_lines(io::stdin().lock(), STANDARD_INPUT, &mut reader)?;
    }
    for path in &args.files {
        let name = path.display().to_string();
        if path == Path::new(STANDARD_INPUT) {
            add_lines(io::stdin().lock(), &name, &mut reader)?;
            continue;
        }
        let file = File::open(path);
        let file = file.map_err(|source| Failure::File { path: name.clone(), source })?;
        add_lines(BufReader::new(file), &name, &mut reader)?;
    }
    let history = reader.into_history();
    if json {
        print_json(&history);
    } else {
        print_history(&history);
    }
    match history.entries.is_empty() {
        true => Err(Failure::Refused(format!("no log line mentions `{}`", args.id))),
        false => Ok(()),
    }
}

fn add_lines(lines: impl BufRead, name: &str, reader: &mut Reader) -> Result<(), Failure> {
    for line in lines.split(b'\n') {
        let line = line.map_err(|source| Failure::File { path: name.to_owned(), source })?;
        reader.add_line(&String::from_utf8_lossy(&line), name);
    }
    Ok(())
}

fn print_history(history: &JobHistory) {
    let start_ms = history.entries.first().map_or(0, |entry| entry.line.at_ms);
    print_line(format_args!("{}: {:?}", history.id, history.outcome));
    for entry in &history.entries {
        print_entry(entry, start_ms);
    }
    if let Some(gap) = history.longest_gap {
        let from_ms = gap.from_ms.saturating_sub(start_ms);
        print_line(format_args!(
            "longest gap between its log lines: {} ms, from +{from_ms} ms",
            gap.length_ms
        ));
    }
    if history.unreadable > 0 {
        print_line(format_args!("{} lines could not be parsed as log lines", history.unreadable));
    }
}

fn print_entry(entry: &Entry, start_ms: u64) {
    let line = &entry.line;
    let mark = match entry.role {
        Role::Step => " ",
        Role::Cause => ">",
        Role::Context => "~",
    };
    print_line(format_args!(
        "{mark} {:>+8} ms  {:20} {:20} {}",
        line.at_ms as i64 - start_ms as i64,
        line.source,
        line.kind,
        line.describe()
    ));
}
