//! Histories of jobs and units, reconstructed from log lines.

use explain::Entry;
use explain::JobHistory;
use explain::Outcome;
use explain::Reader;
use explain::Role;
use rstest::rstest;

/// Unsorted lines of three nodes: a job that failed, one that waited for a takeover, one that was
/// not accepted, one that was cancelled, and one that has not ended.
const LINES: &str = include_str!("golden/lines.log");

fn history(id: &str) -> JobHistory {
    let mut reader = Reader::new(id);
    for line in LINES.lines() {
        reader.add_line(line, "lines.log");
    }
    reader.into_history()
}

fn cause(history: &JobHistory) -> &Entry {
    history.entries.iter().find(|entry| entry.role == Role::Cause).expect("a cause is marked")
}

fn kinds(history: &JobHistory, role: Role) -> Vec<&str> {
    let entries_with_role = history.entries.iter().filter(|entry| entry.role == role);
    entries_with_role.map(|entry| &*entry.line.kind).collect()
}

#[rstest]
#[case::failed("00000000000000aa", Outcome::Failed, "decision")]
#[case::completed("00000000000000bb", Outcome::Completed, "job-ended")]
#[case::not_accepted("00000000000000cc", Outcome::NotAccepted, "request-refused")]
#[case::cancelled("00000000000000dd", Outcome::Cancelled, "job-cancelled")]
#[case::not_ended("00000000000000ee", Outcome::NotEnded, "runs-ordered")]
fn outcome_and_cause_of_a_job_are_found(
    #[case] id: &str,
    #[case] outcome: Outcome,
    #[case] kind: &str,
) {
    let history = history(id);
    assert_eq!(history.outcome, outcome);
    assert_eq!(cause(&history).line.kind, kind);
    assert_eq!(history.unreadable, 1);
}

#[test]
fn lines_of_all_processes_are_sorted_by_time() {
    let history = history("00000000000000aa");
    let times: Vec<u64> = history.entries.iter().map(|entry| entry.line.at_ms).collect();
    assert!(times.is_sorted(), "{times:?}");
    assert_eq!(kinds(&history, Role::Step).first(), Some(&"job-submitted"));
    assert_eq!(history.entries[0].line.source, "front-b");
}

#[test]
fn context_in_a_gap_is_included_only_if_it_concerns_the_job() {
    let history = history("00000000000000bb");
    let context = kinds(&history, Role::Context);
    // `worker-silent` is included once: the other silent worker had no run of the job.
    assert_eq!(context, ["ownership-taken", "worker-silent"]);
    assert_eq!(history.longest_gap.map(|gap| gap.length_ms), Some(2_400));
}

#[test]
fn history_of_a_unit_has_the_lines_of_its_job_but_not_of_other_units() {
    let history = history("00000000000000aa.0.0.1");
    assert!(kinds(&history, Role::Step).contains(&"job-submitted"));
    assert!(!kinds(&history, Role::Step).contains(&"run-not-started"), "that is unit 0");
    assert!(kinds(&history, Role::Step).contains(&"runs-ordered"));
}

#[test]
fn history_of_an_unknown_job_is_empty() {
    let history = history("00000000000000ff");
    assert_eq!((history.outcome, history.entries.len()), (Outcome::Unknown, 0));
}

/// Guards against a history that hides why a unit was stopped: an evacuation is context of its job,
/// and the move names the unit.
#[test]
fn a_move_out_of_an_evacuated_zone_is_shown() {
    let lines = [
        r#"{"at_ms":1,"kind":"job-accepted","job":"00000000000000aa"}"#,
        r#"{"at_ms":700,"kind":"zone-evacuating","zone":"a","long_running_runs":1}"#,
        r#"{"at_ms":900,"kind":"decision","what":"unit moved","subject":"00000000000000aa.0.0.0","why":"cause=evacuation zone=a worker=w1 run=1"}"#,
    ];
    let mut reader = Reader::new("00000000000000aa");
    for line in lines {
        reader.add_line(line, "lines.log");
    }
    let history = reader.into_history();
    assert_eq!(kinds(&history, Role::Context), ["zone-evacuating"]);
    let last = history.entries.last().expect("there are lines");
    assert_eq!((last.line.kind.as_str(), last.line.text("what")), ("decision", "unit moved"));
}
