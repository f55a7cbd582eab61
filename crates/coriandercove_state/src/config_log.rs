//! The configuration log: an ordered log of changes in the store, which the nodes read from the
//! store and from each other.
//!
//! An operator's change becomes the next version by a conditional create of its log object; this is
//! called an accept. Every 64 versions a snapshot is written, and older log objects are deleted.

mod accept;
mod apply;
mod change;
mod event;
mod faults;
mod names;
mod peers;
mod reader;
mod snapshot;
mod writer;

pub use change::{Change, Difference, Edit, KeyChange, Objects};
pub use event::{
    AcceptError, ConfigAction, ConfigCounters, ConfigEvent, OpId, PullConfig, PullReply,
    StoreAnswer, StoreCall,
};
#[cfg(feature = "faults")]
pub use faults::ConfigFault;
pub use snapshot::{Manifest, SnapshotPart};

use accept::OpenAccept;
use coriandercove_base::{ConfigVersion, NodeId, Time};
use faults::Faults;
use peers::Peers;
use reader::{ReadCall, Reader};
use std::collections::VecDeque;
use std::time::Duration;
use writer::{WriteCall, Writer};

/// Prefix of the names of the log's objects in the store.
pub const LOG_PREFIX: &str = "config/log/";
/// Prefix of the names of the snapshots' objects in the store.
pub const SNAPSHOT_PREFIX: &str = "config/snapshot/";
/// Largest object that the log writes, in bytes. The store accepts slightly more, 1 MiB.
pub const MAX_OBJECT_BYTES: usize = 1_000_000;
/// Number of versions from one snapshot to the next.
pub const SNAPSHOT_INTERVAL: ConfigVersion = 64;
/// Number of versions below the newest snapshot whose log objects are kept. Lower ones may have
/// been deleted, so a log object found there proves nothing: a node that was paused may have
/// created it again.
pub const RETAINED_LOG_VERSIONS: ConfigVersion = 64;

/// Settings of one node's [`ConfigLog`].
#[derive(Debug, Clone)]
pub struct ConfigLogSettings {
    /// Name of this node.
    pub node: NodeId,
    /// Whether this node reads and writes the log in the store. Agents do not; they learn from
    /// peers only.
    pub uses_store: bool,
    /// Nodes that are asked for the configuration before any peer is known.
    pub seeds: Vec<NodeId>,
    /// Time after which an unanswered pull counts as failed and another peer is asked. Also the
    /// time after the start from which a node without a version reads the store.
    pub pull_timeout: Duration,
    /// Pause before a failed store call is repeated.
    pub store_retry: Duration,
    /// Time after which an accept whose result the store has not shown is reported as unsettled.
    pub accept_deadline: Duration,
    /// Delay per rank before a watching entry writes a snapshot, so that each entry first lets
    /// those of lower rank write it.
    pub snapshot_stagger: Duration,
}

impl ConfigLogSettings {
    /// Returns the default settings of a node.
    #[must_use]
    pub fn new(node: NodeId, uses_store: bool, seeds: Vec<NodeId>) -> Self {
        Self {
            node,
            uses_store,
            seeds,
            pull_timeout: Duration::from_secs(2),
            store_retry: Duration::from_secs(1),
            accept_deadline: Duration::from_secs(30),
            snapshot_stagger: Duration::from_secs(5),
        }
    }
}

/// The task that made a store call, which gets the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Purpose {
    Accept,
    Read(ReadCall),
    Watch,
    Write(WriteCall),
}

/// State machine that keeps one node's configuration up to date and accepts changes.
///
/// Invariants: the version in force never decreases, and versions are applied one by one or by a
/// verified snapshot.
#[derive(Debug)]
pub struct ConfigLog {
    cfg: ConfigLogSettings,
    objects: Objects,
    /// Version in force; 0 while none is known.
    version: ConfigVersion,
    /// Last changes applied, consecutive and ending with `version`, to answer peers' pulls.
    recent_changes: VecDeque<Change>,
    /// Write ids of the last versions, oldest first and ending with `version`.
    write_ids: VecDeque<u128>,
    /// Rank of this node among the entries that watch the log; `None` if it is not one of them.
    rank: Option<u32>,
    /// Open store calls.
    calls: Vec<(OpId, Purpose)>,
    next_call: OpId,
    started: Option<Time>,
    /// Time at which to watch the store again; `None` while a watch is open.
    watch_at: Option<Time>,
    reader: Reader,
    writer: Writer,
    peers: Peers,
    accept: Option<OpenAccept>,
    counters: ConfigCounters,
    faults: Faults,
    out: Vec<ConfigAction>,
}

impl ConfigLog {
    /// Creates a state machine that knows no version yet. The first [`ConfigEvent::Tick`] starts
    /// it.
    #[must_use]
    pub fn new(cfg: ConfigLogSettings) -> Self {
        Self {
            cfg,
            objects: Objects::default(),
            version: 0,
            recent_changes: VecDeque::new(),
            write_ids: VecDeque::new(),
            rank: None,
            calls: Vec::new(),
            next_call: 1,
            started: None,
            watch_at: None,
            reader: Reader::default(),
            writer: Writer::default(),
            peers: Peers::default(),
            accept: None,
            counters: ConfigCounters::default(),
            faults: Faults::default(),
            out: Vec::new(),
        }
    }

