//! Errors of commands and the exit codes of the program.

use std::process::ExitCode;

use coriandercove_config::Problems;
use snafu::Snafu;

/// Explanation of the exit codes, shown at the end of the long help text.
pub const EXIT_CODES: &str = "\
Exit codes:
  0  success
  1  a process, the store or a file could not be used
  2  wrong command line
  3  the answers, the configuration or the settings are invalid
  4  another operator accepted a version first, or the expected version is not the latest
  5  differences were found (only with --exit-code)
  6  questions need a terminal";

/// Outcome of a command, which determines the exit code of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Success = 0,
    /// A process, the store, a file or the operating system failed.
    Failed = 1,
    /// The command line was wrong; clap uses the same code.
    Usage = 2,
    /// The answers, the configuration or the settings were invalid.
    Invalid = 3,
    /// The latest version was not the expected one, or another operator created the version first.
    Conflict = 4,
    /// `diff --exit-code` found differences.
    Different = 5,
    /// `init` had to ask questions and could not.
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
    /// Answers, a configuration or settings failed validation.
    #[snafu(display("{problems}"))]
    Invalid {
        /// Every error with its file, line and key.
        problems: Problems,
    },
    /// A file or directory could not be read, created or overwritten.
    #[snafu(display("{path}: {message}"))]
    File {
        /// Path of the file or directory.
        path: String,
        /// The problem and its remedy.
        message: String,
    },
    /// A flag has a wrong value, or one is missing.
    #[snafu(display("{message}"))]
    Usage {
        /// The flag, the problem and its remedy.
        message: String,
    },
    /// A call to a process, the store or the operating system failed, or its outcome is unknown.
    #[snafu(display("{message}"))]
    Remote {
        /// The address, the problem and its remedy.
        message: String,
    },
    /// The latest version was not the expected one, or another operator created the version first.
    #[snafu(display("{message}"))]
    Conflict {
        /// The expected and the latest version, and the differences from the latest.
        message: String,
    },
    /// Standard input is not a terminal, ended early, or gave only invalid answers to a question.
    #[snafu(display("{message}"))]
    NoTerminal {
        /// The problem and its remedy.
        message: String,
    },
}

impl CliError {
    /// The outcome that the error leads to.
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
