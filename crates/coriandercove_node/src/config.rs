//! Keeps the configuration in force up to date from the store and from peers.

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

/// Time between two ticks of the log.
const TICK: Duration = Duration::from_millis(200);
/// Addresses of peers that are remembered, to answer their pulls and to pull from them.
const MAX_PEERS: usize = 4096;
/// Time between two looks at a version that is being read.
const REACH_POLL: Duration = Duration::from_millis(5);
/// Time that a change gets to be read, written and settled by [`accept`].
const ACCEPT_TIME: Duration = Duration::from_secs(40);

type OnConfig = Box<dyn Fn(ConfigVersion, Config)>;
type Accepted = Result<ConfigVersion, AcceptError>;

/// Runs the configuration log of one node.
pub struct ConfigRunner {
    machine: RefCell<ConfigLog>,
    store: Option<Rc<dyn Store>>,
    links: OnceCell<Links>,
    peers: RefCell<SortedMap<NodeId, Address>>,
    accepts: RefCell<HashMap<OpId, oneshot::Sender<Accepted>>>,
    next_accept: Cell<OpId>,
    store_reachable: Cell<bool>,
    on_config: OnConfig,
    clock: MonotonicClock,
    dropped: CounterFamily,
    log: Logger,
    tick: RefCell<Option<Subscription>>,
}

