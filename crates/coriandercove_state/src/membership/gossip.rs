//! Digests between entries: rumours first, then loads, in a bounded number of bytes.

use super::entry::EntryMembership;
use super::message::{Digest, LoadRecord, Message, Query, StateRecord};
use super::record::{Liveness, MemberKey, MemberRecord, Role};
use super::table::{Member, bucket};
use coriandercove_base::Time;
use rand::RngCore;
use serde::Serialize;
use std::net::SocketAddr;

/// Entries that get a digest each second.
const FANOUT: usize = 3;
/// Members whose info one digest asks for.
const WANTS: usize = 4;
/// Bytes kept for the lengths of a digest's lists.
const LIST_LENGTHS: usize = 8;

impl EntryMembership {
    pub(super) fn tick_gossip(&mut self, now: Time) {
        if self.next_digest <= now {
            self.next_digest = now + self.cfg.heartbeat;
            for key in self.random_entries(FANOUT) {
                self.send_digest(now, key, false);
            }
        } else if self.table.members.values().any(|m| m.hot > 0) {
            // Between the regular rounds only rumours travel, so that a failure is known
            // everywhere after a few ticks.
            for key in self.random_entries(2) {
                self.send_digest(now, key, true);
            }
        }
        if self.next_probe <= now {
            self.next_probe = now + self.cfg.heartbeat * 5;
            self.probe(now);
        }
    }

    /// Different entries chosen at random, this one excluded.
    fn random_entries(&mut self, n: usize) -> Vec<MemberKey> {
        let me = self.me;
        let mut keys = self.observers.peers.clone();
        keys.retain(|k| *k != me);
        for i in 0..keys.len().min(n) {
            let j = i + pick(self.rng.next_u64(), keys.len() - i);
            keys.swap(i, j);
        }
        keys.truncate(n);
        keys
    }

    /// Sends a digest to one entry that is given up, or to a seed, so that two sides of a healed
    /// partition find each other again.
    fn probe(&mut self, now: Time) {
        let me = self.me;
        let silent: Vec<MemberKey> = self
            .table
            .members
            .iter()
            .filter(|(k, m)| **k != me && m.record.info.role == Role::Entry && m.silent.is_some())
            .map(|(k, _)| *k)
            .collect();
        if !silent.is_empty() {
            let key = silent[pick(self.rng.next_u64(), silent.len())];
            self.send_digest(now, key, false);
            return;
        }
        let known =
            |a: &SocketAddr| *a == self.cfg.me.udp || self.records().any(|r| r.info.udp == *a);
        let unknown: Vec<SocketAddr> = self
            .cfg
            .seeds
            .iter()
            .filter(|a| !known(a))
            .copied()
            .collect();
        if !unknown.is_empty() {
            let to = unknown[pick(self.rng.next_u64(), unknown.len())];
            self.introduce(to);
        }
    }

    fn introduce(&mut self, to: SocketAddr) {
        let mine = self.mine().record.clone();
        let mut digest = self.empty_digest();
        digest.full.push(mine);
        self.send(to, &Message::Digest(digest));
    }

    fn empty_digest(&mut self) -> Digest {
        Digest {
            key: self.me,
            incarnation: self.incarnation(),
            seq: self.next_seq(),
            config: self.config,
            summary: self.table.summary(),
            ..Digest::default()
        }
    }

    pub(super) fn send_digest(&mut self, now: Time, key: MemberKey, rumours_only: bool) {
        let Some(to) = self.table.get(key).map(|m| m.record.info.udp) else {
            return;
        };
        if !self
            .budget
            .allows(self.cfg.digest_bytes + self.cfg.overhead)
        {
            self.counters.over_budget += 1;
            return;
        }
        let mut digest = self.empty_digest();
        let mut room = Room::new(&digest, self.cfg.digest_bytes, self.cfg.datagram_bytes);
        let wants: Vec<MemberKey> = self.missing.keys().take(WANTS).copied().collect();
        digest.wants = wants.into_iter().filter(|k| room.take(k)).collect();
        self.add_rumours(&mut digest, &mut room);
        let empty = digest.changes.is_empty() && digest.full.is_empty() && digest.wants.is_empty();
        if rumours_only && empty {
            return;
        }
        if !rumours_only {
            self.add_loads(now, &mut digest, &mut room);
        }
        self.send(to, &Message::Digest(digest));
    }

