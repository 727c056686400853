//! Errors of commands and their exit codes.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use rosemarypitch_config::Faults;
use rosemarypitch_forward::serve::StartError;
use rosemarypitch_gateway::ServeError;

/// Error that ends a command.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// A file cannot be read or written.
    #[error("{0}: {1}")]
    File(PathBuf, io::Error),
    /// A settings file or configuration document is invalid.
    #[error("{0}:\n{1}")]
    Invalid(PathBuf, Faults),
    /// A command-line argument, environment variable or input file is invalid.
    #[error("{0}")]
    Usage(String),
    /// The connection to a host failed; the fields are its address and the reason.
    #[error("cannot reach {0}: {1}")]
    Unreachable(String, String),
    /// A host answered with an error status.
    #[error("the host answered with status {status}: {detail}")]
    Refused {
        /// HTTP status code.
        status: u16,
        /// Error message from the response body.
        detail: String,
    },
    /// The entry host could not start.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// The router could not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// An operating system call or an internal step failed.
    #[error("{0}")]
    System(String),
}

impl Failure {
    /// Exit code: 2 for invalid input, 3 for an error response, 4 for an unreachable host,
    /// 5 for a patch against an outdated version, 1 for everything else.
    pub fn exit_code(&self) -> ExitCode {
        let code = match self {
            Self::Invalid(..) | Self::Usage(_) => 2,
            Self::Refused { status: 412, .. } => 5,
            Self::Refused { .. } => 3,
            Self::Unreachable(..) => 4,
            Self::File(..) | Self::Serve(_) | Self::Start(_) | Self::System(_) => 1,
        };
        ExitCode::from(code)
    }
}

impl From<io::Error> for Failure {
    fn from(error: io::Error) -> Self {
        Self::System(error.to_string())
    }
}
