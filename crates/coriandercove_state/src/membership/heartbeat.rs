//! Heartbeats and their acks, as an entry sends and takes them.

use super::entry::EntryMembership;
use super::event::{MemberEvent, MembershipAction};
use super::message::{Ack, Heartbeat, Message};
use super::observers::observers_hash;
use super::record::{Liveness, MemberInfo, MemberKey, MemberRecord, member_key};
use coriandercove_base::{ConfigVersion, Time};
use std::net::SocketAddr;

/// Each so many heartbeats are acknowledged without other reason, which shows the sender that its
/// observer lives.
const ACK_EVERY: u64 = 4;

/// Callers that get heartbeats beside the observers.
const MAX_CALLERS: usize = 8;

impl EntryMembership {
    pub(super) fn received(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) {
        self.counters.received += 1;
        self.counters.bytes_received += (bytes.len() + self.cfg.overhead) as u64;
        match Message::decode(bytes) {
            Some(Message::Heartbeat(beat)) => self.heartbeat(now, from, &beat),
            Some(Message::Ack(ack)) => self.acked(now, from, ack),
            Some(Message::Digest(digest)) => self.digest(now, from, digest),
            Some(Message::Query(query)) => self.query(now, from, &query),
            None => self.counters.malformed += 1,
        }
    }

    /// Takes a sign of life from a member itself. Returns false for an old or doubled one.
    pub(super) fn alive(&mut self, now: Time, key: MemberKey, seq: u64, leaving: bool) -> bool {
        let faults = self.faults;
        let Some(member) = self.table.get_mut(key) else {
            return false;
        };
        if seq <= member.record.beat
            && !faults.has(super::faults::MembershipFault::LeavingOverwritten)
        {
            self.counters.stale += 1;
            return false;
        }
        member.patience = 1;
        if member.observed.is_some() {
            member.heard = Some(now);
        }
        let before = (member.record.incarnation, member.record.liveness);
        let merge = member
            .record
            .merge_state((seq, Liveness::Alive), leaving, faults);
        self.merged(now, key, before, merge);
        true
    }

    fn heartbeat(&mut self, now: Time, from: SocketAddr, beat: &Heartbeat) {
        if beat.key == self.me {
            return;
        }
        if let Some(info) = beat.info.clone().filter(|i| is_valid(i, beat.key)) {
            self.introduced(now, beat, *info);
        }
        let known = self.table.get(beat.key).map(|m| m.record.incarnation);
        match known {
            Some(known) if known == beat.incarnation => {
                if !self.alive(now, beat.key, beat.seq, beat.leaving) {
                    return;
                }
                self.take_load(beat.key, beat.seq, beat.load);
                self.peer_config(beat.key, beat.config);
                self.ack(from, beat, None);
            }
            Some(known) if known > beat.incarnation => {
                self.counters.stale += 1;
                self.ack(from, beat, Some(known));
            }
            _ => self.ack(from, beat, None),
        }
    }

    /// Takes the info that a heartbeat carries. The heartbeat itself is taken afterwards, so the
    /// record begins one beat earlier.
    fn introduced(&mut self, now: Time, beat: &Heartbeat, info: MemberInfo) {
        let leaves = beat.leaving || self.table.left(beat.key, beat.incarnation);
        self.merge_record(
            now,
            MemberRecord {
                info,
                incarnation: beat.incarnation,
                beat: beat.seq.saturating_sub(1),
                liveness: Liveness::Alive,
                leaving: leaves,
            },
        );
    }

    pub(super) fn take_load(&mut self, key: MemberKey, beat: u64, load: super::LoadReport) {
        let Some(member) = self.table.get_mut(key) else {
            return;
        };
        member.load_beat = beat;
        if member.load != load {
            member.load = load;
            let node = member.record.info.node.clone();
            let event = MemberEvent::Load { node, load };
            self.out.push(MembershipAction::Event(event));
        }
    }

    /// Reports a peer with a later configuration.
    pub(super) fn peer_config(&mut self, key: MemberKey, version: ConfigVersion) {
        if version <= self.config {
            return;
        }
        if let Some(member) = self.table.get(key) {
            let info = &member.record.info;
            self.out.push(MembershipAction::PeerConfig {
                peer: info.node.clone(),
                tcp: info.tcp,
                version,
            });
        }
    }

    fn ack(&mut self, to: SocketAddr, beat: &Heartbeat, superseded_by: Option<u64>) {
        let member = self.table.get(beat.key);
        let observers = member.map_or(Vec::new(), |m| self.addresses(&m.observers));
        let known = member.is_some_and(|m| m.record.incarnation >= beat.incarnation);
        let wrong = !observers.is_empty() && observers_hash(&observers) != beat.observers;
        let due = (beat.seq + beat.key).is_multiple_of(ACK_EVERY);
        let news = superseded_by.is_some() || !known || wrong || beat.config < self.config;
        if !due && !news && beat.info.is_none() {
            return;
        }
        let mine = &self.mine().record;
        let ack = Ack {
            info: beat.info.as_ref().map(|_| Box::new(mine.info.clone())),
            key: self.me,
            incarnation: mine.incarnation,
            seq: beat.seq,
            config: self.config,
            wants_info: !known,
            superseded_by,
            observers: if wrong { observers } else { Vec::new() },
        };
        self.send(to, &Message::Ack(ack));
    }

