//! The outcome of a request, as reported to its caller.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Value of the `Savorypitch-Outcome` header of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The backend server responded; the response is passed on.
    Complete,
    /// No backend server has run the request, and none will run it.
    NotRun,
    /// A backend server may have run the request.
    Unknown,
}

impl Outcome {
    /// Returns the header value.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Parses a header value; `None` if it is not one of the three.
    pub fn parse(text: &str) -> Option<Self> {
        [Self::Complete, Self::NotRun, Self::Unknown]
            .into_iter()
            .find(|outcome| outcome.as_str() == text)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
