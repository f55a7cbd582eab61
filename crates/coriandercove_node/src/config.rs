//! Runs a node's configuration log: keeps the configuration in force up to date from the store and
//! from peers, and accepts changes.

mod store;

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use coriandercove_base::telemetry::{CounterFamily, Metrics, count};
use coriandercove_base::timer::{Subscription, TimerService};
use coriandercove_base::{Clock, ConfigVersion, MonotonicClock, NodeId, SortedMap};
use coriandercove_config::Config;
use coriandercove_peer::{Address, Frame, Links, PeerInfo};
use coriandercove_platform::{Store, StoreError, list_all};
use coriandercove_state::config_log::{
    AcceptError, ConfigAction, ConfigEvent, ConfigLog, ConfigLogSettings, Edit, LOG_PREFIX,
    Objects, OpId, PullConfig, PullReply, StoreAnswer,
};
use slog::Logger;
use tokio::sync::oneshot;

/// Time between two ticks of the configuration log.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Number of peer addresses that are remembered, to answer their pulls and to pull from them. When
/// another peer would exceed it, all addresses are discarded and learned again.
const MAX_PEERS: usize = 4096;
/// Time between two checks whether the version that is being read has been reached.
const VERSION_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Timeout of [`accept_change`] for reading the log, writing the change and learning its result,
/// and of [`latest`] for reading the log.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(40);

type OnConfig = Box<dyn Fn(ConfigVersion, Config)>;
type AcceptResult = Result<ConfigVersion, AcceptError>;

/// Runs the configuration log of one node.
pub struct ConfigRunner {
    machine: RefCell<ConfigLog>,
    store: Option<Rc<dyn Store>>,
    links: OnceCell<Links>,
    peers: RefCell<SortedMap<NodeId, Address>>,
    /// Accepts that wait for their result.
    pending_accepts: RefCell<HashMap<OpId, oneshot::Sender<AcceptResult>>>,
    next_accept_id: Cell<OpId>,
    store_reachable: Cell<bool>,
    on_config: OnConfig,
    clock: MonotonicClock,
    dropped: CounterFamily,
    log: Logger,
    tick: RefCell<Option<Subscription>>,
}

impl ConfigRunner {
    /// Creates the configuration log of `node`. Without a store, it learns only from peers.
    /// `on_config` is called for each version that comes into force with a valid configuration.
    #[must_use]
    pub fn new(
        node: NodeId,
        store: Option<Rc<dyn Store>>,
        metrics: &Metrics,
        log: Logger,
        on_config: impl Fn(ConfigVersion, Config) + 'static,
    ) -> Rc<Self> {
        // The log needs no seeds: membership reports which version each peer has.
        let settings = ConfigLogSettings::new(node, store.is_some(), Vec::new());
        Rc::new(Self {
            machine: RefCell::new(ConfigLog::new(settings)),
            store,
            links: OnceCell::new(),
            peers: RefCell::default(),
            pending_accepts: RefCell::default(),
            next_accept_id: Cell::new(1),
            store_reachable: Cell::new(false),
            on_config: Box::new(on_config),
            clock: MonotonicClock::default(),
            dropped: metrics.counters(
                "config_dropped",
                "Messages and versions of the configuration not used, by reason",
            ),
            log,
            tick: RefCell::default(),
        })
    }

    /// Starts the ticks, and with them reading from the store and pulling from peers over `links`.
    pub fn start(self: &Rc<Self>, links: Links, timers: &TimerService) {
        // Cannot fail: this is the only place that sets the cell.
        let _ = self.links.set(links);
        let weak = Rc::downgrade(self);
        let tick = timers.subscribe(TICK_INTERVAL, move || {
            if let Some(runner) = weak.upgrade() {
                runner.event(ConfigEvent::Tick);
            }
        });
        *self.tick.borrow_mut() = Some(tick);
    }

