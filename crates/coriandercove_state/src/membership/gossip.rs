//! Gossip between entries: digests carry changes first, then loads, in a bounded number of bytes;
//! queries reconcile tables that still differ.

use super::entry::EntryMembership;
use super::message::{Digest, LoadRecord, Message, Query, StateRecord};
use super::record::{Liveness, MemberKey, MemberRecord, Role};
use super::table::{Member, bucket};
use coriandercove_base::Time;
use rand::RngCore;
use serde::Serialize;
use std::net::SocketAddr;

/// Number of entries that get a digest in each heartbeat interval.
const FANOUT: usize = 3;
/// Highest number of members whose info one digest requests.
const MAX_WANTED: usize = 4;
/// Bytes reserved for the length prefixes of a digest's lists.
const LIST_LENGTH_BYTES: usize = 8;

impl EntryMembership {
    pub(super) fn tick_gossip(&mut self, now: Time) {
        if self.next_digest <= now {
            self.next_digest = now + self.cfg.heartbeat;
            for key in self.random_entries(FANOUT) {
                self.send_digest(now, key, false);
            }
        } else if self.table.members.values().any(|m| m.gossip_left > 0) {
            // Between the regular rounds, digests carry only changes, so that all entries learn of
            // a failure within a few ticks.
            for key in self.random_entries(2) {
                self.send_digest(now, key, true);
            }
        }
        if self.next_probe <= now {
            self.next_probe = now + self.cfg.heartbeat * 5;
            self.probe_lost_entries(now);
        }
    }

    /// Chooses up to `n` distinct reachable entries at random, excluding this one.
    fn random_entries(&mut self, n: usize) -> Vec<MemberKey> {
        let me = self.me;
        let mut keys = self.live_entries.reachable.clone();
        keys.retain(|k| *k != me);
        for i in 0..keys.len().min(n) {
            let j = i + random_index(self.rng.next_u64(), keys.len() - i);
            keys.swap(i, j);
        }
        keys.truncate(n);
        keys
    }

    /// Sends a digest to one entry that is silent, or to a seed that is not in the table, so that
    /// the two sides of a healed partition find each other again.
    fn probe_lost_entries(&mut self, now: Time) {
        let me = self.me;
        let silent: Vec<MemberKey> = self
            .table
            .members
            .iter()
            .filter(|(k, m)| {
                **k != me && m.record.info.role == Role::Entry && m.silent_since.is_some()
            })
            .map(|(k, _)| *k)
            .collect();
        if !silent.is_empty() {
            let key = silent[random_index(self.rng.next_u64(), silent.len())];
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
            let to = unknown[random_index(self.rng.next_u64(), unknown.len())];
            self.send_own_record(to);
        }
    }

