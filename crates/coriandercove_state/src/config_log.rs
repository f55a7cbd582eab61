//! The configuration: an ordered log of changes in the store, spread among the nodes.

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

/// Prefix of the log's objects in the store.
pub const LOG_PREFIX: &str = "config/log/";
/// Prefix of the snapshots' objects in the store.
pub const SNAPSHOT_PREFIX: &str = "config/snapshot/";
/// Largest value that the store takes, in bytes.
pub const MAX_OBJECT_BYTES: usize = 1_000_000;
/// Versions between two snapshots.
pub const SNAPSHOT_EVERY: ConfigVersion = 64;
/// Versions below the newest snapshot whose log objects are kept. Lower ones may be deleted, so
/// a log object found there proves nothing: a node that was paused may have created it anew.
pub const LOG_KEPT: ConfigVersion = 64;

/// Settings of one node's [`ConfigLog`].
#[derive(Debug, Clone)]
pub struct ConfigLogSettings {
    /// Name of this node.
    pub node: NodeId,
    /// Whether this node may use the store. Agents learn from peers only.
    pub uses_store: bool,
    /// Nodes to learn from before any member is known.
    pub seeds: Vec<NodeId>,
    /// Time after which an unanswered pull is repeated with another peer.
    pub pull_timeout: Duration,
    /// Time between attempts while the store does not answer.
    pub store_retry: Duration,
    /// Time after which an accept that the store leaves unsettled is reported as such.
    pub accept_deadline: Duration,
    /// Delay of each further watching entry before it writes a snapshot that the one before it
    /// should have written.
    pub snapshot_stagger: Duration,
}

impl ConfigLogSettings {
    /// Default settings of a node.
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

/// What a store call was made for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Purpose {
    Accept,
    Read(ReadCall),
    Watch,
    Write(WriteCall),
}

/// The configuration as one node holds it.
///
/// Invariants: the version in force never falls, and versions are applied one by one or by a
/// verified snapshot.
#[derive(Debug)]
pub struct ConfigLog {
    cfg: ConfigLogSettings,
    objects: Objects,
    version: ConfigVersion,
    /// Last changes applied, consecutive and ending with `version`; serves peers' pulls.
    recent: VecDeque<Change>,
    /// Write ids of the last versions, ending with `version`.
    write_ids: VecDeque<u128>,
    /// Rank among the watching entries, if this node is one.
    rank: Option<u32>,
    calls: Vec<(OpId, Purpose)>,
    next_call: OpId,
    started: Option<Time>,
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
    /// A node that knows no version yet. Send [`ConfigEvent::Tick`] to start it.
    #[must_use]
    pub fn new(cfg: ConfigLogSettings) -> Self {
        Self {
            cfg,
            objects: Objects::default(),
            version: 0,
            recent: VecDeque::new(),
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

    /// The same node with a deliberate fault.
    #[cfg(feature = "faults")]
    #[must_use]
    pub const fn with_fault(mut self, fault: ConfigFault) -> Self {
        self.faults = Faults::only(fault);
        self
    }

    /// Version in force; 0 while none is known.
    #[must_use]
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Digest of the objects in force, the same at all nodes with the same version.
    #[must_use]
    pub fn digest(&self) -> u128 {
        self.objects.digest(self.version)
    }

    /// Whether some version is in force. A node that is not ready serves no requests.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.version > 0
    }

    /// Whether this node watches the log in the store.
    #[must_use]
    pub const fn is_watcher(&self) -> bool {
        self.rank.is_some()
    }

    /// Objects in force, key `kind/name` to JSON text.
    #[must_use]
    pub const fn objects(&self) -> &Objects {
        &self.objects
    }

    /// Counters for the metrics endpoint.
    #[must_use]
    pub const fn counters(&self) -> &ConfigCounters {
        &self.counters
    }

    /// Takes one event at time `now`. Ticks are expected about every 200 ms.
    pub fn on_event(&mut self, now: Time, event: ConfigEvent) -> Vec<ConfigAction> {
        match event {
            ConfigEvent::Tick => self.tick(now),
            ConfigEvent::Entries(entries) => self.set_entries(now, &entries),
            ConfigEvent::PeerVersion { peer, version } => self.peer_version(now, peer, version),
            ConfigEvent::Accept {
                op,
                expected,
                write_id,
                author,
                edit,
            } => self.begin_accept(now, op, expected, write_id, author, edit),
            ConfigEvent::Store { id, answer } => self.store_answer(now, id, answer),
            ConfigEvent::Pull { peer, req } => self.serve_pull(&peer, req),
            ConfigEvent::Pulled { peer, reply } => self.pulled(now, &peer, reply),
            ConfigEvent::PullFailed { peer } => self.pull_failed(now, &peer),
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

    fn set_entries(&mut self, now: Time, entries: &[NodeId]) {
        let rank = watchers(entries)
            .iter()
            .position(|n| *n == self.cfg.node)
            .and_then(|i| u32::try_from(i).ok())
            .filter(|_| self.cfg.uses_store);
        let begins = self.rank.is_none() && rank.is_some();
        self.rank = rank;
        if begins && !self.calls.iter().any(|(_, p)| *p == Purpose::Watch) {
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

    /// A watch that ended well is repeated at once; otherwise it waits, so that a store that is
    /// down or holds an invalid change is not asked in a tight loop.
    fn watched(&mut self, now: Time, answer: &StoreAnswer) {
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

    fn store_answer(&mut self, now: Time, id: OpId, answer: StoreAnswer) {
        let Some(i) = self.calls.iter().position(|(call, _)| *call == id) else {
            return;
        };
        match self.calls.swap_remove(i).1 {
            Purpose::Accept => self.accept_answer(now, answer),
            Purpose::Read(call) => self.read_answer(now, call, answer),
            Purpose::Watch => self.watched(now, &answer),
            Purpose::Write(call) => self.write_answer(now, call, answer),
        }
    }
}

/// The three entries that watch the log, chosen among `entries` by rendezvous hash, best first.
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