    /// Returns the version in force; 0 while none is known.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.machine.borrow().version()
    }

    /// Returns whether the store answered the latest call of the log; false before the first
    /// answer.
    #[must_use]
    pub const fn store_reachable(&self) -> bool {
        self.store_reachable.get()
    }

    /// Returns the digest of the objects in force.
    #[must_use]
    pub fn digest(&self) -> u128 {
        self.machine.borrow().digest()
    }

    /// Returns the objects in force with decoded values; empty if a value is not JSON.
    #[must_use]
    pub fn objects(&self) -> coriandercove_config::Objects {
        decode(self.machine.borrow().objects()).unwrap_or_default()
    }

    /// Sets the live entries, from which the log chooses those that watch it in the store.
    pub fn set_entries(self: &Rc<Self>, entries: Vec<NodeId>) {
        self.event(ConfigEvent::Entries(entries));
    }

    /// Records the version that a peer has in force, as the peer reported it.
    pub fn on_peer_version(self: &Rc<Self>, peer: Address, version: ConfigVersion) {
        let node = peer.node.clone();
        self.remember_address(peer);
        self.event(ConfigEvent::PeerVersion {
            peer: node,
            version,
        });
    }

    /// Handles a frame from a peer. Returns the frame if it does not concern the configuration.
    pub fn on_frame(self: &Rc<Self>, from: &PeerInfo, frame: Frame) -> Option<Frame> {
        let peer = from.node.clone();
        match frame {
            Frame::PullConfig { after } => {
                self.remember_address(from.address());
                let req = PullConfig { after };
                self.event(ConfigEvent::Pull { peer, req });
            }
            Frame::ConfigChanges(parts) => {
                for part in parts {
                    match postcard::from_bytes::<PullReply>(&part) {
                        Ok(reply) => {
                            let peer = peer.clone();
                            self.event(ConfigEvent::Pulled { peer, reply });
                        }
                        Err(_) => count(&self.dropped, "reason", "malformed"),
                    }
                }
            }
            other => return Some(other),
        }
        None
    }

    /// Handles a frame to a peer that certainly never left this process.
    pub fn on_undelivered(self: &Rc<Self>, to: &NodeId, frame: &Frame) {
        if matches!(frame, Frame::PullConfig { .. }) {
            self.event(ConfigEvent::PullFailed { peer: to.clone() });
        }
    }

    /// Handles the loss of the link to a peer: a pull from it counts as failed.
    pub fn on_link_down(self: &Rc<Self>, node: &NodeId) {
        self.event(ConfigEvent::PullFailed { peer: node.clone() });
    }

    /// Accepts a change as the version after `expected`, and returns that version. `write_id` must
    /// be random.
    ///
    /// # Errors
    /// Returns [`AcceptError`] if the change did not take effect or its result is not known in
    /// time.
    pub async fn accept(
        self: &Rc<Self>,
        expected: ConfigVersion,
        write_id: u128,
        author: String,
        edit: Edit,
    ) -> AcceptResult {
        let op = self.next_accept_id.get();
        self.next_accept_id.set(op + 1);
        let (tx, rx) = oneshot::channel();
        self.pending_accepts.borrow_mut().insert(op, tx);
        self.event(ConfigEvent::Accept {
            op,
            expected,
            write_id,
            author,
            edit,
        });
        let version = expected + 1;
        rx.await.unwrap_or(Err(AcceptError::Unsettled { version }))
    }

    fn remember_address(&self, peer: Address) {
        let mut peers = self.peers.borrow_mut();
        if peers.len() >= MAX_PEERS && !peers.contains(&peer.node) {
            *peers = SortedMap::new();
        }
        peers.insert(peer.node.clone(), peer);
    }

    fn event(self: &Rc<Self>, event: ConfigEvent) {
        let now = self.clock.now();
        let actions = self.machine.borrow_mut().on_event(now, event);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(self: &Rc<Self>, action: ConfigAction) {
        match action {
            ConfigAction::Store { id, call } => {
                let (runner, store) = (Rc::downgrade(self), self.store.clone());
                actix_rt::spawn(async move {
                    let Some(store) = store else { return };
                    let answer = store::call(store, call).await;
                    if let Some(runner) = runner.upgrade() {
                        let failed = matches!(answer, StoreAnswer::Lost | StoreAnswer::Unavailable);
                        runner.store_reachable.set(!failed);
                        runner.event(ConfigEvent::Store { id, answer });
                    }
                });
            }
            ConfigAction::Pull { peer, req } => {
                let sent = self.send(&peer, Frame::PullConfig { after: req.after });
                if !sent {
                    self.event(ConfigEvent::PullFailed { peer });
                }
            }
            ConfigAction::Reply { peer, reply } => {
                if let Ok(bytes) = postcard::to_stdvec(&reply) {
                    // No retry: the peer asks again if the answer is lost.
                    self.send(&peer, Frame::ConfigChanges(vec![Bytes::from(bytes)]));
                }
            }
            ConfigAction::InForce { version, .. } => self.apply_version(version),
            ConfigAction::Accepted { op, version } => self.finish_accept(op, Ok(version)),
            ConfigAction::Refused { op, error } => self.finish_accept(op, Err(error)),
        }
    }

    fn send(&self, peer: &NodeId, frame: Frame) -> bool {
        let address = self.peers.borrow().get(peer).cloned();
        let sent = address
            .zip(self.links.get())
            .map(|(to, links)| links.send(&to, frame));
        matches!(sent, Some(Ok(())))
    }

    fn finish_accept(&self, op: OpId, result: AcceptResult) {
        if let Some(tx) = self.pending_accepts.borrow_mut().remove(&op) {
            // The send fails if the caller has stopped waiting, which needs no handling.
            let _ = tx.send(result);
        }
    }

    /// Passes the configuration of a new version in force to `on_config`. A version whose objects
    /// do not form a valid configuration is skipped: the configuration before it stays in use until
    /// a later version is valid again.
    fn apply_version(&self, version: ConfigVersion) {
        let config = decode(self.machine.borrow().objects())
            .and_then(|objects| Config::from_objects(&objects).map_err(|e| e.to_string()));
        match config {
            Ok(config) => (self.on_config)(version, config),
            Err(problem) => {
                count(&self.dropped, "reason", "invalid");
                slog::error!(self.log, "configuration is not valid and not used";
                    "version" => version, "problem" => problem);
            }
        }
    }
}

