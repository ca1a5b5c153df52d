//! An output of the log that keeps its lines.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Time limit for lines to be written.
const TIMEOUT: Duration = Duration::from_secs(10);

/// The bytes that were written so far.
#[derive(Clone, Default)]
pub struct Output(Arc<Mutex<Vec<u8>>>);

impl Output {
    /// Returns the lines that contain `part`.
    pub fn lines(&self, part: &str) -> Vec<String> {
        let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
        text.lines().filter(|line| line.contains(part)).map(str::to_owned).collect()
    }

    /// Writes a last line and waits for it. Lines are written in their order by another thread.
    pub fn finish(&self) {
        telemetry::log::line("last").write();
        telemetry::log::flush();
        let deadline = Instant::now() + TIMEOUT;
        while self.lines("\"kind\":\"last\"").is_empty() {
            assert!(Instant::now() < deadline, "the last line was not written");
            std::thread::sleep(Duration::from_millis(10));
        }
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