    fn send_own_record(&mut self, to: SocketAddr) {
        let mine = self.own_member().record.clone();
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
            summary: self.table.hash(),
            ..Digest::default()
        }
    }

    /// Sends a digest to an entry, unless the byte budget is used up. With `changes_only` it
    /// carries no loads, and is not sent without changes or requests.
    pub(super) fn send_digest(&mut self, now: Time, key: MemberKey, changes_only: bool) {
        let Some(to) = self.table.get(key).map(|m| m.record.info.udp) else {
            return;
        };
        if !self
            .budget
            .allows(self.cfg.max_digest_bytes + self.cfg.overhead_bytes)
        {
            self.counters.over_budget += 1;
            return;
        }
        let mut digest = self.empty_digest();
        let mut space = DigestSpace::new(
            &digest,
            self.cfg.max_digest_bytes,
            self.cfg.max_datagram_bytes,
        );
        let wants: Vec<MemberKey> = self.missing_info.keys().take(MAX_WANTED).copied().collect();
        digest.wants = wants.into_iter().filter(|k| space.reserve(k)).collect();
        self.add_changes(&mut digest, &mut space);
        let is_empty =
            digest.changes.is_empty() && digest.full.is_empty() && digest.wants.is_empty();
        if changes_only && is_empty {
            return;
        }
        if !changes_only {
            self.add_loads(now, &mut digest, &mut space);
        }
        self.send(to, &Message::Digest(digest));
    }

    /// Adds changed members, those sent least often first.
    fn add_changes(&mut self, digest: &mut Digest, space: &mut DigestSpace) {
        let mut changed: Vec<(u32, MemberKey)> = self
            .table
            .members
            .iter()
            .filter(|(_, m)| m.gossip_left > 0)
            .map(|(k, m)| (m.gossip_left, *k))
            .collect();
        changed.sort_unstable_by(|a, b| b.cmp(a));
        for (_, key) in changed {
            let Some(member) = self.table.get_mut(key) else {
                continue;
            };
            let added = if member.gossip_full {
                space
                    .reserve_full(&member.record)
                    .then(|| digest.full.push(member.record.clone()))
            } else {
                let state = state_record(key, member);
                space.reserve(&state).then(|| digest.changes.push(state))
            };
            if added.is_some() {
                member.gossip_left -= 1;
                member.gossip_full &= member.gossip_left > 0;
            }
        }
    }

    /// Fills the digest with loads of members that this entry observes, those not sent for the
    /// longest time first. Loads learned from other entries are not forwarded: the byte budget
    /// suffices only for those of the observed members.
    fn add_loads(&mut self, now: Time, digest: &mut Digest, space: &mut DigestSpace) {
        let mut keys: Vec<(Time, MemberKey)> = self
            .table
            .members
            .iter()
            .filter(|(_, m)| m.last_heard.is_some() && m.record.liveness == Liveness::Alive)
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
            if !space.reserve(&load) {
                break;
            }
            member.load_sent = now;
            digest.loads.push(load);
        }
    }

    pub(super) fn handle_digest(&mut self, now: Time, from: SocketAddr, digest: Digest) {
        if digest.key == self.me {
            return;
        }
        for record in digest.full {
            self.merge_record(now, record);
        }
        let known = self.table.get(digest.key).map(|m| m.record.incarnation);
        match known {
            Some(known) if known == digest.incarnation => {
                self.record_sign_of_life(now, digest.key, digest.seq, false);
                self.report_peer_config(digest.key, digest.config);
            }
            Some(known) if known > digest.incarnation => {
                // The sender is an earlier run of the member: its data is old, and the record of
                // the later run tells it so.
                self.counters.stale += 1;
                self.send_full_record(from, digest.key);
                return;
            }
            _ => {
                self.missing_info.entry(digest.key).or_insert(now);
            }
        }
        for state in digest.changes {
            self.merge_state(now, state);
        }
        for load in digest.loads {
            self.merge_load(load);
        }
        for key in digest.wants {
            self.send_full_record(from, key);
        }
        self.compare_tables(now, from, digest.key, digest.summary);
    }

    /// Sends a member's whole record to an entry that lacks it, if the byte budget allows it.
    fn send_full_record(&mut self, to: SocketAddr, key: MemberKey) {
        let Some(record) = self.table.get(key).map(|m| m.record.clone()) else {
            return;
        };
        if self
            .budget
            .allows(self.cfg.max_digest_bytes + self.cfg.overhead_bytes)
        {
            let mut digest = self.empty_digest();
            digest.full.push(record);
            self.send(to, &Message::Digest(digest));
        } else {
            self.counters.over_budget += 1;
        }
    }

    /// Stores a load from a digest if it is newer than the known one; the 16-bit heartbeat number
    /// wraps around.
    fn merge_load(&mut self, load: LoadRecord) {
        let Some((key, beat)) = self.table.by_prefix(load.key).map(|m| {
            let distance = load.beat.wrapping_sub(m.load_beat as u16);
            let newer = distance != 0 && distance < u16::MAX / 2;
            let key = super::member_key(&m.record.info.node);
            (key, newer.then(|| m.load_beat + u64::from(distance)))
        }) else {
            return;
        };
        if let Some(beat) = beat.filter(|_| key != self.me) {
            self.update_load(key, beat, load.load);
        }
    }

    /// Queries a peer whose table differs, at most once in 5 heartbeat intervals. Pulls the whole
    /// table once the tables have differed for 20 intervals.
    fn compare_tables(&mut self, now: Time, from: SocketAddr, key: MemberKey, summary: u32) {
        if summary == self.table.hash() {
            self.differs_since = None;
            return;
        }
        let since = *self.differs_since.get_or_insert(now);
        // Nothing else may delay a query. Where half of the entries lag, digests of those that
        // agree arrive all the time, and tables that differ may keep changing until they agree.
        if now < self.next_query {
            return;
        }
        self.next_query = now + self.cfg.heartbeat * 5;
        if now >= since + self.cfg.heartbeat * 20 {
            // Datagrams cannot carry a difference this large, such as after a failed first pull.
            if let Some(tcp) = self.table.get(key).map(|m| m.record.info.tcp) {
                self.pull_table(now, tcp);
            }
        }
        let query = Query {
            key: self.me,
            incarnation: self.incarnation(),
            seq: self.next_seq(),
            buckets: self.table.bucket_hashes(),
        };
        self.send(from, &Message::Query(query));
    }

    /// Answers a query with the states in the buckets that differ, as many as fit into a digest,
    /// from a random start so that repeated queries cover all of them.
    pub(super) fn handle_query(&mut self, now: Time, from: SocketAddr, query: &Query) {
        let same = self.table.get(query.key).map(|m| m.record.incarnation);
        if same == Some(query.incarnation) {
            self.record_sign_of_life(now, query.key, query.seq, false);
        }
        let mine = self.table.bucket_hashes();
        let differs = |k: &MemberKey| query.buckets.get(bucket(*k)) != mine.get(bucket(*k));
        let mut states = self.states(differs);
        if states.is_empty()
            || !self
                .budget
                .allows(self.cfg.max_digest_bytes + self.cfg.overhead_bytes)
        {
            return;
        }
        let start = random_index(self.rng.next_u64(), states.len());
        states.rotate_left(start);
        let mut digest = self.empty_digest();
        let mut space = DigestSpace::new(
            &digest,
            self.cfg.max_digest_bytes,
            self.cfg.max_datagram_bytes,
        );
        digest.changes = states
            .into_iter()
            .take_while(|s| space.reserve(s))
            .collect();
        self.send(from, &Message::Digest(digest));
    }

    /// Returns the states of the selected members. Forgotten members are included as dead, because
    /// an entry that was paused while a member died would otherwise list it for ever.
    fn states(&self, selected: impl Fn(&MemberKey) -> bool) -> Vec<StateRecord> {
        let members = self.table.members.iter();
        let known = members.filter(|(_, m)| m.record.incarnation > 0);
        let known = known.map(|(k, m)| state_record(*k, m));
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
        known.chain(dead).filter(|s| selected(&s.key)).collect()
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

/// Maps a random number to an index below `len`.
fn random_index(random: u64, len: usize) -> usize {
    (random % len.max(1) as u64) as usize
}

/// Space in a digest that is being filled, in bytes.
struct DigestSpace {
    used: usize,
    /// Limit for a digest without whole records.
    limit: usize,
    /// Limit for a digest with whole records.
    full_limit: usize,
}

impl DigestSpace {
    fn new(digest: &Digest, limit: usize, full_limit: usize) -> Self {
        // One more byte holds the kind of message.
        let used = 1 + encoded_len(digest) + LIST_LENGTH_BYTES;
        Self {
            used,
            limit,
            full_limit,
        }
    }

    /// Reserves space for `item`; returns false if it does not fit.
    fn reserve(&mut self, item: &impl Serialize) -> bool {
        self.reserve_within(item, self.limit)
    }

    /// Reserves space for a whole record. Such records are rare and large, so the limit is that of
    /// a datagram.
    fn reserve_full(&mut self, record: &MemberRecord) -> bool {
        self.reserve_within(record, self.full_limit)
    }

    fn reserve_within(&mut self, item: &impl Serialize, limit: usize) -> bool {
        let size = encoded_len(item);
        let fits = self.used + size <= limit;
        if fits {
            self.used += size;
        }
        fits
    }
}

/// Returns the encoded size in bytes. An item that cannot be encoded counts as larger than any
/// datagram, but small enough that sums of sizes do not overflow.
fn encoded_len(item: &impl Serialize) -> usize {
    postcard::to_allocvec(item).map_or(usize::MAX / 2, |bytes| bytes.len())
}
