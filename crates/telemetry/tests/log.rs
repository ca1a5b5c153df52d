//! The number of log lines is limited, and output that nobody reads does not block the process.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Lines that are written while the output is blocked; far more than the queue holds.
const LINES: usize = 200_000;
/// Maximum time that all of them may take; each takes some microseconds.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of lines of one kind that are written in one second.
const LINES_PER_SECOND_MAX: usize = 200;

/// An output on which writes block until [`Self::unblock`].
#[derive(Clone, Default)]
struct BlockedOutput {
    state: Arc<(Mutex<State>, Condvar)>,
}

#[derive(Default)]
struct State {
    is_unblocked: bool,
    text: Vec<u8>,
}

impl BlockedOutput {
    fn unblock(&self) {
        self.state.0.lock().unwrap().is_unblocked = true;
        self.state.1.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8(self.state.0.lock().unwrap().text.clone()).unwrap()
    }
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let (state, changed) = &*self.state;
        let mut state =
            changed.wait_while(state.lock().unwrap(), |state| !state.is_unblocked).unwrap();
        state.text.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn blocked_output_does_not_block_writers_and_suppressed_lines_are_counted() {
    let output = BlockedOutput::default();
    telemetry::log::init_to(output.clone()).unwrap();
    let started_at = Instant::now();
    for number in 0..LINES {
        telemetry::log::line("many").field("number", number).write();
    }
    telemetry::log::line("rare").write();
    let elapsed = started_at.elapsed();
    assert!(elapsed < TIMEOUT, "{elapsed:?}");
    output.unblock();
    // The numbers of suppressed lines of a second are written with the first line of a later one.
    std::thread::sleep(Duration::from_millis(1_100));
    telemetry::log::line("last").write();
    telemetry::log::flush();
    let deadline = Instant::now() + TIMEOUT;
    while !output.text().contains("\"kind\":\"last\"") {
        assert!(Instant::now() < deadline, "the last line was not written");
        std::thread::sleep(Duration::from_millis(10));
    }
    let text = output.text();
    let count_lines = |kind: &str| text.lines().filter(|line| line.contains(kind)).count();
    let many_lines = count_lines("\"kind\":\"many\"");
    let seconds = elapsed.as_secs() as usize + 2;
    assert!(
        (1..=LINES_PER_SECOND_MAX * seconds).contains(&many_lines),
        "{many_lines} lines in {elapsed:?}"
    );
    assert_eq!(count_lines("\"kind\":\"rare\""), 1, "lines of other kinds are written");
    assert!(count_lines("lines-left-out") >= 1);
}
