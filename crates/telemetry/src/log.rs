//! Structured log lines: one JSON object a line on standard output, a line a decision.
//!
//! Lines are written by another thread from a bounded queue; when standard output is not read, lines
//! are dropped and the caller goes on. Of each kind only so many lines a second are kept; how many
//! were left out is told in a line of its own.

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

/// Lines of one kind that are kept in a second.
const LINES_PER_SECOND_MAX: u32 = 200;
/// Bytes that wait to be written at most before they are written together.
const BUFFER_BYTES: usize = 16 * 1024;
/// Time after which buffered lines are written.
const FLUSH_PERIOD: Duration = Duration::from_millis(250);

/// Lines of one kind in the current second.
struct KindCount {
    kind: &'static str,
    written: u32,
    left_out: u32,
}

struct Window {
    second: u64,
    kinds: Vec<KindCount>,
}

static WINDOW: Mutex<Window> = Mutex::new(Window { second: 0, kinds: Vec::new() });

/// A line that is being made.
pub struct Line {
    kind: &'static str,
    fields: Map<String, Value>,
}

/// Sends the lines of this process to standard output.
pub fn init() -> Result<(), spdlog::Error> {
    init_to(io::stdout())
}

/// Sends the lines of this process to `output`.
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

/// Writes what is still buffered.
pub fn flush() {
    spdlog::default_logger().flush();
}

/// Begins a line of a kind.
pub fn line(kind: &'static str) -> Line {
    Line { kind, fields: Map::new() }
}

impl Line {
    /// Adds a field.
    pub fn field(mut self, name: &str, value: impl Into<Value>) -> Self {
        self.fields.insert(name.to_owned(), value.into());
        self
    }

    /// Adds a field as text.
    pub fn text(self, name: &str, value: impl ToString) -> Self {
        self.field(name, value.to_string())
    }

    /// Writes the line, unless too many of its kind were written in this second.
    pub fn write(self) {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let (is_kept, left_out) = admit(self.kind, at.as_secs());
        for (kind, count) in left_out {
            let fields = Map::from_iter([
                ("of".to_owned(), Value::from(kind)),
                ("count".to_owned(), Value::from(count)),
            ]);
            print("lines-left-out", at, fields);
        }
        if is_kept {
            print(self.kind, at, self.fields);
        }
    }
}

/// Counts a line; true if it is kept, and what was left out in the second before.
fn admit(kind: &'static str, second: u64) -> (bool, Vec<(&'static str, u32)>) {
    let mut window = WINDOW.lock().expect("no holder panics");
    let mut left_out = Vec::new();
    if window.second != second {
        window.second = second;
        let counts = window.kinds.iter().filter(|count| count.left_out > 0);
        left_out = counts.map(|count| (count.kind, count.left_out)).collect();
        window.kinds.clear();
    }
    let index = match window.kinds.iter().position(|count| count.kind == kind) {
        Some(index) => index,
        None => {
            window.kinds.push(KindCount { kind, written: 0, left_out: 0 });
            window.kinds.len() - 1
        }
    };
    let count = &mut window.kinds[index];
    let is_kept = count.written < LINES_PER_SECOND_MAX;
    match is_kept {
        true => count.written += 1,
        false => count.left_out += 1,
    }
    (is_kept, left_out)
}

fn print(kind: &str, at: Duration, fields: Map<String, Value>) {
    let mut line = Map::new();
    line.insert("at_ms".to_owned(), Value::from(at.as_millis() as u64));
    line.insert("kind".to_owned(), Value::from(kind));
    line.extend(fields);
    spdlog::info!("{}", Value::Object(line));
}