    /// Tells a member that has not been heard since this entry observes it where to send.
    pub(super) fn call(&mut self, key: MemberKey) {
        let Some(member) = self.table.get(key) else {
            return;
        };
        let to = member.record.info.udp;
        let mine = &self.mine().record;
        let ack = Ack {
            info: Some(Box::new(mine.info.clone())),
            key: self.me,
            incarnation: mine.incarnation,
            seq: 0,
            config: self.config,
            wants_info: true,
            superseded_by: None,
            observers: self.addresses(&member.observers),
        };
        self.send(to, &Message::Ack(ack));
    }

    fn addresses(&self, keys: &[MemberKey]) -> Vec<SocketAddr> {
        keys.iter()
            .filter_map(|k| self.table.get(*k))
            .map(|m| m.record.info.udp)
            .collect()
    }

    fn acked(&mut self, now: Time, from: SocketAddr, ack: Ack) {
        if ack.seq == 0 && self.callers.len() < MAX_CALLERS {
            self.callers.insert(from, now + self.cfg.heartbeat * 30);
        }
        if let Some(info) = ack.info.filter(|i| is_valid(i, ack.key)) {
            self.merge_record(
                now,
                MemberRecord {
                    info: *info,
                    incarnation: ack.incarnation,
                    beat: 0,
                    liveness: Liveness::Alive,
                    leaving: false,
                },
            );
            self.join(now, ack.key);
        }
        if ack.wants_info {
            self.info_rounds = self.info_rounds.max(1);
        }
        if let Some(higher) = ack.superseded_by
            && higher > self.incarnation()
        {
            self.outdated(now, higher);
        }
        self.peer_config(ack.key, ack.config);
    }

    /// Fetches the whole table from the first entry that answers.
    fn join(&mut self, now: Time, key: MemberKey) {
        let first = self.next_pull == Time::ZERO || self.table.members.len() <= 2;
        if let Some(member) = self.table.get(key).filter(|_| first) {
            self.pull_table(now, member.record.info.tcp);
        }
    }

    pub(super) fn pull_table(&mut self, now: Time, tcp: SocketAddr) {
        if self.next_pull <= now {
            self.next_pull = now + self.cfg.heartbeat * 30;
            self.out.push(MembershipAction::PullTable { tcp });
        }
    }

    /// Sends a round of heartbeats to this entry's own observers, or to its seeds while it knows
    /// no other entry.
    pub(super) fn send_heartbeats(&mut self, now: Time) {
        self.next_heartbeat = now + self.cfg.heartbeat;
        let mut to = self.addresses(&self.mine().observers);
        let hash = observers_hash(&to);
        if to.is_empty() {
            to = self.cfg.seeds.clone();
            self.info_rounds = self.info_rounds.max(1);
        }
        self.callers.retain(|_, until| now < *until);
        to.extend(
            self.callers
                .keys()
                .filter(|a| !to.contains(a))
                .copied()
                .collect::<Vec<_>>(),
        );
        to.retain(|a| *a != self.cfg.me.udp);
        let seq = self.next_seq();
        let mine = self.mine();
        let beat = Heartbeat {
            key: self.me,
            incarnation: mine.record.incarnation,
            seq,
            config: self.config,
            load: mine.load,
            leaving: mine.record.leaving,
            observers: hash,
            info: (self.info_rounds > 0).then(|| Box::new(mine.record.info.clone())),
        };
        self.info_rounds = self.info_rounds.saturating_sub(1);
        let message = Message::Heartbeat(beat);
        for to in to {
            self.send(to, &message);
        }
    }

    /// Merges a state of a member whose info is known.
    pub(super) fn merge_state(&mut self, now: Time, s: super::StateRecord) {
        if s.key == self.me {
            self.about_me(now, s.incarnation, s.liveness, s.leaving);
            return;
        }
        let faults = self.faults;
        let Some(member) = self.table.get_mut(s.key) else {
            let forgotten = self.table.is_forgotten(s.key, s.incarnation, s.beat);
            if s.liveness != Liveness::Dead && !forgotten {
                self.missing.entry(s.key).or_insert(now);
            }
            return;
        };
        let r = &mut member.record;
        if s.incarnation > r.incarnation {
            self.missing.entry(s.key).or_insert(now);
            return;
        }
        let known = (r.incarnation, r.beat, r.liveness);
        if s.incarnation < r.incarnation {
            self.counters.stale_records += 1;
            self.heat(s.key, true);
            return;
        }
        if s.detail_version > r.info.detail_version {
            self.missing.entry(s.key).or_insert(now);
        }
        // The sender lags, so the news it missed is told again.
        let old_info = s.detail_version < r.info.detail_version;
        let old_state = s.beat < r.beat && s.liveness != r.liveness;
        let merge = r.merge_state((s.beat, s.liveness), s.leaving, faults);
        let revived = known.2 != Liveness::Alive && r.liveness == Liveness::Alive;
        if revived && member.observed.is_some() {
            member.patience = (member.patience * 2).min(8);
        }
        self.merged(now, s.key, (known.0, known.2), merge);
        if old_info || old_state {
            self.counters.stale_records += u64::from(old_state);
            self.heat(s.key, old_info);
        }
    }
}

fn is_valid(info: &MemberInfo, key: MemberKey) -> bool {
    member_key(&info.node) == key && info.detail.len() <= super::entry::MAX_DETAIL
}
