//! Membership as an agent takes part in it.

use super::entry::{INFO_ROUNDS, MAX_DETAIL};
use super::event::{MembershipAction, MembershipCounters, MembershipEvent};
use super::message::{Ack, Heartbeat, Message};
use super::observers::observers_hash;
use super::record::{LoadReport, MemberKey, member_key};
use super::settings::MembershipSettings;
use coriandercove_base::{ConfigVersion, Incarnation, NodeId, SortedMap, Time};
use std::net::SocketAddr;

/// Heartbeats without any ack after which the agent turns to its seeds as well.
const LOST_AFTER: u32 = 10;
/// Observers whose names and addresses are kept for configuration pulls.
const MAX_OBSERVERS: usize = 16;

/// Membership as an agent takes part in it: it sends heartbeats and reads the acks.
#[derive(Debug)]
pub struct AgentMembership {
    cfg: MembershipSettings,
    key: MemberKey,
    seq: u64,
    config: ConfigVersion,
    load: LoadReport,
    leaving: bool,
    observers: Vec<SocketAddr>,
    known: SortedMap<MemberKey, (NodeId, SocketAddr)>,
    info_rounds: u32,
    started: Option<Time>,
    last_ack: Time,
    next_heartbeat: Time,
    stopped: bool,
    counters: MembershipCounters,
    out: Vec<MembershipAction>,
}

impl AgentMembership {
    /// An agent that knows only its seeds.
    #[must_use]
    pub fn new(cfg: MembershipSettings) -> Self {
        Self {
            key: member_key(&cfg.me.node),
            seq: 0,
            config: 0,
            load: LoadReport::default(),
            leaving: false,
            observers: Vec::new(),
            known: SortedMap::new(),
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

    /// Takes one event at time `now`. `VmList` and `Table` are ignored.
    pub fn on_event(&mut self, now: Time, event: MembershipEvent) -> Vec<MembershipAction> {
        if self.stopped {
            return Vec::new();
        }
        match event {
            MembershipEvent::Tick => self.tick(now),
            MembershipEvent::Received { bytes, .. } => self.received(now, &bytes),
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

    /// This node's incarnation, which [`MembershipAction::AdoptIncarnation`] may have raised.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.cfg.incarnation
    }

    /// Counters for the metrics endpoint.
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
        if detail.len() > MAX_DETAIL {
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
        let lost = now > self.last_ack + self.cfg.heartbeat * LOST_AFTER;
        let mut to = self.observers.clone();
        if to.is_empty() || lost {
            to.extend(self.some_seeds());
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
            self.counters.bytes_sent += (bytes.len() + self.cfg.overhead) as u64;
            let bytes = bytes.clone();
            self.out.push(MembershipAction::Send { to, bytes });
        }
    }

    /// Up to three seeds, in turn.
    fn some_seeds(&self) -> Vec<SocketAddr> {
        let seeds = &self.cfg.seeds;
        let start = self.seq as usize;
        (0..seeds.len().min(3))
            .map(|i| seeds[(start + i) % seeds.len()])
            .collect()
    }

    fn received(&mut self, now: Time, bytes: &[u8]) {
        self.counters.received += 1;
        self.counters.bytes_received += (bytes.len() + self.cfg.overhead) as u64;
        match Message::decode(bytes) {
            Some(Message::Ack(ack)) => self.acked(now, ack),
            Some(_) | None => self.counters.malformed += 1,
        }
    }

    fn acked(&mut self, now: Time, ack: Ack) {
        self.last_ack = now;
        if let Some(info) = &ack.info {
            if self.known.len() >= MAX_OBSERVERS && !self.known.contains(&ack.key) {
                self.known = SortedMap::new();
            }
            self.known.insert(ack.key, (info.node.clone(), info.tcp));
        }
        if let Some(higher) = ack.superseded_by.filter(|i| *i > self.cfg.incarnation) {
            self.outdated(now, higher);
        }
        if !ack.observers.is_empty() && ack.observers != self.observers {
            self.observers = ack.observers;
            self.info_rounds = self.info_rounds.max(2);
        }
        if ack.wants_info {
            self.info_rounds = self.info_rounds.max(1);
        }
        if ack.config > self.config {
            self.later_config(ack.key, ack.config);
        }
    }

    /// Reports a later configuration, if the observer's address is known; otherwise its next ack
    /// will bring it.
    fn later_config(&mut self, key: MemberKey, version: ConfigVersion) {
        match self.known.get(&key) {
            Some((peer, tcp)) => self.out.push(MembershipAction::PeerConfig {
                peer: peer.clone(),
                tcp: *tcp,
                version,
            }),
            None => self.info_rounds = self.info_rounds.max(1),
        }
    }

    fn outdated(&mut self, now: Time, incarnation: Incarnation) {
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
