//! What an answer says about the request that it ends.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Value of the `Savorypitch-Outcome` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The backend server answered; its answer follows.
    Complete,
    /// No backend server has run or will run the request.
    NotRun,
    /// A backend server may have run the request.
    Unknown,
}

impl Outcome {
    /// Header value.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Reads a header value.
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
