//! Structured log: one JSON object per line on standard output, one line per decision.
//!
//! Another thread writes the lines from a bounded queue. If nobody reads standard output, lines are
//! dropped, so that the caller never blocks. The number of lines of each kind per second is
//! limited; a line `lines-left-out` reports how many were suppressed.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::Map;
use serde_json::Value;
use spdlog::Logger;
use spdlog::formatter::PatternFormatter;
use spdlog::formatter::pattern;
use spdlog::sink::AsyncPoolSink;
use spdlog::sink::OverflowPolicy;
use spdlog::sink::WriteSink;

/// Maximum number of lines of one kind that are written in one second.
const LINES_PER_SECOND_MAX: u32 = 200;
/// Size of the write buffer, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;
/// Time between flushes of the write buffer.
const FLUSH_PERIOD: Duration = Duration::from_millis(250);

/// Number of lines of one kind in the current second.
struct KindCount {
    kind: &'static str,
    written: u32,
    suppressed: u32,
}

/// Lines of the current second.
struct Window {
    /// Second since the Unix epoch.
    second: u64,
    kinds: Vec<KindCount>,
}

static WINDOW: Mutex<Window> = Mutex::new(Window { second: 0, kinds: Vec::new() });

/// Builder of a log line.
pub struct Line {
    kind: &'static str,
    fields: Map<String, Value>,
}

/// Directs the log of this process to standard output.
pub fn init() -> Result<(), spdlog::Error> {
    init_to(io::stdout())
}

/// Directs the log of this process to `output`.
pub fn init_to(output: impl io::Write + Send + Sync + 'static) -> Result<(), spdlog::Error> {
    let output = io::BufWriter::with_capacity(BUFFER_BYTES, output);
    let formatter = PatternFormatter::new(pattern!("{payload}{eol}"));
    let writer = WriteSink::builder().target(output).formatter(formatter).build()?;
    let queue = AsyncPoolSink::builder()
        .sink(Arc::new(writer))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build()?;
    let logger = Arc::new(Logger::builder().sink(Arc::new(queue)).build()?);
    logger.set_flush_period(Some(FLUSH_PERIOD));
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Writes all buffered lines.
pub fn flush() {
    spdlog::default_logger().flush();
}

/// Starts a line of the given kind.
pub fn line(kind: &'static str) -> Line {
    Line { kind, fields: Map::new() }
}

impl Line {
    /// Adds a field.
    pub fn field(mut self, name: &str, value: impl Into<Value>) -> Self {
        self.fields.insert(name.to_owned(), value.into());
        self
    }

    /// Adds a field with the text form of `value`.
    pub fn text(self, name: &str, value: impl ToString) -> Self {
        self.field(name, value.to_string())
    }

    /// Writes the line, unless the limit for its kind in this second is reached.
    pub fn write(self) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let (is_written, suppressed) = admit(self.kind, now.as_secs());
        for (kind, count) in suppressed {
            let fields = Map::from_iter([
                ("of".to_owned(), Value::from(kind)),
                ("count".to_owned(), Value::from(count)),
            ]);
            write_line("lines-left-out", now, fields);
        }
        if is_written {
            write_line(self.kind, now, self.fields);
        }
    }
}

/// Counts a line. Returns whether it is within the limit, and the numbers of lines suppressed in
/// the previous second in which lines were counted, by kind.
fn admit(kind: &'static str, second: u64) -> (bool, Vec<(&'static str, u32)>) {
    let mut window = WINDOW.lock().expect("lock is never poisoned");
    let mut suppressed = Vec::new();
    if window.second != second {
        window.second = second;
        let counts = window.kinds.iter().filter(|count| count.suppressed > 0);
        suppressed = counts.map(|count| (count.kind, count.suppressed)).collect();
        window.kinds.clear();
    }
    let index = match window.kinds.iter().position(|count| count.kind == kind) {
        Some(index) => index,
        None => {
            window.kinds.push(KindCount { kind, written: 0, suppressed: 0 });
            window.kinds.len() - 1
        }
    };
    let count = &mut window.kinds[index];
    let is_written = count.written < LINES_PER_SECOND_MAX;
    match is_written {
        true => count.written += 1,
        false => count.suppressed += 1,
    }
    (is_written, suppressed)
}

fn write_line(kind: &str, now: Duration, fields: Map<String, Value>) {
    let mut line = Map::new();
    line.insert("at_ms".to_owned(), Value::from(now.as_millis() as u64));
    line.insert("kind".to_owned(), Value::from(kind));
    line.extend(fields);
    spdlog::info!("{}", Value::Object(line));
}
