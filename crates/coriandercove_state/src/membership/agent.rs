//! The membership state machine of an agent.

use super::entry::{INFO_ROUNDS, MAX_DETAIL_BYTES};
use super::event::{MembershipAction, MembershipCounters, MembershipEvent};
use super::message::{Ack, Heartbeat, Message};
use super::observers::observers_hash;
use super::record::{LoadReport, MemberKey, member_key};
use super::settings::MembershipSettings;
use coriandercove_base::{ConfigVersion, Incarnation, NodeId, SortedMap, Time};
use std::net::SocketAddr;

/// Heartbeat intervals without any ack after which the agent sends to its seeds as well.
const SEEDS_AFTER_HEARTBEATS: u32 = 10;
/// Highest number of observers whose names and addresses are kept for configuration pulls.
const MAX_KNOWN_OBSERVERS: usize = 16;

/// The membership state machine of an agent. It sends heartbeats and handles the acks; it keeps no
/// member table.
#[derive(Debug)]
pub struct AgentMembership {
    cfg: MembershipSettings,
    key: MemberKey,
    seq: u64,
    config: ConfigVersion,
    load: LoadReport,
    leaving: bool,
    /// Addresses to which heartbeats go; empty until an ack names them.
    observers: Vec<SocketAddr>,
    /// Names and TCP addresses of the observers that sent their info.
    known_observers: SortedMap<MemberKey, (NodeId, SocketAddr)>,
    /// Rounds of heartbeats that will still carry this node's info.
    info_rounds: u32,
    started: Option<Time>,
    last_ack: Time,
    next_heartbeat: Time,
    /// Whether a later run of this node has taken over.
    stopped: bool,
    counters: MembershipCounters,
    out: Vec<MembershipAction>,
}

impl AgentMembership {
    /// Creates an agent that knows only its seeds.
    #[must_use]
    pub fn new(cfg: MembershipSettings) -> Self {
        Self {
            key: member_key(&cfg.me.node),
            seq: 0,
            config: 0,
            load: LoadReport::default(),
            leaving: false,
            observers: Vec::new(),
            known_observers: SortedMap::new(),
            info_rounds: INFO_ROUNDS,
            started: None,
            last_ack: Time::ZERO,
            next_heartbeat: Time::ZERO,
            stopped: false,
            counters: MembershipCounters::default(),
            out: Vec::new(),
            cfg,
        }
    }

    /// Handles one event at time `now` and returns the actions that follow from it. `VmList` and
    /// `Table` are ignored.
    pub fn on_event(&mut self, now: Time, event: MembershipEvent) -> Vec<MembershipAction> {
        if self.stopped {
            return Vec::new();
        }
        match event {
            MembershipEvent::Tick => self.tick(now),
            MembershipEvent::Received { bytes, .. } => self.handle_datagram(now, &bytes),
            MembershipEvent::ConfigVersion(version) => self.config = version,
            MembershipEvent::Load(load) => self.load = load,
            MembershipEvent::Detail(detail) => self.set_detail(detail),
            MembershipEvent::Leave => {
                self.leaving = true;
                self.send_heartbeats(now);
            }
            MembershipEvent::VmList(_) | MembershipEvent::Table(_) => {}
        }
        std::mem::take(&mut self.out)
    }