    /// Adds the members that changed, those told least often first.
    fn add_rumours(&mut self, digest: &mut Digest, room: &mut Room) {
        let mut hot: Vec<(u32, MemberKey)> = self
            .table
            .members
            .iter()
            .filter(|(_, m)| m.hot > 0)
            .map(|(k, m)| (m.hot, *k))
            .collect();
        hot.sort_unstable_by(|a, b| b.cmp(a));
        for (_, key) in hot {
            let Some(member) = self.table.get_mut(key) else {
                continue;
            };
            let taken = if member.hot_info {
                room.take_full(&member.record)
                    .then(|| digest.full.push(member.record.clone()))
            } else {
                let state = state_record(key, member);
                room.take(&state).then(|| digest.changes.push(state))
            };
            if taken.is_some() {
                member.hot -= 1;
                member.hot_info &= member.hot > 0;
            }
        }
    }

    /// Fills the digest with loads of members that this entry observes, those longest not sent
    /// first. Loads learned from others are not passed on: the bytes suffice for own ones only.
    fn add_loads(&mut self, now: Time, digest: &mut Digest, room: &mut Room) {
        let mut keys: Vec<(Time, MemberKey)> = self
            .table
            .members
            .iter()
            .filter(|(_, m)| m.heard.is_some() && m.record.liveness == Liveness::Alive)
            .map(|(k, m)| (m.load_sent, *k))
            .collect();
        keys.sort_unstable();
        for (_, key) in keys {
            let Some(member) = self.table.get_mut(key) else {
                continue;
            };
            let load = LoadRecord {
                key: (key >> 32) as u32,
                beat: member.load_beat as u16,
                load: member.load,
            };
            if !room.take(&load) {
                break;
            }
            member.load_sent = now;
            digest.loads.push(load);
        }
    }

    pub(super) fn digest(&mut self, now: Time, from: SocketAddr, digest: Digest) {
        if digest.key == self.me {
            return;
        }
        for record in digest.full {
            self.merge_record(now, record);
        }
        let known = self.table.get(digest.key).map(|m| m.record.incarnation);
        match known {
            Some(known) if known == digest.incarnation => {
                self.alive(now, digest.key, digest.seq, false);
                self.peer_config(digest.key, digest.config);
            }
            Some(known) if known > digest.incarnation => {
                // An earlier run: what it says is old, and it learns that from the rumour.
                self.counters.stale += 1;
                self.tell(from, digest.key);
                return;
            }
            _ => {
                self.missing.entry(digest.key).or_insert(now);
            }
        }
        for state in digest.changes {
            self.merge_state(now, state);
        }
        for load in digest.loads {
            self.load_record(load);
        }
        for key in digest.wants {
            self.tell(from, key);
        }
        self.compare(now, from, digest.key, digest.summary);
    }

    /// Sends a member's whole record to one who lacks it.
    fn tell(&mut self, to: SocketAddr, key: MemberKey) {
        let Some(record) = self.table.get(key).map(|m| m.record.clone()) else {
            return;
        };
        if self
            .budget
            .allows(self.cfg.digest_bytes + self.cfg.overhead)
        {
            let mut digest = self.empty_digest();
            digest.full.push(record);
            self.send(to, &Message::Digest(digest));
        } else {
            self.counters.over_budget += 1;
        }
    }

    fn load_record(&mut self, load: LoadRecord) {
        let Some((key, beat)) = self.table.by_prefix(load.key).map(|m| {
            let distance = load.beat.wrapping_sub(m.load_beat as u16);
            let newer = distance != 0 && distance < u16::MAX / 2;
            let key = super::member_key(&m.record.info.node);
            (key, newer.then(|| m.load_beat + u64::from(distance)))
        }) else {
            return;
        };
        if let Some(beat) = beat.filter(|_| key != self.me) {
            self.take_load(key, beat, load.load);
        }
    }

