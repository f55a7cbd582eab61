//! The object store stand-in: versioned objects with conditional writes, listings and watches.

mod app;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coriandercove_base::data;
use coriandercove_platform::table::ObjectTable;

use crate::faults::Faults;
use crate::server::Server;

data! {
    /// Injected faults of the store; body of `PUT /control/faults`.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct StoreFaults {
        /// Outage that affects every call.
        pub outage: Outage,
        /// Time that each call takes before its effect in addition to that of the settings, in ms.
        pub extra_latency_ms: u64,
        /// Number of next writes whose answer is lost after they took effect; each lost answer
        /// lowers it by one.
        pub lose_next: u64,
        /// Share of writes whose answer is lost after they took effect, from 0 to 1.
        pub lose_share: f64,
        /// Number of next writes that are lost before they take effect, so that they get no answer;
        /// each lost write lowers it by one.
        pub drop_next: u64,
        /// Limit on reads per second that replaces that of the settings. It stays in force when
        /// this is set back to `None`.
        pub read_rate: Option<f64>,
        /// Limit on writes per second that replaces that of the settings. It stays in force when
        /// this is set back to `None`.
        pub write_rate: Option<f64>,
    }

    /// Kind of outage.
    #[derive(Default, Eq, Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Outage {
        /// No outage.
        #[default]
        None,
        /// Every call is refused with status 503 and has no effect.
        Refuse,
        /// Connections close without an answer, and calls have no effect.
        Disconnect,
        /// No call is answered. Calls that are waiting when the outage ends are carried out then.
        Hang,
    }

    /// Counters of calls since the store started; answer to `GET /control/stats`.
    #[derive(Default, Eq, Copy)]
    pub struct StoreStats {
        /// Calls that read a single object.
        pub gets: u64,
        /// Calls that list a page of objects.
        pub lists: u64,
        /// Calls that watch for changes.
        pub watches: u64,
        /// Calls that write or delete an object, also those that failed, for example because of a
        /// version conflict.
        pub writes: u64,
        /// Calls refused because of the rate limit.
        pub limited: u64,
        /// Calls refused or disconnected by an outage.
        pub outages: u64,
        /// Writes whose answer was lost after they took effect.
        pub lost_answers: u64,
        /// Writes that were lost before they took effect.
        pub lost_writes: u64,
    }
}

/// Settings of a store stand-in.
#[derive(Debug, Clone)]
pub struct StoreSettings {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Limit on reads, listings and watches per second, for all clients together.
    pub read_rate: f64,
    /// Limit on writes per second, for all clients together.
    pub write_rate: f64,
    /// Time that each call takes before its effect.
    pub latency: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            read_rate: 2_000.0,
            write_rate: 300.0,
            latency: Duration::from_millis(2),
            seed: 1,
        }
    }
}

/// The stored objects. Clones share them, and they stay valid after the server has ended, so that a
/// store can be killed and started again with its objects.
#[derive(Debug, Clone, Default)]
pub struct Objects(Arc<Mutex<ObjectTable>>);

impl Objects {
    /// Locks the objects for direct access, without faults and rate limits. It does not wake
    /// watches.
    pub fn lock(&self) -> MutexGuard<'_, ObjectTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running store stand-in. Dropping the handle kills the store.
pub struct StoreHandle {
    server: Server,
    faults: Faults<StoreFaults>,
    objects: Objects,
    stats: Arc<Mutex<StoreStats>>,
}

impl StoreHandle {
    /// Returns the address that the store listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the base URL, without a trailing slash.
    #[must_use]
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Returns the injected faults, which can be changed while the store runs.
    #[must_use]
    pub const fn faults(&self) -> &Faults<StoreFaults> {
        &self.faults
    }

    /// Returns the stored objects.
    #[must_use]
    pub const fn objects(&self) -> &Objects {
        &self.objects
    }

    /// Returns the counters of calls so far.
    #[must_use]
    pub fn stats(&self) -> StoreStats {
        *self.stats.lock().unwrap_or_else(PoisonError::into_inner)
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

/// Starts an empty store on a new thread.
///
/// # Errors
/// If the address cannot be bound or no thread can be started.
pub fn start(settings: StoreSettings) -> io::Result<StoreHandle> {
    start_with(settings, Objects::default())
}

/// Starts a store with the given objects on a new thread.
///
/// # Errors
/// If the address cannot be bound or no thread can be started.
pub fn start_with(settings: StoreSettings, objects: Objects) -> io::Result<StoreHandle> {
    let faults = Faults::<StoreFaults>::default();
    let stats = Arc::<Mutex<StoreStats>>::default();
    let (f, o, s) = (faults.clone(), objects.clone(), Arc::clone(&stats));
    let server = Server::start(settings.listen, "store", move || {
        Rc::new(app::StoreApp::new(&settings, f, o, s))
    })?;
    Ok(StoreHandle {
        server,
        faults,
        objects,
        stats,
    })
}
