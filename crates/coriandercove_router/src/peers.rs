//! Exchanges load and knowledge of targets with the other entries over UDP.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::net::UdpSocket;

use coriandercove_base::timer::{Subscription, TimerService};
use coriandercove_base::{NodeId, SortedMap, Time, data};

use crate::heard::Revisions;
use crate::load::{DIGEST_LIFETIME, Digest};
use crate::placer::Placement;
use crate::state::Router;

/// Time between datagrams while load changes.
const SEND_PERIOD: Duration = Duration::from_millis(200);
/// Peers up to which datagrams are sent at the full rate; with more, the rate falls, so that an entry
/// receives about as many whatever their number.
const FULL_RATE_PEERS: usize = 10;
/// Longest time between datagrams, in periods; three fit into a digest's lifetime.
const MAX_PERIODS: usize = 3;
/// Datagrams skipped at the most while nothing changes.
const IDLE_SKIPS: u32 = 1;
/// Largest datagram; a whole digest of some dozens of targets is far smaller.
const MAX_DATAGRAM: usize = 16 * 1024;
/// Time without a datagram after which a peer and its address are dropped.
const ADDRESS_LIFETIME: Duration = Duration::from_secs(20);

data! {
    /// What one entry tells the others.
    struct Datagram {
        node: NodeId,
        /// Counts the datagrams of one incarnation; later ones replace earlier ones.
        number: u64,
        /// Start of the sender, in random bits: tells incarnations apart.
        incarnation: u64,
        is_ready: bool,
        digest: Digest,
        placements: Vec<Placement>,
        /// Last changes seen in each topic.
        revisions: Revisions,
        peers: Vec<SocketAddr>,
    }
}

#[derive(Debug, Clone, Copy)]
struct Peer {
    heard: Time,
    incarnation: u64,
    number: u64,
    is_ready: bool,
}

/// The other entries.
pub struct Peers {
    router: Rc<Router>,
    socket: Rc<UdpSocket>,
    incarnation: u64,
    number: Cell<u64>,
    ticks: Cell<u64>,
    skipped: Cell<u32>,
    last: RefCell<Digest>,
    peers: RefCell<SortedMap<NodeId, Peer>>,
    /// Addresses to send to, with the time at which each was last heard of.
    addresses: RefCell<SortedMap<SocketAddr, Time>>,
}

impl Peers {
    /// Starts sending and receiving; sending ends when the subscription is dropped.
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
            last: RefCell::default(),
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

    /// Names of the entries that were heard of lately and serve callers.
    #[must_use]
    pub fn ready(&self) -> Vec<NodeId> {
        let now = self.router.now();
        let peers = self.peers.borrow();
        let ready = peers
            .iter()
            .filter(|(_, p)| p.is_ready && now.saturating_sub(p.heard) < DIGEST_LIFETIME);
        ready.map(|(name, _)| name.clone()).collect()
    }

    fn send(&self) {
        let now = self.router.now();
        let peers = self.addresses.borrow().len();
        let periods = peers.div_ceil(FULL_RATE_PEERS).clamp(1, MAX_PERIODS) as u64;
        self.ticks.set(self.ticks.get() + 1);
        if !self.ticks.get().is_multiple_of(periods) {
            return;
        }
        let digest = self.router.load.borrow().digest();
        let is_same = *self.last.borrow() == digest;
        if is_same && self.skipped.get() < IDLE_SKIPS {
            self.skipped.set(self.skipped.get() + 1);
            return;
        }
        self.skipped.set(0);
        *self.last.borrow_mut() = digest.clone();
        self.number.set(self.number.get() + 1);
        self.addresses
            .borrow_mut()
            .retain(|_, heard| now.saturating_sub(*heard) < ADDRESS_LIFETIME);
        self.peers
            .borrow_mut()
            .retain(|_, peer| now.saturating_sub(peer.heard) < ADDRESS_LIFETIME);
        let to: Vec<SocketAddr> = self.addresses.borrow().keys().copied().collect();
        let datagram = Datagram {
            node: self.router.settings.node.clone(),
            number: self.number.get(),
            incarnation: self.incarnation,
            is_ready: self.router.is_ready(),
            digest,
            placements: self.router.placements.borrow().for_peers(),
            revisions: self.router.heard.changes(),
            peers: to.clone(),
        };
        let bytes = match postcard::to_allocvec(&datagram) {
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
            // A datagram that cannot be sent now is as good as lost; the next one replaces it.
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
        let datagram: Datagram = match postcard::from_bytes(bytes) {
            Ok(datagram) => datagram,
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
            heard: now,
            incarnation: datagram.incarnation,
            number: datagram.number,
            is_ready: datagram.is_ready,
        };
        self.peers.borrow_mut().insert(datagram.node.clone(), peer);
        self.router.heard.on_peer(datagram.revisions);
        self.learn_addresses(&datagram.peers, from, now);
        self.learn_placements(&datagram.placements, now);
        self.router
            .load
            .borrow_mut()
            .on_digest(datagram.node, datagram.digest, now);
    }

    fn learn_addresses(&self, peers: &[SocketAddr], from: SocketAddr, now: Time) {
        let own = self.router.settings.peers;
        let mut addresses = self.addresses.borrow_mut();
        if addresses.get(&from).is_none_or(|heard| *heard != Time::MAX) {
            addresses.insert(from, now);
        }
        for peer in peers.iter().filter(|p| **p != own) {
            // Hearsay is tried for a while, but does not keep an address alive.
            addresses.get_or_insert_with(*peer, || now);
        }
    }

    fn learn_placements(&self, placements: &[Placement], now: Time) {
        let fleet = self.router.fleet.borrow();
        let mut known = self.router.placements.borrow_mut();
        for placement in placements {
            if let Some(target) = fleet.get(&placement.id) {
                known.on_peer(target, placement, now);
            }
        }
    }
}
