//! The log of accepted configurations as the command line uses it.

mod store;

use std::cell::RefCell;
use std::rc::Rc;

use coriandercove_base::{ConfigVersion, data};
use coriandercove_config::{Delta, Objects};
use futures_util::future::LocalBoxFuture;
use snafu::Snafu;

use crate::error::CliError;

data! {
    /// One accepted version.
    #[derive(Eq)]
    pub struct LogEntry {
        /// The version that the change creates.
        pub version: ConfigVersion,
        /// Who accepted it.
        pub author: String,
        /// Distinguishes this write from that of another operator.
        pub write_id: String,
        /// Digest of the objects after the change.
        pub digest: String,
        /// The change.
        pub delta: Delta,
    }
}

/// Why the log could not be used.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum LogError {
    /// The store did not answer, and nothing was written.
    #[snafu(display("the store is not available: {message}"))]
    Unavailable {
        /// Text of the cause.
        message: String,
    },
    /// The store did not answer, and a write may have taken effect.
    #[snafu(display("the answer of the store was lost: {message}"))]
    AnswerLost {
        /// Text of the cause.
        message: String,
    },
    /// The log holds something that is no valid entry.
    #[snafu(display("the log is damaged at version {version}: {message}"))]
    Damaged {
        /// Version of the entry.
        version: ConfigVersion,
        /// Place and problem.
        message: String,
    },
}

/// Result of creating a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Created {
    /// The version was created.
    Accepted,
    /// The version existed already.
    Exists,
}

type LogFuture<T> = LocalBoxFuture<'static, Result<T, LogError>>;

/// The ordered log of accepted versions.
pub trait ConfigLog {
    /// The latest version and its objects; version 0 without objects if there is none.
    ///
    /// # Errors
    /// [`LogError`] if the log could not be read.
    fn latest(&self) -> LogFuture<(ConfigVersion, Objects)>;

    /// The entry of one version, if it exists.
    ///
    /// # Errors
    /// [`LogError`] if the log could not be read.
    fn get(&self, version: ConfigVersion) -> LogFuture<Option<LogEntry>>;

    /// Creates a version if it does not exist. Must be one write.
    ///
    /// # Errors
    /// [`LogError::AnswerLost`] if the write may have taken effect.
    fn create(&self, entry: LogEntry) -> LogFuture<Created>;
}

/// Connects to the log in the store at `urls`, any of which serves any call.
///
/// # Errors
/// [`CliError`] if there is no URL.
pub fn connect(urls: &[String]) -> Result<Rc<dyn ConfigLog>, CliError> {
    let url = urls.first().cloned().ok_or_else(|| CliError::Usage {
        message: "no store is given".to_owned(),
    })?;
    Ok(Rc::new(store::StoreLog { url }))
}

/// What the next call of [`MemoryLog::create`] does, for tests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The write takes effect and its answer is lost.
    LoseAnswer,
    /// The write does not take effect and its answer is lost.
    LoseWrite,
}

/// A log in memory, for tests and `dev`.
#[derive(Default, Clone)]
pub struct MemoryLog {
    entries: Rc<RefCell<Vec<LogEntry>>>,
    fault: Rc<RefCell<Option<Fault>>>,
}

impl MemoryLog {
    /// Makes the next write fail.
    pub fn fail_next(&self, fault: Fault) {
        *self.fault.borrow_mut() = Some(fault);
    }

    fn store(&self, entry: LogEntry) -> Created {
        let mut entries = self.entries.borrow_mut();
        if entry.version != entries.len() as ConfigVersion + 1 {
            return Created::Exists;
        }
        entries.push(entry);
        Created::Accepted
    }
}

impl ConfigLog for MemoryLog {
    fn latest(&self) -> LogFuture<(ConfigVersion, Objects)> {
        let mut objects = Objects::new();
        let entries = self.entries.borrow();
        entries.iter().for_each(|e| objects.apply(&e.delta));
        let latest = (entries.len() as ConfigVersion, objects);
        Box::pin(async move { Ok(latest) })
    }

    fn get(&self, version: ConfigVersion) -> LogFuture<Option<LogEntry>> {
        let entries = self.entries.borrow();
        let entry = entries.iter().find(|e| e.version == version).cloned();
        Box::pin(async move { Ok(entry) })
    }

    fn create(&self, entry: LogEntry) -> LogFuture<Created> {
        let message = "injected".to_owned();
        let result = match self.fault.borrow_mut().take() {
            None => Ok(self.store(entry)),
            Some(Fault::LoseWrite) => Err(LogError::AnswerLost { message }),
            Some(Fault::LoseAnswer) => {
                self.store(entry);
                Err(LogError::AnswerLost { message })
            }
        };
        Box::pin(async move { result })
    }
}