impl ConfigRunner {
    /// The log of `node`, which learns from peers only if it has no store. `on_config` is told each
    /// version that comes in force and has a valid configuration.
    #[must_use]
    pub fn new(
        node: NodeId,
        store: Option<Rc<dyn Store>>,
        metrics: &Metrics,
        log: Logger,
        on_config: impl Fn(ConfigVersion, Config) + 'static,
    ) -> Rc<Self> {
        // Membership tells which peers have a version, so no peer is named here.
        let settings = ConfigLogSettings::new(node, store.is_some(), Vec::new());
        Rc::new(Self {
            machine: RefCell::new(ConfigLog::new(settings)),
            store,
            links: OnceCell::new(),
            peers: RefCell::default(),
            accepts: RefCell::default(),
            next_accept: Cell::new(1),
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

    /// Starts to learn, from peers over `links`.
    pub fn start(self: &Rc<Self>, links: Links, timers: &TimerService) {
        // The cell is empty, because nothing else sets it.
        let _ = self.links.set(links);
        let weak = Rc::downgrade(self);
        let tick = timers.subscribe(TICK, move || {
            if let Some(runner) = weak.upgrade() {
                runner.event(ConfigEvent::Tick);
            }
        });
        *self.tick.borrow_mut() = Some(tick);
    }

    /// Version in force; 0 while none is known.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.machine.borrow().version()
    }

    /// Whether the store answered the latest call of the log.
    #[must_use]
    pub const fn store_reachable(&self) -> bool {
        self.store_reachable.get()
    }

    /// Digest of the objects in force.
    #[must_use]
    pub fn digest(&self) -> u128 {
        self.machine.borrow().digest()
    }

    /// The objects in force.
    #[must_use]
    pub fn objects(&self) -> coriandercove_config::Objects {
        decode(self.machine.borrow().objects()).unwrap_or_default()
    }

    /// Sets the live entries, some of which watch the log in the store.
    pub fn set_entries(self: &Rc<Self>, entries: Vec<NodeId>) {
        self.event(ConfigEvent::Entries(entries));
    }

    /// A peer reported the version that it has in force.
    pub fn peer_version(self: &Rc<Self>, peer: Address, version: ConfigVersion) {
        let node = peer.node.clone();
        self.remember(peer);
        self.event(ConfigEvent::PeerVersion {
            peer: node,
            version,
        });
    }

    /// Takes a frame from a peer; returns one that does not concern the configuration.
    pub fn frame(self: &Rc<Self>, from: &PeerInfo, frame: Frame) -> Option<Frame> {
        let peer = from.node.clone();
        match frame {
            Frame::PullConfig { after } => {
                self.remember(from.address());
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

    /// A frame to a peer surely never left this process.
    pub fn undelivered(self: &Rc<Self>, to: &NodeId, frame: &Frame) {
        if matches!(frame, Frame::PullConfig { .. }) {
            self.event(ConfigEvent::PullFailed { peer: to.clone() });
        }
    }

    /// The link to a peer closed.
    pub fn link_down(self: &Rc<Self>, node: &NodeId) {
        self.event(ConfigEvent::PullFailed { peer: node.clone() });
    }

    /// Makes a change on top of version `expected`. `write_id` must be random.
    ///
    /// # Errors
    /// [`AcceptError`] if the change did not take effect or is not settled in time.
    pub async fn accept(
        self: &Rc<Self>,
        expected: ConfigVersion,
        write_id: u128,
        author: String,
        edit: Edit,
    ) -> Accepted {
        let op = self.next_accept.get();
        self.next_accept.set(op + 1);
        let (tx, rx) = oneshot::channel();
        self.accepts.borrow_mut().insert(op, tx);
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

    fn remember(&self, peer: Address) {
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
            self.action(action);
        }
    }

    fn action(self: &Rc<Self>, action: ConfigAction) {
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
                    // The peer asks again if the answer is lost.
                    self.send(&peer, Frame::ConfigChanges(vec![Bytes::from(bytes)]));
                }
            }
            ConfigAction::InForce { version, .. } => self.in_force(version),
            ConfigAction::Accepted { op, version } => self.accepted(op, Ok(version)),
            ConfigAction::Refused { op, error } => self.accepted(op, Err(error)),
        }
    }

    fn send(&self, peer: &NodeId, frame: Frame) -> bool {
        let address = self.peers.borrow().get(peer).cloned();
        let sent = address
            .zip(self.links.get())
            .map(|(to, links)| links.send(&to, frame));
        matches!(sent, Some(Ok(())))
    }

    fn accepted(&self, op: OpId, result: Accepted) {
        if let Some(tx) = self.accepts.borrow_mut().remove(&op) {
            // The caller may have given up meanwhile.
            let _ = tx.send(result);
        }
    }

    /// Hands a version on. One that has no valid configuration is skipped: the version before it
    /// stays in use until a later one repairs it.
    fn in_force(&self, version: ConfigVersion) {
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

/// The objects with decoded values.
///
/// # Errors
/// The key and the problem of the first value that is not JSON.
pub fn decode(objects: &Objects) -> Result<coriandercove_config::Objects, String> {
    let decode = |(key, text): (&str, &std::sync::Arc<str>)| {
        let value = serde_json::from_str(text).map_err(|e| format!("{key}: {e}"))?;
        Ok((key.to_owned(), value))
    };
    objects.iter().map(decode).collect()
}

/// The edit that turns `old` into `new`.
#[must_use]
pub fn edit(old: &coriandercove_config::Objects, new: &coriandercove_config::Objects) -> Edit {
    let delta = old.delta(new);
    let text = |(key, value): (String, serde_json::Value)| (key, value.to_string().into());
    Edit {
        upserts: delta.put.into_iter().map(text).collect(),
        removes: delta.remove,
    }
}

/// Makes a change on top of version `expected` directly in the store, as the operators' command line
/// does.
///
/// # Errors
/// [`AcceptError`] if the change did not take effect or is not settled in time.
pub async fn accept(
    store: Rc<dyn Store>,
    expected: ConfigVersion,
    write_id: u128,
    author: &str,
    edit: Edit,
) -> Accepted {
    let (runner, _ticks) = reader(store, author);
    let work = async {
        reach(&runner, expected).await;
        runner
            .accept(expected, write_id, author.to_owned(), edit)
            .await
    };
    let result = tokio::time::timeout(ACCEPT_TIME, work).await;
    result.unwrap_or(Err(AcceptError::Unsettled {
        version: expected + 1,
    }))
}

/// The latest version in the store with its objects; version 0 without objects if there is none.
///
/// # Errors
/// [`StoreError`] if the store cannot be read, or does not yield the version in time.
pub async fn latest(store: Rc<dyn Store>) -> Result<(ConfigVersion, Objects), StoreError> {
    let listing = list_all(&*store, LOG_PREFIX).await?;
    let version = |key: &str| key.strip_prefix(LOG_PREFIX)?.parse().ok();
    let versions = listing.objects.iter().filter_map(|o| version(&o.key));
    let newest: ConfigVersion = versions.max().unwrap_or(0);
    let (runner, _ticks) = reader(store, "reader");
    let reached = tokio::time::timeout(ACCEPT_TIME, reach(&runner, newest)).await;
    reached.map_err(|_| StoreError::Unavailable {
        message: format!("version {newest} cannot be read from the store"),
    })?;
    let machine = runner.machine.borrow();
    Ok((machine.version(), machine.objects().clone()))
}

/// A log that reads the store and has no peers, and what lets its time pass.
fn reader(store: Rc<dyn Store>, node: &str) -> (Rc<ConfigRunner>, Ticks) {
    let log = coriandercove_base::telemetry::discard();
    let metrics = Metrics::default();
    let runner = ConfigRunner::new(node.into(), Some(store), &metrics, log, |_, _| {});
    let ticker = Rc::clone(&runner);
    let task = actix_rt::spawn(async move {
        loop {
            ticker.event(ConfigEvent::Tick);
            tokio::time::sleep(TICK).await;
        }
    });
    (runner, Ticks(task))
}

async fn reach(runner: &ConfigRunner, version: ConfigVersion) {
    while runner.version() < version {
        tokio::time::sleep(REACH_POLL).await;
    }
}

/// Ends the ticks when it is dropped.
struct Ticks(tokio::task::JoinHandle<()>);

impl Drop for Ticks {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[cfg(test)]
mod tests;
