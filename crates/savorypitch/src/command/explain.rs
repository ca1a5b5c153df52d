//! `explain`: tells the story of one job or unit from log lines.

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

/// Name of standard input among the files.
const STANDARD_INPUT: &str = "-";

/// Runs `explain`.
pub fn run(args: &ExplainArgs, json: bool) -> Result<(), Failure> {
    let mut reader = Reader::new(&args.id);
    if args.files.is_empty() {
        read(io::stdin().lock(), STANDARD_INPUT, &mut reader)?;
    }
    for path in &args.files {
        let name = path.display().to_string();
        if path == Path::new(STANDARD_INPUT) {
            read(io::stdin().lock(), &name, &mut reader)?;
            continue;
        }
        let file = File::open(path);
        let file = file.map_err(|source| Failure::File { path: name.clone(), source })?;
        read(BufReader::new(file), &name, &mut reader)?;
    }
    let history = reader.into_history();
    if json {
        print_json(&history);
    } else {
        print_history(&history);
    }
    match history.entries.is_empty() {
        true => Err(Failure::Refused(format!("no log line names `{}`", args.id))),
        false => Ok(()),
    }
}

fn read(lines: impl BufRead, name: &str, reader: &mut Reader) -> Result<(), Failure> {
    for line in lines.split(b'\n') {
        let line = line.map_err(|source| Failure::File { path: name.to_owned(), source })?;
        reader.add_line(&String::from_utf8_lossy(&line), name);
    }
    Ok(())
}

fn print_history(history: &JobHistory) {
    let began_ms = history.entries.first().map_or(0, |entry| entry.line.at_ms);
    print_line(format_args!("{}: {:?}", history.id, history.outcome));
    for entry in &history.entries {
        print_entry(entry, began_ms);
    }
    if let Some(gap) = history.longest_gap {
        let from_ms = gap.from_ms.saturating_sub(began_ms);
        print_line(format_args!(
            "longest time without a line of it: {} ms, from +{from_ms} ms",
            gap.length_ms
        ));
    }
    if history.unreadable > 0 {
        print_line(format_args!("{} lines are no log lines", history.unreadable));
    }
}

fn print_entry(entry: &Entry, began_ms: u64) {
    let line = &entry.line;
    let mark = match entry.role {
        Role::Step => " ",
        Role::Cause => ">",
        Role::Context => "~",
    };
    print_line(format_args!(
        "{mark} {:>+8} ms  {:20} {:20} {}",
        line.at_ms as i64 - began_ms as i64,
        line.source,
        line.kind,
        line.describe()
    ));
}
