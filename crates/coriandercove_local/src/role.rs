//! Runs a role, an entry or an agent, on a thread of its own.

use std::future::Future;
use std::thread::JoinHandle;

use snafu::{ResultExt, Snafu};
use tokio::sync::mpsc;

/// Error of starting a role.
#[derive(Debug, Snafu)]
pub enum RoleError {
    /// The thread could not be created.
    #[snafu(display("cannot start the thread of {name}: {source}"))]
    Thread {
        /// Name of the role.
        name: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The role reported an error during its start.
    #[snafu(display("cannot start {name}: {source}"))]
    Start {
        /// Name of the role.
        name: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The thread ended before the role had started.
    #[snafu(display("the thread of {name} ended during its start"))]
    Ended {
        /// Name of the role.
        name: String,
    },
}

type Job<T> = Box<dyn FnOnce(&T) + Send>;

/// Message to the thread of a role.
enum Command<T> {
    /// Run a job with access to the role.
    Run(Job<T>),
    /// Drain the role and end the thread.
    Drain,
    /// Stop the role at once, as a crash would, and end the thread.
    Kill,
    /// Block the thread for this time, as a paused VM would be.
    Pause(std::time::Duration),
}

/// The two ways in which a role ends.
pub trait Lifecycle: Sized + 'static {
    /// Refuses new work, lets work in flight finish and stops.
    fn drain(self) -> impl Future<Output = ()>;
    /// Stops at once, as a crash would.
    fn kill(self);
}

/// Handle of a role that runs on a thread of its own. Dropping it kills the role.
pub struct RoleThread<T> {
    commands: mpsc::UnboundedSender<Command<T>>,
    thread: Option<JoinHandle<()>>,
}

impl<T: Lifecycle> RoleThread<T> {
    /// Runs `start` on a new thread and blocks until the role has started. Returns the handle and
    /// the result of `describe` on the started role.
    ///
    /// # Errors
    /// [`RoleError`] if the role does not start.
    pub fn start<F, R>(
        name: &str,
        start: impl FnOnce() -> F + Send + 'static,
        describe: impl FnOnce(&T) -> R + Send + 'static,
    ) -> Result<(Self, R), RoleError>
    where
        F: Future<Output = std::io::Result<T>> + 'static,
        R: Send + 'static,
    {
        let (commands, rx) = mpsc::unbounded_channel();
        let (ready_tx, ready) = std::sync::mpsc::channel();
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                actix_rt::System::new().block_on(async move {
                    match start().await {
                        Ok(role) => {
                            // Cannot fail, because `RoleThread::start` waits for this message.
                            let _ = ready_tx.send(Ok(describe(&role)));
                            serve(role, rx).await;
                        }
                        Err(e) => {
                            let _ = ready_tx.send(Err(e));
                        }
                    }
                });
            })
            .context(ThreadSnafu { name })?;
        let role = Self {
            commands,
            thread: Some(thread),
        };
        match ready.recv() {
            Ok(Ok(described)) => Ok((role, described)),
            Ok(Err(source)) => Err(RoleError::Start {
                name: name.to_owned(),
                source,
            }),
            Err(_) => Err(RoleError::Ended {
                name: name.to_owned(),
            }),
        }
    }

    /// Queues a job for the role's thread and returns at once.
    pub fn run(&self, job: impl FnOnce(&T) + Send + 'static) {
        // Sending fails if the role has ended; the job is then dropped.
        let _ = self.commands.send(Command::Run(Box::new(job)));
    }

    /// Runs a job on the role's thread and blocks until it returns its result; `None` if the role
    /// has ended. The result does not come over a tokio channel, because the blocking calls of
    /// those panic if the caller runs on a runtime.
    pub fn query<R: Send + 'static>(
        &self,
        job: impl FnOnce(&T) -> R + Send + 'static,
    ) -> Option<R> {
        let (tx, rx) = std::sync::mpsc::channel();
        self.run(move |role| {
            let _ = tx.send(job(role));
        });
        rx.recv().ok()
    }

    /// Blocks the role's thread for `time`, as a paused VM would be; returns at once.
    pub fn pause(&self, time: std::time::Duration) {
        let _ = self.commands.send(Command::Pause(time));
    }

    /// Drains the role and blocks until its thread has ended.
    pub fn drain(mut self) {
        self.end(Command::Drain);
    }

    /// Starts to drain the role. The returned thread ends once it is drained.
    pub fn start_drain(mut self) -> Option<JoinHandle<()>> {
        let _ = self.commands.send(Command::Drain);
        self.thread.take()
    }

    /// Stops the role at once, as a crash would, and blocks until its thread has ended.
    pub fn kill(mut self) {
        self.end(Command::Kill);
    }
}

impl<T> RoleThread<T> {
    fn end(&mut self, command: Command<T>) {
        let _ = self.commands.send(command);
        if let Some(thread) = self.thread.take() {
            // The panic of a thread has already been printed by it.
            let _ = thread.join();
        }
    }
}

impl<T> Drop for RoleThread<T> {
    fn drop(&mut self) {
        if self.thread.is_some() {
            self.end(Command::Kill);
        }
    }
}

/// Executes commands until one of them, or the loss of the handle, ends the role.
async fn serve<T: Lifecycle>(role: T, mut rx: mpsc::UnboundedReceiver<Command<T>>) {
    loop {
        match rx.recv().await {
            Some(Command::Run(job)) => job(&role),
            Some(Command::Pause(time)) => std::thread::sleep(time),
            Some(Command::Drain) => return role.drain().await,
            Some(Command::Kill) | None => return role.kill(),
        }
    }
}