/// Parses the JSON text of each object.
///
/// # Errors
/// Returns the key and the problem of the first value that is not JSON.
pub fn decode(objects: &Objects) -> Result<coriandercove_config::Objects, String> {
    let decode = |(key, text): (&str, &std::sync::Arc<str>)| {
        let value = serde_json::from_str(text).map_err(|e| format!("{key}: {e}"))?;
        Ok((key.to_owned(), value))
    };
    objects.iter().map(decode).collect()
}

/// Returns the edit that turns `old` into `new`.
#[must_use]
pub fn edit_between(
    old: &coriandercove_config::Objects,
    new: &coriandercove_config::Objects,
) -> Edit {
    let delta = old.delta(new);
    let text = |(key, value): (String, serde_json::Value)| (key, value.to_string().into());
    Edit {
        upserts: delta.put.into_iter().map(text).collect(),
        removes: delta.remove,
    }
}

/// Accepts a change as the version after `expected` directly in the store, without a running node,
/// as the operators' command line does. Returns the new version.
///
/// # Errors
/// Returns [`AcceptError`] if the change did not take effect or its result is not known in time.
pub async fn accept_change(
    store: Rc<dyn Store>,
    expected: ConfigVersion,
    write_id: u128,
    author: &str,
    edit: Edit,
) -> AcceptResult {
    let (runner, _ticks) = start_store_reader(store, author);
    let work = async {
        wait_for_version(&runner, expected).await;
        runner
            .accept(expected, write_id, author.to_owned(), edit)
            .await
    };
    let result = tokio::time::timeout(ACCEPT_TIMEOUT, work).await;
    result.unwrap_or(Err(AcceptError::Unsettled {
        version: expected + 1,
    }))
}

/// Reads the latest version and its objects from the store; version 0 without objects if the log is
/// empty.
///
/// # Errors
/// Returns [`StoreError`] if the store cannot be read, or if the version cannot be read in time.
pub async fn latest(store: Rc<dyn Store>) -> Result<(ConfigVersion, Objects), StoreError> {
    let listing = list_all(&*store, LOG_PREFIX).await?;
    let version = |key: &str| key.strip_prefix(LOG_PREFIX)?.parse().ok();
    let versions = listing.objects.iter().filter_map(|o| version(&o.key));
    let newest: ConfigVersion = versions.max().unwrap_or(0);
    let (runner, _ticks) = start_store_reader(store, "reader");
    let reached = tokio::time::timeout(ACCEPT_TIMEOUT, wait_for_version(&runner, newest)).await;
    reached.map_err(|_| StoreError::Unavailable {
        message: format!("version {newest} cannot be read from the store"),
    })?;
    let machine = runner.machine.borrow();
    Ok((machine.version(), machine.objects().clone()))
}

/// Starts a configuration log that reads the store and has no peers. It runs while the returned
/// [`TickTask`] is kept.
fn start_store_reader(store: Rc<dyn Store>, node: &str) -> (Rc<ConfigRunner>, TickTask) {
    let log = coriandercove_base::telemetry::discard();
    let metrics = Metrics::default();
    let runner = ConfigRunner::new(node.into(), Some(store), &metrics, log, |_, _| {});
    let ticker = Rc::clone(&runner);
    let task = actix_rt::spawn(async move {
        loop {
            ticker.event(ConfigEvent::Tick);
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    });
    (runner, TickTask(task))
}

async fn wait_for_version(runner: &ConfigRunner, version: ConfigVersion) {
    while runner.version() < version {
        tokio::time::sleep(VERSION_POLL_INTERVAL).await;
    }
}

/// The task that sends ticks to a configuration log. It is aborted when this is dropped.
struct TickTask(tokio::task::JoinHandle<()>);

impl Drop for TickTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[cfg(test)]
mod tests;
