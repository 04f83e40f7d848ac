//! Errors of the tool and their exit codes.

use tanagerdeal_platform::PlatformError;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum ToolError {
    /// Wrong arguments or settings.
    #[error("{0}")]
    Usage(String),
    /// The platform gave no usable response.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The record is at another revision than expected.
    #[error("conflict: {key} is at revision {found}, expected {expected}; nothing was written")]
    Conflict {
        /// Table key of the record.
        key: String,
        /// Revision that was expected.
        expected: u64,
        /// Revision that was found.
        found: u64,
    },
    /// No host has the change in effect yet.
    #[error("stored at revision {0}, but not seen in effect on any host")]
    NotInEffect(u64),
    /// The record does not exist.
    #[error("{0} does not exist")]
    Missing(String),
    /// The state that was waited for did not come.
    #[error("{0}")]
    TimedOut(String),
    /// A checked configuration has errors, or warnings that count as errors.
    #[error("{file}: {errors} errors, {warnings} warnings")]
    Rejected {
        /// Checked file.
        file: String,
        /// Number of errors.
        errors: usize,
        /// Number of warnings.
        warnings: usize,
    },
    /// Output could not be written.
    #[error("output: {0}")]
    Output(#[from] std::io::Error),
}

impl ToolError {
    /// Exit code of the process: 2 usage, 3 not in effect or timed out, 4 conflict, 5 platform,
    /// 6 missing, 1 rejected or other.
    ///
    /// ```
    /// assert_eq!(tanagerctl::error::ToolError::NotInEffect(7).exit_code(), 3);
    /// ```
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::NotInEffect(_) | Self::TimedOut(_) => 3,
            Self::Conflict { .. } => 4,
            Self::Platform(_) => 5,
            Self::Missing(_) => 6,
            Self::Output(_) | Self::Rejected { .. } => 1,
        }
    }
}
