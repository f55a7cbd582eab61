//! Exchanges load, placements and store revisions with the other entries over UDP.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::net::UdpSocket;

use coriandercove_base::timer::{Subscription, TimerService};
use coriandercove_base::{ConfigVersion, NodeId, SortedMap, Time, data};

use crate::contention::ContentionReport;
use crate::departures::DeparturesReport;
use crate::limits::LimitsReport;
use crate::load::{DIGEST_LIFETIME, Digest};
use crate::placer::Placement;
use crate::protocol::StoreEra;
use crate::quarantine::QuarantineReport;
use crate::revision_tracker::{Revisions, StorePosition};
use crate::silent_connections::ConnectionsReport;
use crate::state::Router;
use crate::usage::UsageReport;

/// Interval between datagrams while the load changes.
const SEND_PERIOD: Duration = Duration::from_millis(200);
/// Number of peers up to which datagrams are sent at the full rate. With more, the rate falls, so
/// that an entry receives about as many datagrams whatever the number of peers.
const FULL_RATE_PEERS: usize = 10;
/// Maximum interval between datagrams, in multiples of [`SEND_PERIOD`]; even then, three are sent
/// within a digest's lifetime.
const MAX_SEND_PERIODS: usize = 3;
/// Maximum number of consecutive datagrams that are skipped while the load does not change.
const MAX_IDLE_SKIPS: u32 = 1;
/// Maximum size of a datagram in bytes; a digest of some dozens of targets is far smaller.
const MAX_DATAGRAM: usize = 16 * 1024;
/// Time without a datagram after which a peer and its address are dropped.
const ADDRESS_LIFETIME: Duration = Duration::from_secs(20);

data! {
    /// Datagram that an entry sends to its peers; encoded with postcard, so that the order of the
    /// fields is the format.
    struct Datagram {
        node: NodeId,
        /// Number of the datagram within one incarnation of the sender; later ones replace earlier
        /// ones.
        number: u64,
        /// Random value that the sender draws at its start, to distinguish its incarnations.
        incarnation: u64,
        is_ready: bool,
        digest: Digest,
        placements: Vec<Placement>,
        /// Last change that the sender received in each topic.
        revisions: Revisions,
        peers: Vec<SocketAddr>,
    }
}

/// What follows a datagram, in this order. Each report came with a later version; entries of earlier
/// ones ignore what they do not know.
#[derive(Debug, Clone, Default, PartialEq)]
struct Reports {
    usage: UsageReport,
    quarantine: QuarantineReport,
    limits: LimitsReport,
    store: StoreReport,
    departures: DeparturesReport,
    connections: ConnectionsReport,
    contention: ContentionReport,
}

data! {
    /// What an entry knows of the platform's store, beside the revisions.
    #[derive(Copy, Eq, Default)]
    struct StoreReport {
        /// Era of the revisions; none if the store names none.
        era: Option<StoreEra>,
        /// Version of the configuration in force; none if the entry has none.
        version: Option<ConfigVersion>,
    }
}

/// Encodes a datagram and the reports that follow it.
fn encode(datagram: &Datagram, reports: &Reports) -> postcard::Result<Vec<u8>> {
    let bytes = postcard::to_allocvec(datagram)?;
    let bytes = postcard::to_extend(&reports.usage, bytes)?;
    let bytes = postcard::to_extend(&reports.quarantine, bytes)?;
    let bytes = postcard::to_extend(&reports.limits, bytes)?;
    let bytes = postcard::to_extend(&reports.store, bytes)?;
    let bytes = postcard::to_extend(&reports.departures, bytes)?;
    let bytes = postcard::to_extend(&reports.connections, bytes)?;
    if reports.contention == ContentionReport::default() {
        return Ok(bytes);
    }
    postcard::to_extend(&reports.contention, bytes)
}

/// Decodes a report that a datagram of an earlier version lacks, and returns what follows it.
fn take_report<T: Default + serde::de::DeserializeOwned>(
    bytes: &[u8],
) -> postcard::Result<(T, &[u8])> {
    if bytes.is_empty() {
        return Ok((T::default(), bytes));
    }
    postcard::take_from_bytes(bytes)
}

/// Decodes a datagram and the reports that follow it.
fn decode(bytes: &[u8]) -> postcard::Result<(Datagram, Reports)> {
    let (datagram, rest) = postcard::take_from_bytes(bytes)?;
    let (usage, rest) = take_report(rest)?;
    let (quarantine, rest) = take_report(rest)?;
    let (limits, rest) = take_report(rest)?;
    let (store, rest) = take_report(rest)?;
    let (departures, rest) = take_report(rest)?;
    let (connections, rest) = take_report(rest)?;
    let (contention, _) = take_report(rest)?;
    let reports = Reports {
        usage,
        quarantine,
        limits,
        store,
        departures,
        connections,
        contention,
    };
    Ok((datagram, reports))
}

