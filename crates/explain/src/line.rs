//! Parsing of log lines.

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// Index of the unit in an entry of the field `runs`.
const RUN_UNIT_INDEX: usize = 0;
/// Index of the worker in an entry of the field `runs`.
const RUN_WORKER_INDEX: usize = 2;

/// A log line of a process.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// When it was written, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Process that wrote it, or else the file that it was read from.
    pub source: String,
    /// Kind of the line, as in `job-ended`.
    pub kind: String,
    /// The other fields.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Parses a line of `file`. A log collector may have added a prefix to the JSON object; the
    /// last word of the prefix names the source. Returns `None` if `text` is not a log line.
    pub fn parse(text: &str, file: &str) -> Option<Self> {
        let (prefix, object) = text.split_at(text.find('{')?);
        let mut fields: Map<String, Value> = serde_json::from_str(object.trim_end()).ok()?;
        let at_ms = fields.remove("at_ms")?.as_u64()?;
        let Value::String(kind) = fields.remove("kind")? else {
            return None;
        };
        let source = prefix.split_whitespace().last().unwrap_or(file).to_owned();
        Some(Self { at_ms, source, kind, fields })
    }

    /// Returns the value of a text field; empty if the field is absent or not text.
    pub fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns the workers that the line names.
    pub fn workers(&self) -> Vec<&str> {
        let runs = self.fields.get("runs").and_then(Value::as_array).into_iter().flatten();
        let run_fields = runs.filter_map(|run| run.get(RUN_WORKER_INDEX)?.as_str());
        let own_fields = [self.text("worker"), self.text("subject")].into_iter();
        own_fields.filter(|name| !name.is_empty()).chain(run_fields).collect()
    }

    /// Returns the units that the line names.
    pub fn units(&self) -> Vec<&str> {
        let runs = self.fields.get("runs").and_then(Value::as_array).into_iter().flatten();
        let run_fields = runs.filter_map(|run| run.get(RUN_UNIT_INDEX)?.as_str());
        let own_fields = [self.text("unit"), self.text("subject")].into_iter();
        own_fields.filter(|name| !name.is_empty()).chain(run_fields).collect()
    }

    /// Returns the fields as `name=value`, separated by spaces.
    pub fn describe(&self) -> String {
        let field = |(name, value): (&String, &Value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        };
        self.fields.iter().map(field).collect::<Vec<String>>().join(" ")
    }
}
