//! A role on a thread of its own.

use std::future::Future;
use std::thread::JoinHandle;

use snafu::{ResultExt, Snafu};
use tokio::sync::mpsc;

/// A role that could not be started.
#[derive(Debug, Snafu)]
pub enum RoleError {
    /// The system gave no thread.
    #[snafu(display("cannot start the thread of {name}: {source}"))]
    Thread {
        /// Name of the role.
        name: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The role could not be started.
    #[snafu(display("cannot start {name}: {source}"))]
    Start {
        /// Name of the role.
        name: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The thread ended early.
    #[snafu(display("the thread of {name} ended during its start"))]
    Ended {
        /// Name of the role.
        name: String,
    },
}

type Job<T> = Box<dyn FnOnce(&T) + Send>;

enum Command<T> {
    Run(Job<T>),
    /// Leave gracefully; the sender is told when the role has ended.
    Drain,
    /// Stop as a crash would.
    Kill,
    /// Do nothing for a while, as a paused VM would.
    Pause(std::time::Duration),
}

/// What a role does at its end.
pub trait Lifecycle: Sized + 'static {
    /// Leaves gracefully.
    fn drain(self) -> impl Future<Output = ()>;
    /// Stops as a crash would.
    fn kill(self);
}

/// A role on a thread of its own. Dropping it kills the role.
pub struct RoleThread<T> {
    commands: mpsc::UnboundedSender<Command<T>>,
    thread: Option<JoinHandle<()>>,
}

impl<T: Lifecycle> RoleThread<T> {
    /// Starts a role and waits until it runs. Returns what `describe` says of it.
    ///
    /// # Errors
    /// [`RoleError`] if it does not start.
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
                            // The starter waits for this message.
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

    /// Runs a job on the role's thread.
    pub fn run(&self, job: impl FnOnce(&T) + Send + 'static) {
        // A role that has ended runs no jobs.
        let _ = self.commands.send(Command::Run(Box::new(job)));
    }

    /// Runs a job on the role's thread and blocks until its result comes; `None` if the role has
    /// ended. The caller may itself run on a runtime, so no channel of tokio is used, whose
    /// blocking calls panic there.
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

    /// Blocks the role's thread, as a paused VM would.
    pub fn pause(&self, time: std::time::Duration) {
        let _ = self.commands.send(Command::Pause(time));
    }

    /// Leaves gracefully and waits until the role has ended.
    pub fn drain(mut self) {
        self.end(Command::Drain);
    }

    /// Tells the role to leave gracefully; the returned thread ends with it.
    pub fn start_drain(mut self) -> Option<JoinHandle<()>> {
        let _ = self.commands.send(Command::Drain);
        self.thread.take()
    }

    /// Stops as a crash would and waits until the role has ended.
    pub fn kill(mut self) {
        self.end(Command::Kill);
    }
}

impl<T> RoleThread<T> {
    fn end(&mut self, command: Command<T>) {
        let _ = self.commands.send(command);
        if let Some(thread) = self.thread.take() {
            // A panic of the role was printed by its thread.
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
