//! Why a command failed.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use rosemarypitch_config::Faults;
use rosemarypitch_forward::serve::StartError;
use rosemarypitch_gateway::ServeError;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// A file cannot be read or written.
    #[error("{0}: {1}")]
    File(PathBuf, io::Error),
    /// A file's contents are wrong.
    #[error("{0}:\n{1}")]
    Invalid(PathBuf, Faults),
    /// What was given is wrong.
    #[error("{0}")]
    Usage(String),
    /// The host cannot be reached.
    #[error("cannot reach {0}: {1}")]
    Unreachable(String, String),
    /// The host refused.
    #[error("refused with status {status}: {detail}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// What it said.
        detail: String,
    },
    /// The process cannot run.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// The router cannot run.
    #[error(transparent)]
    Start(#[from] StartError),
    /// Something of the system failed.
    #[error("{0}")]
    System(String),
}

impl Failure {
    /// 2 wrong input, 3 refused, 4 unreachable, 5 stale number, 1 else.
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
