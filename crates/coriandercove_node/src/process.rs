//! Start and end of a process.

use std::cell::{Cell, RefCell};
use std::io::Write;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use coriandercove_base::Incarnation;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;

/// Exit code after a failure while running.
pub const FAILED: u8 = 1;
/// Exit code after invalid flags or settings, the same that clap uses.
pub const INVALID: u8 = 2;

/// An incarnation for a process that starts now.
#[must_use]
pub fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_nanos()).unwrap_or(u64::MAX))
}

/// Prints `text` and ends well. Without a reader of the output there is nobody to tell.
pub fn print(text: &str) -> ExitCode {
    let _ = std::io::stdout().write_all(text.as_bytes());
    ExitCode::SUCCESS
}

/// Prints a problem to standard error and ends with `code`.
pub fn fail(code: u8, problem: &impl std::fmt::Display) -> ExitCode {
    let _ = writeln!(std::io::stderr(), "{problem}");
    ExitCode::from(code)
}

/// The wish that the process leaves, by a signal or by an operator.
#[derive(Default)]
pub struct Stop {
    wanted: Notify,
    is_wanted: Cell<bool>,
    deadline: RefCell<Option<Duration>>,
}

impl Stop {
    /// A wish that nobody has uttered.
    #[must_use]
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Wants the process to leave. Only the first wish sets the deadline.
    pub fn leave(&self, deadline: Option<Duration>) {
        if !self.is_wanted.replace(true) {
            *self.deadline.borrow_mut() = deadline;
        }
        self.wanted.notify_one();
    }

    /// Waits for a wish, SIGTERM or SIGINT. Returns the deadline that an operator set.
    ///
    /// # Errors
    /// The I/O error if signals cannot be received.
    pub async fn wait(&self) -> std::io::Result<Option<Duration>> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            () = self.wanted.notified() => {}
        }
        Ok(*self.deadline.borrow())
    }
}
