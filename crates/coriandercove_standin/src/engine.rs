//! The engine stand-in: an HTTP server that batches sequences as an engine does and computes tokens
//! with the reference model in [`coriandercove_target::oracle`].

mod app;
pub mod batcher;

mod kv;
pub mod prefix_cache;
pub mod schedule;
pub mod sequence;
pub mod settings;
pub mod stats;
mod weights;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use coriandercove_base::data;

pub use self::settings::{CostModel, EngineSettings};
pub use self::stats::{EngineStats, OrderRecord};
pub use self::weights::WeightStore;
use crate::faults::Faults;
use crate::server::Server;

data! {
    /// Injected faults of an engine; body of `PUT /control/faults`.
    #[serde(default, deny_unknown_fields)]
    pub struct EngineFaults {
        /// While true, no call except those under `/control/` is answered and no iteration ends.
        /// Connections are still accepted, as for a process that is stopped with SIGSTOP.
        pub frozen: bool,
        /// Factor on the duration of each iteration; 1 for none.
        pub slow_factor: f64,
        /// Share of items that fail, from 0 to 1.
        pub fail_share: f64,
        /// How the engine falsifies its replies, except those under `/control/`.
        #[serde(rename = "nonsense")]
        pub invalid_reply: InvalidReply,
        /// HTTP status to answer every call with, except those under `/control/`; 0 for none.
        pub refuse_status: u16,
    }

    /// Kinds of invalid replies.
    #[derive(Default, Eq, Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum InvalidReply {
        /// The replies are valid.
        #[default]
        None,
        /// A body that is not JSON.
        NotJson,
        /// JSON that does not have the form of a reply.
        #[serde(rename = "other_form")]
        WrongSchema,
        /// A forward reply without its last result.
        MissingResult,
        /// A forward reply with its results in reverse order.
        #[serde(rename = "crossed_results")]
        ReversedResults,
        /// The connection is closed without an answer.
        Disconnect,
        /// A body of 32 MiB, which is above the limit of the clients.
        Huge,
    }
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            frozen: false,
            slow_factor: 1.0,
            fail_share: 0.0,
            invalid_reply: InvalidReply::None,
            refuse_status: 0,
        }
    }
}

/// Statistics and orders, written by the thread of the engine and read through the handle.
#[derive(Debug, Default)]
struct Records {
    stats: EngineStats,
    orders: Vec<OrderRecord>,
}

/// A running engine stand-in. Dropping the handle kills the engine.
pub struct EngineHandle {
    server: Server,
    faults: Faults<EngineFaults>,
    records: Arc<Mutex<Records>>,
}

impl EngineHandle {
    /// Returns the address that the engine listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the base URL, without a trailing slash.
    #[must_use]
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Returns the injected faults, which can be changed while the engine runs.
    #[must_use]
    pub const fn faults(&self) -> &Faults<EngineFaults> {
        &self.faults
    }

    /// Returns the counts as of the latest iteration or cancellation.
    #[must_use]
    pub fn stats(&self) -> EngineStats {
        self.records().stats
    }

    /// Returns all orders that have arrived, also the refused ones.
    #[must_use]
    pub fn orders(&self) -> Vec<OrderRecord> {
        self.records().orders.clone()
    }

    fn records(&self) -> std::sync::MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stops accepting connections, and ends when the calls in flight are answered, or after
    /// `grace`.
    pub fn stop(self, grace: Duration) {
        self.server.stop(grace);
    }

    /// Ends at once and closes all connections without finishing the calls in flight.
    pub fn kill(self) {
        self.server.kill();
    }
}

/// Starts an engine on a new thread.
///
/// # Errors
/// If the address cannot be bound or no thread can be started.
pub fn start(settings: EngineSettings) -> io::Result<EngineHandle> {
    let faults = Faults::<EngineFaults>::default();
    let records = Arc::<Mutex<Records>>::default();
    let (f, r) = (faults.clone(), Arc::clone(&records));
    let server = Server::start(settings.listen, "engine", move || {
        let app = Rc::new(app::EngineApp::new(settings, f, r));
        app.spawn();
        app
    })?;
    Ok(EngineHandle {
        server,
        faults,
        records,
    })
}
