//! Scheduling policies that operators may disable one by one.

use std::fmt;
use std::str::FromStr;

/// A part of the scheduling that operators may disable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Policy {
    /// Measured durations replace the estimates of callers.
    LearnedDurations,
    /// Runs are stopped on workers whose capacity has shrunk below them.
    ShrunkWorkers,
}

/// The text names no policy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not a policy; expected one of: {names}", names = names())]
pub struct ParsePolicyError(String);

/// The policies that are enabled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policies {
    /// Enabled policies, sorted and without duplicates.
    enabled: Vec<Policy>,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 2] = [Self::LearnedDurations, Self::ShrunkWorkers];

    /// Returns the name of the policy on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::LearnedDurations => "learned-durations",
            Self::ShrunkWorkers => "shrunk-workers",
        }
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Policy {
    type Err = ParsePolicyError;

    fn from_str(text: &str) -> Result<Self, ParsePolicyError> {
        let found = Self::ALL.into_iter().find(|policy| policy.name() == text);
        found.ok_or_else(|| ParsePolicyError(text.to_owned()))
    }
}

impl Default for Policies {
    fn default() -> Self {
        Self::without(&[])
    }
}

impl Policies {
    /// Returns all policies but the disabled ones.
    pub fn without(disabled: &[Policy]) -> Self {
        Policy::ALL.into_iter().filter(|policy| !disabled.contains(policy)).collect()
    }

    /// Returns true if a policy is enabled.
    pub fn enables(&self, policy: Policy) -> bool {
        self.enabled.binary_search(&policy).is_ok()
    }
}

impl FromIterator<Policy> for Policies {
    fn from_iter<T: IntoIterator<Item = Policy>>(policies: T) -> Self {
        let mut enabled: Vec<Policy> = policies.into_iter().collect();
        enabled.sort();
        enabled.dedup();
        Self { enabled }
    }
}

/// Returns the names of all policies, separated by commas.
fn names() -> String {
    Policy::ALL.map(Policy::name).join(", ")
}