    /// Switches a deliberate fault on.
    #[cfg(feature = "faults")]
    #[must_use]
    pub const fn with_fault(mut self, fault: ConfigFault) -> Self {
        self.faults = Faults::only(fault);
        self
    }

    /// Returns the version in force; 0 while none is known.
    #[must_use]
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the digest of the objects in force, which is the same at all nodes with the same
    /// version.
    #[must_use]
    pub fn digest(&self) -> u128 {
        self.objects.digest(self.version)
    }

    /// Whether a version is in force. A node that is not ready serves no requests.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.version > 0
    }

    /// Whether this node watches the log in the store.
    #[must_use]
    pub const fn is_watcher(&self) -> bool {
        self.rank.is_some()
    }

    /// Returns the objects in force: JSON texts by key, which has the form `kind/name`.
    #[must_use]
    pub const fn objects(&self) -> &Objects {
        &self.objects
    }

    /// Returns the counters for the metrics endpoint.
    #[must_use]
    pub const fn counters(&self) -> &ConfigCounters {
        &self.counters
    }

    /// Handles one event at time `now` and returns the actions that follow from it. Ticks are
    /// expected about every 200 ms.
    pub fn on_event(&mut self, now: Time, event: ConfigEvent) -> Vec<ConfigAction> {
        match event {
            ConfigEvent::Tick => self.tick(now),
            ConfigEvent::Entries(entries) => self.set_entries(now, &entries),
            ConfigEvent::PeerVersion { peer, version } => {
                self.handle_peer_version(now, peer, version);
            }
            ConfigEvent::Accept {
                op,
                expected,
                write_id,
                author,
                edit,
            } => self.begin_accept(now, op, expected, write_id, author, edit),
            ConfigEvent::Store { id, answer } => self.handle_store_answer(now, id, answer),
            ConfigEvent::Pull { peer, req } => self.serve_pull(&peer, req),
            ConfigEvent::Pulled { peer, reply } => self.handle_pull_reply(now, &peer, reply),
            ConfigEvent::PullFailed { peer } => self.handle_pull_failure(now, &peer),
        }
        self.settle_from_log();
        std::mem::take(&mut self.out)
    }

    fn tick(&mut self, now: Time) {
        if self.started.is_none() {
            self.started = Some(now);
        }
        self.tick_peers(now);
        self.tick_reader(now);
        self.tick_writer(now);
        self.tick_accept(now);
        if self.is_watcher() && self.watch_at.is_some_and(|at| at <= now) {
            self.watch();
        }
    }

    /// Updates this node's rank among the watching entries, and starts to watch if it becomes one.
    fn set_entries(&mut self, now: Time, entries: &[NodeId]) {
        let rank = watchers(entries)
            .iter()
            .position(|n| *n == self.cfg.node)
            .and_then(|i| u32::try_from(i).ok())
            .filter(|_| self.cfg.uses_store);
        let becomes_watcher = self.rank.is_none() && rank.is_some();
        self.rank = rank;
        if becomes_watcher && !self.calls.iter().any(|(_, p)| *p == Purpose::Watch) {
            self.start_reading(now);
            self.watch();
        }
    }

    fn watch(&mut self) {
        self.watch_at = None;
        if self.calls.iter().any(|(_, p)| *p == Purpose::Watch) {
            return;
        }
        let after = names::log_name(self.version);
        let prefix = LOG_PREFIX.to_owned();
        self.call(Purpose::Watch, StoreCall::Watch { prefix, after });
    }

    /// Handles the end of a watch. One that ended without news is repeated at the next tick; the
    /// others wait, so that a store that is down or holds an invalid change is not called in a
    /// tight loop.
    fn handle_watch_answer(&mut self, now: Time, answer: &StoreAnswer) {
        let pause = match answer {
            StoreAnswer::Names(names) if names.is_empty() => Duration::ZERO,
            StoreAnswer::Names(_) => {
                self.start_reading(now);
                self.cfg.store_retry / 4
            }
            _ => {
                self.counters.store_failures += 1;
                self.cfg.store_retry
            }
        };
        self.watch_at = Some(now + pause);
    }

    fn call(&mut self, purpose: Purpose, call: StoreCall) {
        let id = self.next_call;
        self.next_call += 1;
        self.calls.push((id, purpose));
        self.out.push(ConfigAction::Store { id, call });
    }

    fn handle_store_answer(&mut self, now: Time, id: OpId, answer: StoreAnswer) {
        let Some(i) = self.calls.iter().position(|(call, _)| *call == id) else {
            return;
        };
        match self.calls.swap_remove(i).1 {
            Purpose::Accept => self.handle_accept_answer(now, answer),
            Purpose::Read(call) => self.handle_read_answer(now, call, answer),
            Purpose::Watch => self.handle_watch_answer(now, &answer),
            Purpose::Write(call) => self.handle_write_answer(now, call, answer),
        }
    }
}

/// Returns the three entries that watch the log in the store, chosen among `entries` by rendezvous
/// hash, lowest rank first.
#[must_use]
pub fn watchers(entries: &[NodeId]) -> Vec<NodeId> {
    let key = coriandercove_base::hash::hash64(&[LOG_PREFIX.as_bytes()]);
    coriandercove_base::hash::rendezvous(key, entries, 3)
        .into_iter()
        .map(|i| entries[i].clone())
        .collect()
}

#[cfg(test)]
mod tests;
