//! Setting values that may be malformed, so that all malformed settings can be reported together.

use std::convert::Infallible;
use std::str::FromStr;

/// Value of a setting, parsed if possible. Parsing never fails, so that clap does not stop at the
/// first malformed value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingValue<T> {
    /// The value, if the text could be parsed.
    Valid(T),
    /// The text, if it could not be parsed; it is shown in the diagnostic.
    Malformed(String),
}

impl<T: FromStr> FromStr for SettingValue<T> {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(match text.parse() {
            Ok(value) => Self::Valid(value),
            Err(_) => Self::Malformed(text.to_owned()),
        })
    }
}
