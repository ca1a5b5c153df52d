//! Values that may be malformed, so that all malformed settings are reported together.

use std::convert::Infallible;
use std::str::FromStr;

/// A setting as it was given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Given<T> {
    /// It could be read.
    Valid(T),
    /// It could not be read; the text is kept for the finding.
    Malformed(String),
}

impl<T: FromStr> FromStr for Given<T> {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(match text.parse() {
            Ok(value) => Self::Valid(value),
            Err(_) => Self::Malformed(text.to_owned()),
        })
    }
}
