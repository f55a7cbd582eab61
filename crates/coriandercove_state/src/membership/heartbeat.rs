//! Heartbeats and their acks, as an entry sends and handles them.

use super::entry::EntryMembership;
use super::event::{MemberEvent, MembershipAction};
use super::message::{Ack, Heartbeat, Message};
use super::observers::observers_hash;
use super::record::{Liveness, MemberInfo, MemberKey, MemberRecord, member_key};
use coriandercove_base::{ConfigVersion, Time};
use std::net::SocketAddr;

/// One of this many heartbeats is acknowledged even without news, so that the sender knows that its
/// observer is alive.
const ACK_INTERVAL: u64 = 4;

/// Highest number of entries that get heartbeats on request, in addition to the observers.
const MAX_HEARTBEAT_REQUESTERS: usize = 8;

impl EntryMembership {
    pub(super) fn handle_datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) {
        self.counters.received += 1;
        self.counters.bytes_received += (bytes.len() + self.cfg.overhead_bytes) as u64;
        match Message::decode(bytes) {
            Some(Message::Heartbeat(beat)) => self.handle_heartbeat(now, from, &beat),
            Some(Message::Ack(ack)) => self.handle_ack(now, from, ack),
            Some(Message::Digest(digest)) => self.handle_digest(now, from, digest),
            Some(Message::Query(query)) => self.handle_query(now, from, &query),
            None => self.counters.malformed += 1,
        }
    }

    /// Records that a member itself sent a datagram with sequence number `seq`. Returns false if
    /// the datagram is a duplicate or older than one already received.
    pub(super) fn record_sign_of_life(
        &mut self,
        now: Time,
        key: MemberKey,
        seq: u64,
        leaving: bool,
    ) -> bool {
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
        member.suspicion_factor = 1;
        if member.observed_since.is_some() {
            member.last_heard = Some(now);
        }
        let before = (member.record.incarnation, member.record.liveness);
        let merge = member
            .record
            .merge_state((seq, Liveness::Alive), leaving, faults);
        self.after_merge(now, key, before, merge);
        true
    }

    fn handle_heartbeat(&mut self, now: Time, from: SocketAddr, beat: &Heartbeat) {
        if beat.key == self.me {
            return;
        }
        if let Some(info) = beat.info.clone().filter(|i| is_valid(i, beat.key)) {
            self.merge_heartbeat_info(now, beat, *info);
        }
        let known = self.table.get(beat.key).map(|m| m.record.incarnation);
        match known {
            Some(known) if known == beat.incarnation => {
                if !self.record_sign_of_life(now, beat.key, beat.seq, beat.leaving) {
                    return;
                }
                self.update_load(beat.key, beat.seq, beat.load);
                self.report_peer_config(beat.key, beat.config);
                self.send_ack(from, beat, None);
            }
            Some(known) if known > beat.incarnation => {
                self.counters.stale += 1;
                self.send_ack(from, beat, Some(known));
            }
            _ => self.send_ack(from, beat, None),
        }
    }

    /// Merges the info that a heartbeat carries. The caller handles the heartbeat itself
    /// afterwards, so the record starts one sequence number earlier; otherwise the heartbeat would
    /// count as a duplicate.
    fn merge_heartbeat_info(&mut self, now: Time, beat: &Heartbeat, info: MemberInfo) {
        let leaving = beat.leaving || self.table.was_leaving(beat.key, beat.incarnation);
        self.merge_record(
            now,
            MemberRecord {
                info,
                incarnation: beat.incarnation,
                beat: beat.seq.saturating_sub(1),
                liveness: Liveness::Alive,
                leaving,
            },
        );
    }

    /// Stores the load that a member reported with heartbeat `beat`, and reports it if it changed.
    pub(super) fn update_load(&mut self, key: MemberKey, beat: u64, load: super::LoadReport) {
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

    /// Reports a peer that has a later configuration version than this node.
    pub(super) fn report_peer_config(&mut self, key: MemberKey, version: ConfigVersion) {
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

    /// Acknowledges a heartbeat if the sender needs news, sent its info, or is due for a regular
    /// ack.
    fn send_ack(&mut self, to: SocketAddr, beat: &Heartbeat, superseded_by: Option<u64>) {
        let member = self.table.get(beat.key);
        let observers = member.map_or(Vec::new(), |m| self.addresses(&m.observers));
        let known = member.is_some_and(|m| m.record.incarnation >= beat.incarnation);
        let wrong_observers = !observers.is_empty() && observers_hash(&observers) != beat.observers;
        let due = (beat.seq + beat.key).is_multiple_of(ACK_INTERVAL);
        let news =
            superseded_by.is_some() || !known || wrong_observers || beat.config < self.config;
        if !due && !news && beat.info.is_none() {
            return;
        }
        let mine = &self.own_member().record;
        let ack = Ack {
            info: beat.info.as_ref().map(|_| Box::new(mine.info.clone())),
            key: self.me,
            incarnation: mine.incarnation,
            seq: beat.seq,
            config: self.config,
            wants_info: !known,
            superseded_by,
            observers: if wrong_observers {
                observers
            } else {
                Vec::new()
            },
        };
        self.send(to, &Message::Ack(ack));
    }

    /// Asks a member for heartbeats, by an ack that answers no heartbeat (`seq` 0) and names the
    /// observers that the member should use.
    pub(super) fn request_heartbeats(&mut self, key: MemberKey) {
        let Some(member) = self.table.get(key) else {
            return;
        };
        let to = member.record.info.udp;
        let mine = &self.own_member().record;
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

    fn handle_ack(&mut self, now: Time, from: SocketAddr, ack: Ack) {
        if ack.seq == 0 && self.heartbeat_requesters.len() < MAX_HEARTBEAT_REQUESTERS {
            self.heartbeat_requesters
                .insert(from, now + self.cfg.heartbeat * 30);
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
            self.pull_table_after_join(now, ack.key);
        }
        if ack.wants_info {
            self.info_rounds = self.info_rounds.max(1);
        }
        if let Some(higher) = ack.superseded_by
            && higher > self.incarnation()
        {
            self.handle_higher_incarnation(now, higher);
        }
        self.report_peer_config(ack.key, ack.config);
    }

    /// Fetches the whole table from the first entry that answers after this node's start.
    fn pull_table_after_join(&mut self, now: Time, key: MemberKey) {
        let is_first = self.next_pull == Time::ZERO || self.table.members.len() <= 2;
        if let Some(member) = self.table.get(key).filter(|_| is_first) {
            self.pull_table(now, member.record.info.tcp);
        }
    }

    /// Requests a pull of the whole table, at most once in 30 heartbeat intervals.
    pub(super) fn pull_table(&mut self, now: Time, tcp: SocketAddr) {
        if self.next_pull <= now {
            self.next_pull = now + self.cfg.heartbeat * 30;
            self.out.push(MembershipAction::PullTable { tcp });
        }
    }

    /// Sends a round of heartbeats to this entry's own observers and to the entries that requested
    /// them. While it has no observers, the heartbeats go to the seeds.
    pub(super) fn send_heartbeats(&mut self, now: Time) {
        self.next_heartbeat = now + self.cfg.heartbeat;
        let mut to = self.addresses(&self.own_member().observers);
        let hash = observers_hash(&to);
        if to.is_empty() {
            to = self.cfg.seeds.clone();
            self.info_rounds = self.info_rounds.max(1);
        }
        self.heartbeat_requesters.retain(|_, until| now < *until);
        to.extend(
            self.heartbeat_requesters
                .keys()
                .filter(|a| !to.contains(a))
                .copied()
                .collect::<Vec<_>>(),
        );
        to.retain(|a| *a != self.cfg.me.udp);
        let seq = self.next_seq();
        let mine = self.own_member();
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

    /// Merges a state that another entry sent. If the member's info is unknown or older than the
    /// state, the info is requested with the next digests.
    pub(super) fn merge_state(&mut self, now: Time, s: super::StateRecord) {
        if s.key == self.me {
            self.handle_own_state(now, s.incarnation, s.liveness, s.leaving);
            return;
        }
        let faults = self.faults;
        let Some(member) = self.table.get_mut(s.key) else {
            let forgotten = self.table.is_forgotten(s.key, s.incarnation, s.beat);
            if s.liveness != Liveness::Dead && !forgotten {
                self.missing_info.entry(s.key).or_insert(now);
            }
            return;
        };
        let r = &mut member.record;
        if s.incarnation > r.incarnation {
            self.missing_info.entry(s.key).or_insert(now);
            return;
        }
        let known = (r.incarnation, r.beat, r.liveness);
        if s.incarnation < r.incarnation {
            self.counters.stale_records += 1;
            self.queue_gossip(s.key, true);
            return;
        }
        if s.detail_version > r.info.detail_version {
            self.missing_info.entry(s.key).or_insert(now);
        }
        // The sender has older data, so what it lacks is gossiped again.
        let is_old_info = s.detail_version < r.info.detail_version;
        let is_old_state = s.beat < r.beat && s.liveness != r.liveness;
        let merge = r.merge_state((s.beat, s.liveness), s.leaving, faults);
        let is_revived = known.2 != Liveness::Alive && r.liveness == Liveness::Alive;
        if is_revived && member.observed_since.is_some() {
            member.suspicion_factor = (member.suspicion_factor * 2).min(8);
        }
        self.after_merge(now, s.key, (known.0, known.2), merge);
        if is_old_info || is_old_state {
            self.counters.stale_records += u64::from(is_old_state);
            self.queue_gossip(s.key, is_old_info);
        }
    }
}

/// Whether `info` belongs to `key` and fits a datagram.
fn is_valid(info: &MemberInfo, key: MemberKey) -> bool {
    member_key(&info.node) == key && info.detail.len() <= super::entry::MAX_DETAIL_BYTES
}
