//! The lines of one job, what stood around them, and the cause of its end.

use serde::Serialize;

use crate::line::Line;

/// Kinds that may explain a delay of any job.
const OF_ALL: [&str; 8] = [
    "ownership-taken",
    "ownership-loaded",
    "ownership-ended",
    "orders-fenced",
    "store-write-failed",
    "operators-lost",
    "operators-regained",
    "config-in-force",
];
/// Kinds that may explain a delay of a job with runs on the worker that they name.
const OF_WORKERS: [&str; 2] = ["worker-silent", "decision"];
/// Time between two lines of a job from which on what stood between them is told, in milliseconds.
const GAP_MIN_MS: u64 = 500;
/// Lines of a kind that are told of one gap.
const CONTEXT_MAX: usize = 5;

/// What a line says in a story.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// A step of the job.
    Step,
    /// Why it ended as it did.
    Cause,
    /// What happened beside it while nothing was heard of it.
    Context,
}

/// A line of a story.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Entry {
    /// What it says.
    pub role: Role,
    /// The line.
    #[serde(flatten)]
    pub line: Line,
}

/// How a job ended, as far as the lines tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No line names it.
    Unknown,
    /// It was not accepted.
    NotAccepted,
    /// It was accepted, and no line tells its end.
    NotEnded,
    /// It was completed.
    Completed,
    /// A unit failed too often.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// The story of one job or unit.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobHistory {
    /// What was asked for.
    pub id: String,
    /// How the job ended.
    pub outcome: Outcome,
    /// Longest time in which no line names it, in milliseconds, and when it began.
    pub longest_gap: Option<Gap>,
    /// Lines in the order of time.
    pub entries: Vec<Entry>,
    /// Lines that could not be read.
    pub unreadable: usize,
}

/// A time in which no line names the job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Gap {
    /// When it began, in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// How long it was, in milliseconds.
    pub length_ms: u64,
}

/// Takes in lines.
#[derive(Clone, Debug)]
pub struct Reader {
    id: String,
    /// Lines that name the job.
    own: Vec<Line>,
    /// Lines that may explain a delay.
    context: Vec<Line>,
    unreadable: usize,
}

impl Reader {
    /// A reader for a job, as in `5c0e7a21d94b36f8`, or a unit, as in `5c0e7a21d94b36f8.0.1.17`.
    pub fn new(id: &str) -> Self {
        Self { id: id.to_owned(), own: Vec::new(), context: Vec::new(), unreadable: 0 }
    }

    /// Takes in a line of a file.
    pub fn add_line(&mut self, text: &str, file: &str) {
        if text.trim().is_empty() {
            return;
        }
        let Some(line) = Line::parse(text, file) else {
            self.unreadable += 1;
            return;
        };
        if names(&line, &self.id) {
            self.own.push(line);
        } else if OF_ALL.contains(&&*line.kind) || OF_WORKERS.contains(&&*line.kind) {
            self.context.push(line);
        }
    }

    /// The story that the lines tell.
    pub fn into_history(mut self) -> JobHistory {
        self.own.sort_by_key(|line| line.at_ms);
        self.context.sort_by_key(|line| line.at_ms);
        let (outcome, cause) = outcome(&self.own);
        let mut entries = Vec::new();
        let mut longest_gap: Option<Gap> = None;
        for (index, line) in self.own.iter().enumerate() {
            if let Some(before) = index.checked_sub(1).map(|index| &self.own[index]) {
                let gap = Gap { from_ms: before.at_ms, length_ms: line.at_ms - before.at_ms };
                if gap.length_ms >= GAP_MIN_MS {
                    entries.extend(self.within(gap));
                }
                if longest_gap.is_none_or(|longest| gap.length_ms > longest.length_ms) {
                    longest_gap = Some(gap);
                }
            }
            let role = if cause == Some(index) { Role::Cause } else { Role::Step };
            entries.push(Entry { role, line: line.clone() });
        }
        JobHistory { id: self.id, outcome, longest_gap, entries, unreadable: self.unreadable }
    }

    /// What happened in a gap: to all jobs, or to the workers of this one.
    fn within(&self, gap: Gap) -> Vec<Entry> {
        let workers: Vec<&str> = self.own.iter().flat_map(Line::workers).collect();
        let until_ms = gap.from_ms + gap.length_ms;
        let mut told: Vec<Entry> = Vec::new();
        for line in &self.context {
            let is_within = (gap.from_ms..until_ms).contains(&line.at_ms);
            let is_of_all = OF_ALL.contains(&&*line.kind);
            let is_of_worker = || line.workers().iter().any(|worker| workers.contains(worker));
            let concerns = is_of_all || is_of_worker();
            let same = told.iter().filter(|entry| entry.line.kind == line.kind).count();
            if is_within && concerns && same < CONTEXT_MAX {
                told.push(Entry { role: Role::Context, line: line.clone() });
            }
        }
        told
    }
}

/// True if the line names the job, or the unit; of a unit, also if it names its job and no unit.
fn names(line: &Line, id: &str) -> bool {
    let job = id.split('.').next().unwrap_or(id);
    let is_it = |unit: &&str| {
        unit.strip_prefix(id).is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    };
    let units = line.units();
    if units.iter().any(is_it) {
        return true;
    }
    let is_in_path = || line.text("path").split('/').any(|part| part == job);
    (line.text("job") == job && units.is_empty()) || is_in_path()
}

/// How the job ended, and which of its lines tells why.
fn outcome(lines: &[Line]) -> (Outcome, Option<usize>) {
    let last = |wanted: &dyn Fn(&Line) -> bool| lines.iter().rposition(wanted);
    let ended = last(&|line| line.kind == "job-ended");
    match ended.map(|index| lines[index].text("state")) {
        Some("Completed") => return (Outcome::Completed, ended),
        Some("Cancelled") => {
            let asked = last(&|line| line.kind == "job-cancelled");
            return (Outcome::Cancelled, asked.or(ended));
        }
        Some(_) => {
            let failed = |line: &Line| line.kind == "decision" && line.text("what") == "job failed";
            return (Outcome::Failed, last(&failed).or(ended));
        }
        None => {}
    }
    let is_accepted = |line: &Line| {
        line.kind == "job-accepted"
            || line.kind == "job-submitted" && line.text("outcome") == "Accepted"
    };
    if lines.iter().any(is_accepted) {
        return (Outcome::NotEnded, lines.len().checked_sub(1));
    }
    let refused = last(&|line| line.kind == "request-refused" || line.kind == "job-submitted");
    match refused {
        Some(index) => (Outcome::NotAccepted, Some(index)),
        None => (Outcome::Unknown, None),
    }
}