    /// Asks a peer whose table differs for the differing buckets, at most every 5 s.
    fn compare(&mut self, now: Time, from: SocketAddr, key: MemberKey, summary: u32) {
        if summary == self.table.summary() {
            self.differs_since = None;
            return;
        }
        let since = *self.differs_since.get_or_insert(now);
        // Nothing else delays a query: digests of entries that agree arrive all the time where
        // half of them lag, and tables that differ may keep changing until they agree.
        if now < self.next_query {
            return;
        }
        self.next_query = now + self.cfg.heartbeat * 5;
        if now >= since + self.cfg.heartbeat * 20 {
            // Too much differs for datagrams, as after a first pull that failed.
            if let Some(tcp) = self.table.get(key).map(|m| m.record.info.tcp) {
                self.pull_table(now, tcp);
            }
        }
        let query = Query {
            key: self.me,
            incarnation: self.incarnation(),
            seq: self.next_seq(),
            buckets: self.table.buckets(),
        };
        self.send(from, &Message::Query(query));
    }

    /// Answers with the states in the buckets that differ, as many as fit, beginning at random so
    /// that repeated queries cover all.
    pub(super) fn query(&mut self, now: Time, from: SocketAddr, query: &Query) {
        let same = self.table.get(query.key).map(|m| m.record.incarnation);
        if same == Some(query.incarnation) {
            self.alive(now, query.key, query.seq, false);
        }
        let mine = self.table.buckets();
        let differs = |k: &MemberKey| query.buckets.get(bucket(*k)) != mine.get(bucket(*k));
        let mut states = self.states(differs);
        if states.is_empty()
            || !self
                .budget
                .allows(self.cfg.digest_bytes + self.cfg.overhead)
        {
            return;
        }
        let start = pick(self.rng.next_u64(), states.len());
        states.rotate_left(start);
        let mut digest = self.empty_digest();
        let mut room = Room::new(&digest, self.cfg.digest_bytes, self.cfg.datagram_bytes);
        digest.changes = states.into_iter().take_while(|s| room.take(s)).collect();
        self.send(from, &Message::Digest(digest));
    }

    /// States of the members chosen, forgotten ones included as dead: an entry that was away when
    /// a member died would otherwise list it for ever.
    fn states(&self, chosen: impl Fn(&MemberKey) -> bool) -> Vec<StateRecord> {
        let members = self.table.members.iter();
        let heard = members.filter(|(_, m)| m.record.incarnation > 0);
        let heard = heard.map(|(k, m)| state_record(*k, m));
        let forgotten = self.table.forgotten.iter();
        let dead = forgotten.filter(|(k, _)| self.table.get(**k).is_none());
        let dead = dead.map(|(key, f)| StateRecord {
            key: *key,
            incarnation: f.incarnation,
            beat: f.beat,
            liveness: Liveness::Dead,
            leaving: f.leaving,
            detail_version: 0,
        });
        heard.chain(dead).filter(|s| chosen(&s.key)).collect()
    }
}

fn state_record(key: MemberKey, member: &Member) -> StateRecord {
    let r = &member.record;
    StateRecord {
        key,
        incarnation: r.incarnation,
        beat: r.beat,
        liveness: r.liveness,
        leaving: r.leaving,
        detail_version: r.info.detail_version,
    }
}

/// An index below `len`, from a random number.
fn pick(random: u64, len: usize) -> usize {
    (random % len.max(1) as u64) as usize
}

/// Bytes left in a digest.
struct Room {
    used: usize,
    bound: usize,
    full_bound: usize,
}

impl Room {
    fn new(digest: &Digest, bound: usize, full_bound: usize) -> Self {
        // One byte more for the kind of message.
        let used = 1 + encoded_len(digest) + LIST_LENGTHS;
        Self {
            used,
            bound,
            full_bound,
        }
    }

    fn take(&mut self, item: &impl Serialize) -> bool {
        self.take_within(item, self.bound)
    }

    /// Whole records are rare and larger, so they have the bound of a datagram.
    fn take_full(&mut self, record: &MemberRecord) -> bool {
        self.take_within(record, self.full_bound)
    }

    fn take_within(&mut self, item: &impl Serialize, bound: usize) -> bool {
        let size = encoded_len(item);
        let fits = self.used + size <= bound;
        if fits {
            self.used += size;
        }
        fits
    }
}

fn encoded_len(item: &impl Serialize) -> usize {
    postcard::to_allocvec(item).map_or(usize::MAX / 2, |bytes| bytes.len())
}
