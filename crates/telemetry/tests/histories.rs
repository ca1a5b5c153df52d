//! Lines of sampled histories, and decisive ones, are kept when there are many of their kind.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

const HISTORIES: u64 = 320;
const HISTORIES_PER_SAMPLE: u64 = 16;
const LINES_PER_HISTORY: usize = 4;
const TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl Output {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

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
    telemetry::log::line("last").write();
    telemetry::log::flush();
    let deadline = Instant::now() + TIMEOUT;
    while !output.text().contains("\"kind\":\"last\"") {
        assert!(Instant::now() < deadline, "the last line was not written");
        std::thread::sleep(Duration::from_millis(10));
    }
    let text = output.text();
    let count = |part: &str| text.lines().filter(|line| line.contains(part)).count();
    for hash in (0..HISTORIES).step_by(HISTORIES_PER_SAMPLE as usize) {
        assert_eq!(count(&format!("\"hash\":{hash},")), LINES_PER_HISTORY, "history {hash}");
    }
    assert_eq!(count("\"rare\""), HISTORIES as usize);
    let lines = count("\"hash\"");
    assert!(lines < HISTORIES as usize * LINES_PER_HISTORY, "{lines} lines: the limit holds");
}