#[derive(Debug, Clone, Copy)]
struct Peer {
    last_heard: Time,
    incarnation: u64,
    number: u64,
    is_ready: bool,
}

/// Sends datagrams to the other entries and applies those received from them.
pub struct Peers {
    router: Rc<Router>,
    socket: Rc<UdpSocket>,
    incarnation: u64,
    number: Cell<u64>,
    ticks: Cell<u64>,
    skipped: Cell<u32>,
    last_digest: RefCell<Digest>,
    peers: RefCell<SortedMap<NodeId, Peer>>,
    /// Addresses to send to, with the time at which a datagram last came from each or a peer first
    /// named it. Seeds have [`Time::MAX`] and never expire.
    addresses: RefCell<SortedMap<SocketAddr, Time>>,
}

impl Peers {
    /// Starts sending and receiving. Sending ends when the subscription is dropped.
    pub fn start(
        router: Rc<Router>,
        socket: UdpSocket,
        timers: &TimerService,
    ) -> (Rc<Self>, Subscription) {
        use rand::RngCore as _;
        let incarnation = router.rng.borrow_mut().next_u64();
        let own = router.settings.peers;
        let seeds = router.settings.seeds.iter();
        let addresses = seeds
            .map(|s| SocketAddr::new(s.ip(), own.port()))
            .filter(|a| *a != own)
            .map(|a| (a, Time::MAX))
            .collect();
        let peers = Rc::new(Self {
            router,
            socket: Rc::new(socket),
            incarnation,
            number: Cell::new(0),
            ticks: Cell::new(0),
            skipped: Cell::new(0),
            last_digest: RefCell::default(),
            peers: RefCell::default(),
            addresses: RefCell::new(addresses),
        });
        let subscription = {
            let peers = Rc::clone(&peers);
            timers.subscribe(SEND_PERIOD, move || peers.send())
        };
        actix_rt::spawn(Rc::clone(&peers).receive());
        (peers, subscription)
    }

    /// Names of the peers that serve callers and sent a datagram within [`DIGEST_LIFETIME`].
    #[must_use]
    pub fn ready(&self) -> Vec<NodeId> {
        let now = self.router.now();
        let peers = self.peers.borrow();
        let ready = peers
            .iter()
            .filter(|(_, p)| p.is_ready && now.saturating_sub(p.last_heard) < DIGEST_LIFETIME);
        ready.map(|(name, _)| name.clone()).collect()
    }

