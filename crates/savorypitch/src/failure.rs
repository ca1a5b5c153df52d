//! Why a command failed, and the exit code that says so.

use std::process::ExitCode;

use model::Diagnostics;

/// Failure of a command.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The input has findings.
    #[error("{0}")]
    Diagnostics(Diagnostics),
    /// A file could not be read.
    #[error("error: cannot read {path}: {source}")]
    File {
        /// Path as given.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The node refused the call.
    #[error("error: {0}")]
    Refused(String),
    /// The change may or may not be in force.
    #[error("error: {0}")]
    Unknown(String),
    /// The node could not be reached.
    #[error(
        "error: cannot reach the node at {address}: {reason}\n  hint: is it running? Set --node or SAVORYPITCH_NODE to its admin address"
    )]
    Unreachable {
        /// Address of the setting.
        address: String,
        /// What was seen.
        reason: String,
    },
    /// A node could not start.
    #[error("error: {0}")]
    Start(#[from] node::StartError),
    /// A node on a platform could not start.
    #[error("error: {0}")]
    Serve(#[from] platform_adapter::ServeError),
}

impl Failure {
    /// Exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Refused(_) => 1,
            Self::Diagnostics(_) | Self::File { .. } | Self::Start(_) | Self::Serve(_) => 2,
            Self::Unknown(_) => 3,
            Self::Unreachable { .. } => 4,
        })
    }
}
