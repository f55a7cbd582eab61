//! The object store stand-in.

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
    /// Faults of the store; body of `PUT /control/faults`.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct StoreFaults {
        /// How the store fails.
        pub outage: Outage,
        /// Time that each call takes before its effect, in ms, beside the one in the settings.
        pub extra_latency_ms: u64,
        /// Writes whose answer is lost after they took effect, counted down.
        pub lose_next: u64,
        /// Share of writes whose answer is lost after they took effect, from 0 to 1.
        pub lose_share: f64,
        /// Writes that are lost with their answer before they take effect, counted down.
        pub drop_next: u64,
        /// Reads per second in place of those in the settings.
        pub read_rate: Option<f64>,
        /// Writes per second in place of those in the settings.
        pub write_rate: Option<f64>,
    }

    /// How the store fails.
    #[derive(Default, Eq, Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Outage {
        /// It works.
        #[default]
        None,
        /// Every call is refused with status 503 and has no effect.
        Refuse,
        /// Connections close without an answer, and calls have no effect.
        Disconnect,
        /// Nothing is answered. Calls that wait when the outage ends are carried out then.
        Hang,
    }

    /// Calls that have arrived; answer to `GET /control/stats`.
    #[derive(Default, Eq, Copy)]
    pub struct StoreStats {
        /// Single objects read.
        pub gets: u64,
        /// Pages listed.
        pub lists: u64,
        /// Watches begun.
        pub watches: u64,
        /// Writes, also those that failed because of another version.
        pub writes: u64,
        /// Calls refused because of the rate.
        pub limited: u64,
        /// Calls refused or cut off by an outage.
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
    /// Reads, listings and watches per second for all users together.
    pub read_rate: f64,
    /// Writes per second for all users together.
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

/// The objects, which outlive the server, so that a store can be killed and started again.
#[derive(Debug, Clone, Default)]
pub struct Objects(Arc<Mutex<ObjectTable>>);

impl Objects {
    /// Access to the objects without faults and limits.
    pub fn lock(&self) -> MutexGuard<'_, ObjectTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running store stand-in. Dropping it kills the store.
pub struct StoreHandle {
    server: Server,
    faults: Faults<StoreFaults>,
    objects: Objects,
    stats: Arc<Mutex<StoreStats>>,
}

impl StoreHandle {
    /// Address that the store listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Address as the start of a URL.
    #[must_use]
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// The faults, to change.
    #[must_use]
    pub const fn faults(&self) -> &Faults<StoreFaults> {
        &self.faults
    }

    /// The objects.
    #[must_use]
    pub const fn objects(&self) -> &Objects {
        &self.objects
    }

    /// Calls so far.
    #[must_use]
    pub fn stats(&self) -> StoreStats {
        *self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends after the calls in flight, or after `grace`.
    pub fn stop(self, grace: Duration) {
        self.server.stop(grace);
    }

    /// Ends at once and closes all connections.
    pub fn kill(self) {
        self.server.kill();
    }
}

/// Starts an empty store on a thread of its own.
///
/// # Errors
/// If the address cannot be bound or no thread can be started.
pub fn start(settings: StoreSettings) -> io::Result<StoreHandle> {
    start_with(settings, Objects::default())
}

/// Starts a store with the given objects.
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