    /// Returns this node's incarnation, which [`MembershipAction::AdoptIncarnation`] may have
    /// raised.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.cfg.incarnation
    }

    /// Returns the counters for the metrics endpoint.
    #[must_use]
    pub const fn counters(&self) -> &MembershipCounters {
        &self.counters
    }

    fn tick(&mut self, now: Time) {
        if self.started.is_none() {
            self.started = Some(now);
            self.last_ack = now;
        }
        if self.next_heartbeat <= now {
            self.send_heartbeats(now);
        }
    }

    fn set_detail(&mut self, detail: String) {
        if detail.len() > MAX_DETAIL_BYTES {
            self.counters.malformed += 1;
            return;
        }
        self.cfg.me.detail = detail;
        self.cfg.me.detail_version += 1;
        self.info_rounds = INFO_ROUNDS;
    }

    fn send_heartbeats(&mut self, now: Time) {
        self.next_heartbeat = now + self.cfg.heartbeat;
        self.seq += 1;
        let no_acks = now > self.last_ack + self.cfg.heartbeat * SEEDS_AFTER_HEARTBEATS;
        let mut to = self.observers.clone();
        if to.is_empty() || no_acks {
            to.extend(self.next_seeds());
            self.info_rounds = self.info_rounds.max(1);
        }
        to.dedup();
        let message = Message::Heartbeat(Heartbeat {
            key: self.key,
            incarnation: self.cfg.incarnation,
            seq: self.seq,
            config: self.config,
            load: self.load,
            leaving: self.leaving,
            observers: observers_hash(&self.observers),
            info: (self.info_rounds > 0).then(|| Box::new(self.cfg.me.clone())),
        });
        self.info_rounds = self.info_rounds.saturating_sub(1);
        let bytes = message.encode();
        for to in to {
            self.counters.sent += 1;
            self.counters.bytes_sent += (bytes.len() + self.cfg.overhead_bytes) as u64;
            let bytes = bytes.clone();
            self.out.push(MembershipAction::Send { to, bytes });
        }
    }

    /// Returns up to three seeds; successive heartbeats start at successive seeds.
    fn next_seeds(&self) -> Vec<SocketAddr> {
        let seeds = &self.cfg.seeds;
        let start = self.seq as usize;
        (0..seeds.len().min(3))
            .map(|i| seeds[(start + i) % seeds.len()])
            .collect()
    }

    fn handle_datagram(&mut self, now: Time, bytes: &[u8]) {
        self.counters.received += 1;
        self.counters.bytes_received += (bytes.len() + self.cfg.overhead_bytes) as u64;
        match Message::decode(bytes) {
            Some(Message::Ack(ack)) => self.handle_ack(now, ack),
            Some(_) | None => self.counters.malformed += 1,
        }
    }

    fn handle_ack(&mut self, now: Time, ack: Ack) {
        self.last_ack = now;
        if let Some(info) = &ack.info {
            if self.known_observers.len() >= MAX_KNOWN_OBSERVERS
                && !self.known_observers.contains(&ack.key)
            {
                self.known_observers = SortedMap::new();
            }
            self.known_observers
                .insert(ack.key, (info.node.clone(), info.tcp));
        }
        if let Some(higher) = ack.superseded_by.filter(|i| *i > self.cfg.incarnation) {
            self.handle_higher_incarnation(now, higher);
        }
        if !ack.observers.is_empty() && ack.observers != self.observers {
            self.observers = ack.observers;
            self.info_rounds = self.info_rounds.max(2);
        }
        if ack.wants_info {
            self.info_rounds = self.info_rounds.max(1);
        }
        if ack.config > self.config {
            self.report_later_config(ack.key, ack.config);
        }
    }

    /// Reports a later configuration, if the observer's address is known. Otherwise the next
    /// heartbeat carries this node's info, to which the observer answers with its own.
    fn report_later_config(&mut self, key: MemberKey, version: ConfigVersion) {
        match self.known_observers.get(&key) {
            Some((peer, tcp)) => self.out.push(MembershipAction::PeerConfig {
                peer: peer.clone(),
                tcp: *tcp,
                version,
            }),
            None => self.info_rounds = self.info_rounds.max(1),
        }
    }

    /// Handles an incarnation of this node above its own: within `adopt_window` after the start,
    /// the node takes the next higher one; later, it stops because another run has taken over.
    fn handle_higher_incarnation(&mut self, now: Time, incarnation: Incarnation) {
        let started = *self.started.get_or_insert(now);
        if now <= started + self.cfg.adopt_window {
            self.cfg.incarnation = incarnation + 1;
            self.info_rounds = INFO_ROUNDS;
            let adopted = self.cfg.incarnation;
            self.out.push(MembershipAction::AdoptIncarnation(adopted));
        } else {
            self.stopped = true;
            self.out.push(MembershipAction::Superseded(incarnation));
        }
    }
}
