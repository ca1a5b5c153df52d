//! Structured log: one JSON object per line on standard output, one line per decision.
//!
//! Another thread writes the lines from a bounded queue. If nobody reads standard output, lines are
//! dropped, so that the caller never blocks. The number of lines of each kind per second is
//! limited; a line `lines-left-out` reports how many were suppressed.
//!
//! When the limit is reached, the lines that are left out are those of the busiest second, about
//! which most is asked later. Two sorts of lines therefore have limits of their own: those of
//! sampled histories, so that of some jobs all lines are kept, and those that are rare and show what
//! has gone wrong.

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
/// Maximum number of lines of one kind that are written in one second for sampled histories.
const SAMPLED_LINES_PER_SECOND_MAX: u32 = 400;
/// Maximum number of decisive lines of one kind that are written in one second.
const DECISIVE_LINES_PER_SECOND_MAX: u32 = 1_000;
/// Of this many histories, one is sampled.
const HISTORIES_PER_SAMPLE: u64 = 16;
/// Size of the write buffer, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;
/// Time between flushes of the write buffer.
const FLUSH_PERIOD: Duration = Duration::from_millis(250);

/// Which limit applies to a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Retention {
    /// That of its kind.
    Limited,
    /// That of the sampled histories.
    Sampled,
    /// That of the decisive lines.
    Decisive,
}

impl Retention {
    /// Returns the maximum number of lines of one kind in one second.
    fn lines_per_second_max(self) -> u32 {
        match self {
            Self::Limited => LINES_PER_SECOND_MAX,
            Self::Sampled => SAMPLED_LINES_PER_SECOND_MAX,
            Self::Decisive => DECISIVE_LINES_PER_SECOND_MAX,
        }
    }
}

/// Number of lines of one kind and retention in the current second.
struct KindCount {
    kind: &'static str,
    retention: Retention,
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
    retention: Retention,
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
    Line { kind, retention: Retention::Limited, fields: Map::new() }
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

    /// Makes the line part of a history, which a hash identifies. All lines of a sampled history are
    /// kept.
    pub fn history(mut self, hash: u64) -> Self {
        if self.retention == Retention::Limited && hash.is_multiple_of(HISTORIES_PER_SAMPLE) {
            self.retention = Retention::Sampled;
        }
        self
    }

    /// Marks the line as rare and decisive, so that it is kept when there are many of its kind.
    pub fn decisive(mut self) -> Self {
        self.retention = Retention::Decisive;
        self
    }

    /// Writes the line, unless the limit for its kind in this second is reached.
    pub fn write(self) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let (is_written, suppressed) = admit(self.kind, self.retention, now.as_secs());
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
fn admit(
    kind: &'static str,
    retention: Retention,
    second: u64,
) -> (bool, Vec<(&'static str, u32)>) {
    let mut window = WINDOW.lock().expect("lock is never poisoned");
    let mut suppressed = Vec::new();
    if window.second != second {
        window.second = second;
        let counts = window.kinds.iter().filter(|count| count.suppressed > 0);
        suppressed = counts.map(|count| (count.kind, count.suppressed)).collect();
        window.kinds.clear();
    }
    let is_counted = |count: &KindCount| count.kind == kind && count.retention == retention;
    let index = match window.kinds.iter().position(is_counted) {
        Some(index) => index,
        None => {
            window.kinds.push(KindCount { kind, retention, written: 0, suppressed: 0 });
            window.kinds.len() - 1
        }
    };
    let count = &mut window.kinds[index];
    let is_written = count.written < retention.lines_per_second_max();
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
