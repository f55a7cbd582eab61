//! Errors of commands and the exit codes of the program.

use std::process::ExitCode;

use coriandercove_config::Problems;
use snafu::Snafu;

/// Exit codes, for the help text and the documentation.
pub const EXIT_CODES: &str = "\
Exit codes:
  0  success
  1  a process, the store or a file could not be used
  2  wrong command line
  3  the answers, the configuration or the settings are invalid
  4  another operator accepted a version first, or the expected version is not the latest
  5  differences were found (only with --exit-code)
  6  questions need a terminal";

/// How the program ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Success.
    Success = 0,
    /// A process, the store or a file could not be used.
    Failed = 1,
    /// Wrong command line; clap uses the same code.
    Usage = 2,
    /// Invalid answers, configuration or settings.
    Invalid = 3,
    /// Another version was accepted first.
    Conflict = 4,
    /// Differences were found.
    Different = 5,
    /// Questions need a terminal.
    NoTerminal = 6,
}

impl Exit {
    /// The exit code of the process.
    #[must_use]
    pub fn code(self) -> ExitCode {
        ExitCode::from(self as u8)
    }
}

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum CliError {
    /// Checked input has errors.
    #[snafu(display("{problems}"))]
    Invalid {
        /// Every error with its place.
        problems: Problems,
    },
    /// A file could not be read or written.
    #[snafu(display("{path}: {message}"))]
    File {
        /// The file.
        path: String,
        /// Problem and remedy.
        message: String,
    },
    /// A flag has a wrong value, or one is missing.
    #[snafu(display("{message}"))]
    Usage {
        /// The flag, the problem and the remedy.
        message: String,
    },
    /// A process or the store did not do what was asked.
    #[snafu(display("{message}"))]
    Remote {
        /// Address, problem and remedy.
        message: String,
    },
    /// Another version was accepted first.
    #[snafu(display("{message}"))]
    Conflict {
        /// The versions, and what differs.
        message: String,
    },
    /// Questions cannot be asked.
    #[snafu(display("{message}"))]
    NoTerminal {
        /// Problem and remedy.
        message: String,
    },
}

impl CliError {
    /// Exit code for the error.
    #[must_use]
    pub const fn exit(&self) -> Exit {
        match self {
            Self::Invalid { .. } => Exit::Invalid,
            Self::File { .. } | Self::Remote { .. } => Exit::Failed,
            Self::Usage { .. } => Exit::Usage,
            Self::Conflict { .. } => Exit::Conflict,
            Self::NoTerminal { .. } => Exit::NoTerminal,
        }
    }
}

impl From<Problems> for CliError {
    fn from(problems: Problems) -> Self {
        Self::Invalid { problems }
    }
}

impl From<coriandercove_operator::ClientError> for CliError {
    fn from(e: coriandercove_operator::ClientError) -> Self {
        let message = e.to_string();
        Self::Remote { message }
    }
}

impl From<crate::config_log::LogError> for CliError {
    fn from(e: crate::config_log::LogError) -> Self {
        let message = e.to_string();
        Self::Remote { message }
    }
}
