//! The lines of one job, other lines that may explain its delays, and the cause of its outcome.

use serde::Serialize;

use crate::line::Line;

/// Kinds of lines that may explain a delay of any job.
const CONTEXT_KINDS_OF_ALL_JOBS: [&str; 11] = [
    "ownership-taken",
    "ownership-loaded",
    "ownership-ended",
    "orders-fenced",
    "store-write-failed",
    "operators-lost",
    "operators-regained",
    "config-in-force",
    "zone-evacuating",
    "zone-evacuated",
    "zone-returned",
];
/// Kinds of lines that may explain a delay of a job that has runs on the worker named in the line.
const CONTEXT_KINDS_OF_WORKERS: [&str; 2] = ["worker-silent", "decision"];
/// Minimum time between two successive lines of a job for the context lines in between to be
/// included, in milliseconds.
const GAP_MIN_MS: u64 = 500;
/// Maximum number of context lines of one kind that are included for one gap.
const CONTEXT_LINES_PER_KIND_MAX: usize = 5;

/// Why a line is part of a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// It names the job.
    Step,
    /// It names the job and shows why the job ended as it did.
    Cause,
    /// It does not name the job, and may explain why no line named the job for a while.
    Context,
}

/// A line of a history.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Entry {
    /// Why the line is included.
    pub role: Role,
    /// The log line.
    #[serde(flatten)]
    pub line: Line,
}

/// How a job ended, as far as the lines show.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No line shows that the job was submitted.
    Unknown,
    /// The job was submitted and not accepted.
    NotAccepted,
    /// The job was accepted, and no line shows that it ended.
    NotEnded,
    /// The job was completed.
    Completed,
    /// The job failed: a unit failed too often.
    Failed,
    /// The job was cancelled.
    Cancelled,
}

/// History of one job or unit.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobHistory {
    /// Requested job or unit.
    pub id: String,
    /// How the job ended.
    pub outcome: Outcome,
    /// Longest time between two successive lines that name it; `None` if fewer than two lines do.
    pub longest_gap: Option<Gap>,
    /// Lines in order of time.
    pub entries: Vec<Entry>,
    /// Number of lines that are not log lines.
    pub unreadable: usize,
}

/// Time between two successive lines that name the job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Gap {
    /// When it started, in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// Duration, in milliseconds.
    pub length_ms: u64,
}

/// Collects the lines that may concern one job or unit.
#[derive(Clone, Debug)]
pub struct Reader {
    id: String,
    /// Lines that name the job.
    job_lines: Vec<Line>,
    /// Lines that may explain a delay.
    context_lines: Vec<Line>,
    unreadable: usize,
}

impl Reader {
    /// Creates a reader for a job, as in `5c0e7a21d94b36f8`, or a unit, as in
    /// `5c0e7a21d94b36f8.0.1.17`.
    pub fn new(id: &str) -> Self {
        Self { id: id.to_owned(), job_lines: Vec::new(), context_lines: Vec::new(), unreadable: 0 }
    }

    /// Adds a line of `file`.
    pub fn add_line(&mut self, text: &str, file: &str) {
        if text.trim().is_empty() {
            return;
        }
        let Some(line) = Line::parse(text, file) else {
            self.unreadable += 1;
            return;
        };
        if mentions(&line, &self.id) {
            self.job_lines.push(line);
        } else if CONTEXT_KINDS_OF_ALL_JOBS.contains(&&*line.kind)
            || CONTEXT_KINDS_OF_WORKERS.contains(&&*line.kind)
        {
            self.context_lines.push(line);
        }
    }

    /// Builds the history from all lines that were added.
    pub fn into_history(mut self) -> JobHistory {
        self.job_lines.sort_by_key(|line| line.at_ms);
        self.context_lines.sort_by_key(|line| line.at_ms);
        let (outcome, cause) = outcome(&self.job_lines);
        let mut entries = Vec::new();
        let mut longest_gap: Option<Gap> = None;
        for (index, line) in self.job_lines.iter().enumerate() {
            if let Some(previous) = index.checked_sub(1).map(|index| &self.job_lines[index]) {
                let gap = Gap { from_ms: previous.at_ms, length_ms: line.at_ms - previous.at_ms };
                if gap.length_ms >= GAP_MIN_MS {
                    entries.extend(self.context_in_gap(gap));
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

    /// Returns the context lines in a gap that concern all jobs, or a worker of this job.
    fn context_in_gap(&self, gap: Gap) -> Vec<Entry> {
        let workers: Vec<&str> = self.job_lines.iter().flat_map(Line::workers).collect();
        let until_ms = gap.from_ms + gap.length_ms;
        let mut context_entries: Vec<Entry> = Vec::new();
        for line in &self.context_lines {
            let is_in_gap = (gap.from_ms..until_ms).contains(&line.at_ms);
            let concerns_all_jobs = CONTEXT_KINDS_OF_ALL_JOBS.contains(&&*line.kind);
            let concerns_worker_of_job =
                || line.workers().iter().any(|worker| workers.contains(worker));
            let is_relevant = concerns_all_jobs || concerns_worker_of_job();
            let same_kind_count =
                context_entries.iter().filter(|entry| entry.line.kind == line.kind).count();
            if is_in_gap && is_relevant && same_kind_count < CONTEXT_LINES_PER_KIND_MAX {
                context_entries.push(Entry { role: Role::Context, line: line.clone() });
            }
        }
        context_entries
    }
}

/// Returns true if the line names the job or unit `id`. A line that names the job of a unit and no
/// unit concerns that unit too.
fn mentions(line: &Line, id: &str) -> bool {
    let job = id.split('.').next().unwrap_or(id);
    let is_requested_unit = |unit: &&str| {
        unit.strip_prefix(id).is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    };
    let units = line.units();
    if units.iter().any(is_requested_unit) {
        return true;
    }
    let is_job_in_path = || line.text("path").split('/').any(|part| part == job);
    (line.text("job") == job && units.is_empty()) || is_job_in_path()
}

/// Returns how the job ended, and the index of the line that shows why.
fn outcome(lines: &[Line]) -> (Outcome, Option<usize>) {
    let last_matching = |wanted: &dyn Fn(&Line) -> bool| lines.iter().rposition(wanted);
    let end_line = last_matching(&|line| line.kind == "job-ended");
    match end_line.map(|index| lines[index].text("state")) {
        Some("Completed") => return (Outcome::Completed, end_line),
        Some("Cancelled") => {
            let cancellation = last_matching(&|line| line.kind == "job-cancelled");
            return (Outcome::Cancelled, cancellation.or(end_line));
        }
        Some(_) => {
            let failed = |line: &Line| line.kind == "decision" && line.text("what") == "job failed";
            return (Outcome::Failed, last_matching(&failed).or(end_line));
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
    let rejection =
        last_matching(&|line| line.kind == "request-refused" || line.kind == "job-submitted");
    match rejection {
        Some(index) => (Outcome::NotAccepted, Some(index)),
        None => (Outcome::Unknown, None),
    }
}
