//! The log of accepted configuration versions, as the command-line tool reads and extends it.

mod store;

use std::cell::RefCell;
use std::rc::Rc;

use coriandercove_base::{ConfigVersion, data};
use coriandercove_config::{Delta, Objects};
use futures_util::future::LocalBoxFuture;
use snafu::Snafu;

use crate::error::CliError;

data! {
    /// One accepted configuration version.
    #[derive(Eq)]
    pub struct LogEntry {
        /// The version that the change creates.
        pub version: ConfigVersion,
        /// Operator who accepted it.
        pub author: String,
        /// Random id of the write, in hexadecimal. It tells this write from that of another
        /// operator who creates the same version.
        pub write_id: String,
        /// Digest of all objects after the change, in hexadecimal.
        pub digest: String,
        /// Objects that the version adds, replaces or removes.
        pub delta: Delta,
    }
}

/// Why the log could not be read or extended.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum LogError {
    /// The store did not answer, and nothing was written.
    #[snafu(display("the store is not available: {message}"))]
    Unavailable {
        /// Error text of the store client.
        message: String,
    },
    /// The store did not answer, and a write may have taken effect.
    #[snafu(display("the answer of the store was lost: {message}"))]
    AnswerLost {
        /// Error text of the store client.
        message: String,
    },
    /// The log contains an entry that cannot be encoded or decoded.
    #[snafu(display("the log is damaged at version {version}: {message}"))]
    Damaged {
        /// Version of the entry.
        version: ConfigVersion,
        /// Object or field, and the problem.
        message: String,
    },
}

/// Outcome of [`ConfigLog::create`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CreateOutcome {
    /// The version was created.
    Created,
    /// The version already exists, possibly through an earlier attempt of the same write, or does
    /// not follow the latest one.
    Conflict,
}

type LogFuture<T> = LocalBoxFuture<'static, Result<T, LogError>>;

/// The ordered log of accepted versions.
pub trait ConfigLog {
    /// Returns the latest version and its objects; version 0 without objects if the log is empty.
    ///
    /// # Errors
    /// [`LogError`] if the log could not be read.
    fn latest(&self) -> LogFuture<(ConfigVersion, Objects)>;

    /// Returns the entry of one version, if it exists.
    ///
    /// # Errors
    /// [`LogError`] if the log could not be read.
    fn get(&self, version: ConfigVersion) -> LogFuture<Option<LogEntry>>;

    /// Creates a version if it does not exist. Implementations write the version in a single
    /// conditional write, so that two operators cannot both create it.
    ///
    /// # Errors
    /// [`LogError::AnswerLost`] if the write may have taken effect.
    fn create(&self, entry: LogEntry) -> LogFuture<CreateOutcome>;
}

/// Returns the log in the store. Uses the first of `urls`, as every URL of the store serves every
/// call.
///
/// # Errors
/// [`CliError::Usage`] if there is no URL.
pub fn connect(urls: &[String]) -> Result<Rc<dyn ConfigLog>, CliError> {
    let url = urls.first().cloned().ok_or_else(|| CliError::Usage {
        message: "no URL of the store is given".to_owned(),
    })?;
    Ok(Rc::new(store::StoreLog { url }))
}

/// Fault that tests inject into the next call of [`ConfigLog::create`] on a [`MemoryLog`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The write takes effect, but its answer is lost.
    LoseAnswer,
    /// The write does not take effect, and its answer is lost.
    LoseWrite,
}

/// A log in memory, for tests.
#[derive(Default, Clone)]
pub struct MemoryLog {
    entries: Rc<RefCell<Vec<LogEntry>>>,
    fault: Rc<RefCell<Option<Fault>>>,
}

impl MemoryLog {
    /// Injects `fault` into the next write.
    pub fn fail_next(&self, fault: Fault) {
        *self.fault.borrow_mut() = Some(fault);
    }

    fn append(&self, entry: LogEntry) -> CreateOutcome {
        let mut entries = self.entries.borrow_mut();
        if entry.version != entries.len() as ConfigVersion + 1 {
            return CreateOutcome::Conflict;
        }
        entries.push(entry);
        CreateOutcome::Created
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

    fn create(&self, entry: LogEntry) -> LogFuture<CreateOutcome> {
        let message = "injected".to_owned();
        let result = match self.fault.borrow_mut().take() {
            None => Ok(self.append(entry)),
            Some(Fault::LoseWrite) => Err(LogError::AnswerLost { message }),
            Some(Fault::LoseAnswer) => {
                self.append(entry);
                Err(LogError::AnswerLost { message })
            }
        };
        Box::pin(async move { result })
    }
}
