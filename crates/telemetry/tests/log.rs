//! Log lines are bounded, and a reader that does not read holds nobody up.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Lines that are written while nobody reads; far more than the queue holds.
const LINES: usize = 200_000;
/// Time that all of them may take: some microseconds each.
const PATIENCE: Duration = Duration::from_secs(20);
/// Lines of one kind that are kept in a second.
const KEPT_PER_SECOND: usize = 200;

/// A reader that does not read until it is told to.
#[derive(Clone, Default)]
struct Reader {
    state: Arc<(Mutex<State>, Condvar)>,
}

#[derive(Default)]
struct State {
    reads: bool,
    text: Vec<u8>,
}

impl Reader {
    fn begin(&self) {
        self.state.0.lock().unwrap().reads = true;
        self.state.1.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8(self.state.0.lock().unwrap().text.clone()).unwrap()
    }
}

impl Write for Reader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let (state, changed) = &*self.state;
        let mut state = changed.wait_while(state.lock().unwrap(), |state| !state.reads).unwrap();
        state.text.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_does_not_read_holds_nobody_up_and_what_was_left_out_is_counted() {
    let reader = Reader::default();
    telemetry::log::init_to(reader.clone()).unwrap();
    let began_at = Instant::now();
    for number in 0..LINES {
        telemetry::log::line("many").field("number", number).write();
    }
    telemetry::log::line("rare").write();
    let took = began_at.elapsed();
    assert!(took < PATIENCE, "{took:?}");
    reader.begin();
    // The counts of a second are told with the first line of the next one.
    std::thread::sleep(Duration::from_millis(1_100));
    telemetry::log::line("last").write();
    telemetry::log::flush();
    let deadline = Instant::now() + PATIENCE;
    while !reader.text().contains("\"kind\":\"last\"") {
        assert!(Instant::now() < deadline, "the last line is not written");
        std::thread::sleep(Duration::from_millis(10));
    }
    let text = reader.text();
    let of = |kind: &str| text.lines().filter(|line| line.contains(kind)).count();
    let many = of("\"kind\":\"many\"");
    let seconds = took.as_secs() as usize + 2;
    assert!((1..=KEPT_PER_SECOND * seconds).contains(&many), "{many} lines in {took:?}");
    assert_eq!(of("\"kind\":\"rare\""), 1, "other kinds are kept");
    assert!(of("lines-left-out") >= 1);
}
