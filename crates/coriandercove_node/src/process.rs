//! Starting and stopping a process: exit codes, its incarnation and stop requests.

use std::cell::{Cell, RefCell};
use std::io::Write;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use coriandercove_base::Incarnation;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;

/// Exit code of a process that failed while it ran.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code of a process whose flags or settings are invalid; clap uses the same code.
pub const EXIT_INVALID: u8 = 2;

/// Returns the incarnation of a process that starts now: the nanoseconds since 1970. A later run
/// gets a higher value as long as the wall clock does not go back.
#[must_use]
pub fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_nanos()).unwrap_or(u64::MAX))
}

/// Prints `text` to standard output and returns the exit code of success. A failed write is
/// ignored, because there is nowhere else to report it.
pub fn print_output(text: &str) -> ExitCode {
    let _ = std::io::stdout().write_all(text.as_bytes());
    ExitCode::SUCCESS
}

/// Prints a problem to standard error and returns `code` as the exit code.
pub fn print_error(code: u8, problem: &impl std::fmt::Display) -> ExitCode {
    let _ = writeln!(std::io::stderr(), "{problem}");
    ExitCode::from(code)
}

/// Request to drain and stop the process, made by a signal or by an operator.
#[derive(Default)]
pub struct StopRequest {
    notify: Notify,
    is_requested: Cell<bool>,
    deadline: RefCell<Option<Duration>>,
}

impl StopRequest {
    /// Creates a stop request that has not been made yet.
    #[must_use]
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Requests that the process stops. Only the first request sets the drain deadline.
    pub fn request(&self, deadline: Option<Duration>) {
        if !self.is_requested.replace(true) {
            *self.deadline.borrow_mut() = deadline;
        }
        self.notify.notify_one();
    }

    /// Waits until a stop is requested by an operator, SIGTERM or SIGINT. Returns the drain
    /// deadline that the operator set, if any.
    ///
    /// # Errors
    /// Returns the I/O error if signals cannot be received.
    pub async fn wait(&self) -> std::io::Result<Option<Duration>> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            () = self.notify.notified() => {}
        }
        Ok(*self.deadline.borrow())
    }
}