    /// Whether this entry acts for all entries: it is ready, and no ready peer has a lower name.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        let own = &self.router.settings.node;
        let first = self.ready().into_iter().min();
        self.router.is_ready() && first.is_none_or(|peer| *own < peer)
    }

    fn send(&self) {
        let now = self.router.now();
        let peers = self.addresses.borrow().len();
        let periods = peers.div_ceil(FULL_RATE_PEERS).clamp(1, MAX_SEND_PERIODS) as u64;
        self.ticks.set(self.ticks.get() + 1);
        let is_urgent = self.router.is_news_urgent.take();
        if !is_urgent && !self.ticks.get().is_multiple_of(periods) {
            return;
        }
        let digest = self.router.load.borrow().digest();
        let is_same = *self.last_digest.borrow() == digest;
        if is_same && !is_urgent && self.skipped.get() < MAX_IDLE_SKIPS {
            self.skipped.set(self.skipped.get() + 1);
            return;
        }
        self.skipped.set(0);
        *self.last_digest.borrow_mut() = digest.clone();
        self.number.set(self.number.get() + 1);
        self.addresses
            .borrow_mut()
            .retain(|_, last_heard| now.saturating_sub(*last_heard) < ADDRESS_LIFETIME);
        self.peers
            .borrow_mut()
            .retain(|_, peer| now.saturating_sub(peer.last_heard) < ADDRESS_LIFETIME);
        let to: Vec<SocketAddr> = self.addresses.borrow().keys().copied().collect();
        let position = self.router.revisions.position();
        let datagram = Datagram {
            node: self.router.settings.node.clone(),
            number: self.number.get(),
            incarnation: self.incarnation,
            is_ready: self.router.is_ready(),
            digest,
            placements: self.router.placements.borrow().for_peers(),
            revisions: position.revisions,
            peers: to.clone(),
        };
        let reports = Reports {
            usage: self.router.usage.borrow().report(now),
            quarantine: self.router.quarantine.borrow().report(now),
            limits: self.router.limits.borrow().report(now),
            store: StoreReport {
                era: position.era,
                version: self.router.configuration().map(|cfg| cfg.version),
            },
            departures: self.router.departures.borrow().report(now),
            connections: self.router.silent_connections.report(now),
            contention: self.router.contention_report(now),
        };
        let bytes = match encode(&datagram, &reports) {
            Ok(bytes) if bytes.len() <= MAX_DATAGRAM => bytes,
            Ok(bytes) => {
                warn!(self.router.log, "datagram too long"; "bytes" => bytes.len());
                return;
            }
            Err(e) => {
                warn!(self.router.log, "datagram not encoded"; "cause" => %e);
                return;
            }
        };
        for address in to {
            // A datagram that cannot be sent now counts as lost; the next one replaces it.
            let _ = self.socket.try_send_to(&bytes, address);
        }
    }

    async fn receive(self: Rc<Self>) {
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            match self.socket.recv_from(&mut buf).await {
                Ok((len, from)) => self.on_bytes(&buf[..len], from),
                Err(e) => {
                    warn!(self.router.log, "no datagram"; "cause" => %e);
                    tokio::time::sleep(SEND_PERIOD).await;
                }
            }
        }
    }

    fn on_bytes(&self, bytes: &[u8], from: SocketAddr) {
        let (datagram, reports) = match decode(bytes) {
            Ok(decoded) => decoded,
            Err(e) => {
                warn!(self.router.log, "datagram not readable"; "from" => %from, "cause" => %e);
                return;
            }
        };
        if datagram.node == self.router.settings.node {
            return;
        }
        let now = self.router.now();
        let old = self.peers.borrow().get(&datagram.node).copied();
        let is_old = old
            .is_some_and(|p| p.incarnation == datagram.incarnation && p.number >= datagram.number);
        if is_old {
            return;
        }
        if old.is_none_or(|p| {
            p.incarnation != datagram.incarnation || p.is_ready != datagram.is_ready
        }) {
            info!(self.router.log, "peer"; "node" => &*datagram.node, "address" => %from,
                "ready" => datagram.is_ready);
        }
        let peer = Peer {
            last_heard: now,
            incarnation: datagram.incarnation,
            number: datagram.number,
            is_ready: datagram.is_ready,
        };
        self.peers.borrow_mut().insert(datagram.node.clone(), peer);
        self.router.revisions.on_peer_position(StorePosition {
            era: reports.store.era,
            revisions: datagram.revisions,
        });
        if let Some(version) = reports.store.version {
            let mut newest = self.router.newest_configuration.borrow_mut();
            newest.on_report(from, version, now);
        }
        let connections = &self.router.silent_connections;
        connections.on_report(reports.connections, now);
        for leaving in &reports.departures.leaving {
            self.router.record_leaving(leaving, false);
        }
        self.learn_addresses(&datagram.peers, from, now);
        self.learn_placements(&datagram.placements, now);
        self.router
            .usage
            .borrow_mut()
            .on_report(datagram.node.clone(), reports.usage, now);
        self.router
            .on_quarantine_report(&datagram.node, reports.quarantine);
        let changed = self.router.limits.borrow_mut().on_report(
            datagram.node.clone(),
            &reports.limits,
            now,
            &mut self.router.rng.borrow_mut(),
        );
        for target in changed {
            self.router.log_limit(target, "peer");
        }
        let contention = &self.router.contention;
        let refusing = contention.on_report(&datagram.node, reports.contention, now);
        self.router.note_outages(&datagram.node, &refusing);
        self.router
            .load
            .borrow_mut()
            .on_digest(datagram.node, datagram.digest, now);
        contention.room_changed.notify_one();
    }

    fn learn_addresses(&self, peers: &[SocketAddr], from: SocketAddr, now: Time) {
        let own = self.router.settings.peers;
        let mut addresses = self.addresses.borrow_mut();
        if addresses
            .get(&from)
            .is_none_or(|last_heard| *last_heard != Time::MAX)
        {
            addresses.insert(from, now);
        }
        for peer in peers.iter().filter(|p| **p != own) {
            // Addresses that a peer names are used for a while, but being named does not extend
            // their lifetime.
            addresses.get_or_insert_with(*peer, || now);
        }
    }

    fn learn_placements(&self, placements: &[Placement], now: Time) {
        let fleet = self.router.fleet.borrow();
        let mut known = self.router.placements.borrow_mut();
        for placement in placements {
            if let Some(target) = fleet.get(&placement.id) {
                known.on_peer_placement(target, placement, now);
            }
        }
    }
}

#[cfg(test)]
mod tests;
