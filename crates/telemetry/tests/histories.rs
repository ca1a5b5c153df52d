//! Lines of sampled histories, and decisive ones, are kept when there are many of their kind.

#[path = "common/output.rs"]
mod output;

use output::Output;

const HISTORIES: u64 = 320;
const HISTORIES_PER_SAMPLE: u64 = 16;
const LINES_PER_HISTORY: usize = 4;

/// Guards against histories with gaps in the second in which most happens: the limit left out lines
/// whatever they were about, and of no job all lines were kept.
#[test]
fn sampled_histories_are_complete_and_decisive_lines_are_kept() {
    let output = Output::default();
    telemetry::log::init_to(output.clone()).unwrap();
    for _ in 0..LINES_PER_HISTORY {
        for hash in 0..HISTORIES {
            telemetry::log::line("step").field("hash", hash).history(hash).write();
        }
    }
    for hash in 0..HISTORIES {
        telemetry::log::line("step").field("rare", hash).history(hash).decisive().write();
    }
    output.finish();
    let count = |part: &str| output.lines(part).len();
    for hash in (0..HISTORIES).step_by(HISTORIES_PER_SAMPLE as usize) {
        assert_eq!(count(&format!("\"hash\":{hash},")), LINES_PER_HISTORY, "history {hash}");
    }
    assert_eq!(count("\"rare\""), HISTORIES as usize);
    let lines = count("\"hash\"");
    assert!(lines < HISTORIES as usize * LINES_PER_HISTORY, "{lines} lines: the limit holds");
}
