//! One log line.

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// Place of the unit in an entry of `runs`.
const UNIT_OF_RUN: usize = 0;
/// Place of the worker in an entry of `runs`.
const WORKER_OF_RUN: usize = 2;

/// A log line, as a process has written it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Time of day in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Process that wrote it, or the file that it was found in.
    pub source: String,
    /// Kind.
    pub kind: String,
    /// The other fields.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; what stands before the JSON object, as a log collector may add it, names the
    /// source. None if it is no log line.
    pub fn parse(text: &str, file: &str) -> Option<Self> {
        let (before, object) = text.split_at(text.find('{')?);
        let mut fields: Map<String, Value> = serde_json::from_str(object.trim_end()).ok()?;
        let at_ms = fields.remove("at_ms")?.as_u64()?;
        let Value::String(kind) = fields.remove("kind")? else {
            return None;
        };
        let source = before.split_whitespace().last().unwrap_or(file).to_owned();
        Some(Self { at_ms, source, kind, fields })
    }

    /// A field as text; empty if there is none.
    pub fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// Workers that it names.
    pub fn workers(&self) -> Vec<&str> {
        let runs = self.fields.get("runs").and_then(Value::as_array).into_iter().flatten();
        let of_runs = runs.filter_map(|run| run.get(WORKER_OF_RUN)?.as_str());
        let named = [self.text("worker"), self.text("subject")].into_iter();
        named.filter(|name| !name.is_empty()).chain(of_runs).collect()
    }

    /// Units that it names.
    pub fn units(&self) -> Vec<&str> {
        let runs = self.fields.get("runs").and_then(Value::as_array).into_iter().flatten();
        let of_runs = runs.filter_map(|run| run.get(UNIT_OF_RUN)?.as_str());
        let named = [self.text("unit"), self.text("subject")].into_iter();
        named.filter(|name| !name.is_empty()).chain(of_runs).collect()
    }

    /// The fields as `name=value`.
    pub fn describe(&self) -> String {
        let field = |(name, value): (&String, &Value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        };
        self.fields.iter().map(field).collect::<Vec<String>>().join(" ")
    }
}
