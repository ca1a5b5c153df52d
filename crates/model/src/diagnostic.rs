//! Findings about an input, collected with their place and reported together.

use std::fmt;
use std::ops::Range;

use serde::Deserialize;
use serde::Serialize;

/// Place in a file or in the settings.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SourceLocation {
    /// File name, flag or environment variable.
    pub source: String,
    /// Line, from 1; 0 where lines do not apply.
    pub line: u32,
    /// Column in characters, from 1; 0 where columns do not apply.
    pub column: u32,
}

impl SourceLocation {
    /// Place of the byte range `span` in `text`.
    pub fn in_text(source: &str, text: &str, span: &Range<usize>) -> Self {
        let mut start = span.start.min(text.len());
        while !text.is_char_boundary(start) {
            start -= 1;
        }
        let before = &text[..start];
        let line_start = before.rfind('\n').map_or(0, |index| index + 1);
        let line = before.matches('\n').count() + 1;
        let column = before[line_start..].chars().count() + 1;
        Self { source: source.to_owned(), line: line as u32, column: column as u32 }
    }

    /// A setting given by flag or environment variable.
    pub fn setting(name: &str) -> Self {
        Self { source: name.to_owned(), line: 0, column: 0 }
    }
}

impl fmt::Display for SourceLocation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line == 0 {
            return f.write_str(&self.source);
        }
        write!(f, "{}:{}:{}", self.source, self.line, self.column)
    }
}

/// One thing wrong with an input.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Diagnostic {
    /// Where it was seen.
    #[serde(rename = "place")]
    pub location: SourceLocation,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub hint: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "error: {}", self.message)?;
        writeln!(f, "  at {}", self.location)?;
        write!(f, "  hint: {}", self.hint)
    }
}

/// All findings about one input.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub struct Diagnostics {
    /// Findings in the order of their places.
    pub items: Vec<Diagnostic>,
}

impl Diagnostics {
    /// Adds a finding.
    pub fn push(
        &mut self,
        location: SourceLocation,
        message: impl Into<String>,
        hint: impl Into<String>,
    ) {
        self.items.push(Diagnostic { location, message: message.into(), hint: hint.into() });
    }

    /// `value` if nothing was found, else all findings sorted by place.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Self> {
        if self.items.is_empty() {
            return Ok(value);
        }
        self.items.sort();
        self.items.dedup();
        Err(self)
    }
}

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for diagnostic in &self.items {
            writeln!(f, "{diagnostic}")?;
        }
        write!(f, "{} finding(s)", self.items.len())
    }
}
