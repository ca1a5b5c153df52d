//! Errors of commands and their exit codes.

use std::process::ExitCode;

use model::Diagnostics;

/// Reason why a command failed; its text is printed to standard error.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The contract or the settings are invalid; exit code 2.
    #[error("{0}")]
    Diagnostics(Diagnostics),
    /// A file could not be read or written, or the runtime could not start; exit code 2.
    #[error("error: cannot read {path}: {source}")]
    File {
        /// Path of the file, as given on the command line, or what was started.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The node refused the call, or nothing was found; exit code 1.
    #[error("error: {0}")]
    Refused(String),
    /// It is unknown whether the change became active; exit code 3.
    #[error("error: {0}")]
    Unknown(String),
    /// The node could not be reached, or its response could not be decoded; exit code 4.
    #[error(
        "error: cannot reach the node at {address}: {reason}\n  hint: is it running? Set --node or SAVORYPITCH_NODE to its admin address"
    )]
    Unreachable {
        /// Admin address that was called.
        address: String,
        /// Error of the connection, or of a response that could not be decoded.
        reason: String,
    },
    /// A node could not start; exit code 2.
    #[error("error: {0}")]
    Start(#[from] node::StartError),
    /// A node on a platform could not start; exit code 2.
    #[error("error: {0}")]
    Serve(#[from] platform_adapter::ServeError),
}

impl Failure {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Refused(_) => 1,
            Self::Diagnostics(_) | Self::File { .. } | Self::Start(_) | Self::Serve(_) => 2,
            Self::Unknown(_) => 3,
            Self::Unreachable { .. } => 4,
        })
    }
}
