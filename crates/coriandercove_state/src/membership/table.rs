//! The member table of an entry.

use super::record::{Liveness, LoadReport, MemberKey, MemberRecord, State};
use coriandercove_base::{Incarnation, Time};
use std::collections::BTreeMap;

/// A member as this entry sees it, with the state of its observation and gossip.
#[derive(Debug, Clone)]
pub(super) struct Member {
    pub(super) record: MemberRecord,
    pub(super) load: LoadReport,
    /// Sequence number of the heartbeat that the load belongs to.
    pub(super) load_beat: u64,
    /// Time of the last digest that carried the load.
    pub(super) load_sent: Time,
    /// Entries that should observe the member.
    pub(super) observers: Vec<MemberKey>,
    /// Since when this entry observes the member; `None` if it does not.
    pub(super) observed_since: Option<Time>,
    /// Last sign of life from the member since this entry began to observe it.
    pub(super) last_heard: Option<Time>,
    /// Factor on the time until suspicion. It rises when other observers receive heartbeats while
    /// this entry does not, so that one bad link does not cause suspicion after suspicion.
    pub(super) suspicion_factor: u32,
    /// Time at which this entry learned that the member is no longer alive; `None` while it is
    /// alive.
    pub(super) silent_since: Option<Time>,
    /// Since when the member's zone is no longer partitioned while the member itself is
    /// unreachable.
    pub(super) zone_back_since: Option<Time>,
    /// Number of digests that should still carry the member's state.
    pub(super) gossip_left: u32,
    /// Whether these digests carry the whole record.
    pub(super) gossip_full: bool,
    /// Incarnation and state that were last reported to the router.
    pub(super) reported: Option<(Incarnation, State)>,
}

impl Member {
    pub(super) fn new(record: MemberRecord, now: Time) -> Self {
        let silent_since = (record.liveness != Liveness::Alive).then_some(now);
        Self {
            record,
            load: LoadReport::default(),
            load_beat: 0,
            load_sent: Time::ZERO,
            observers: Vec::new(),
            observed_since: None,
            last_heard: None,
            suspicion_factor: 1,
            silent_since,
            zone_back_since: None,
            gossip_left: 0,
            gossip_full: false,
            reported: None,
        }
    }

    /// Whether datagrams are likely to reach the member.
    pub(super) fn is_reachable(&self) -> bool {
        matches!(self.record.liveness, Liveness::Alive | Liveness::Suspect)
    }

    /// Hash of the part of the record on which all entries should agree.
    fn state_hash(&self, key: MemberKey) -> u64 {
        let r = &self.record;
        let state = (u64::from(r.info.detail_version) << 8)
            | (u64::from(r.leaving) << 4)
            | r.liveness as u64;
        coriandercove_base::hash::mix64(
            key ^ coriandercove_base::hash::mix64(r.incarnation ^ state.rotate_left(32)),
        )
    }
}

/// The last state of a member that was removed from the table, to recognise stale records of it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Forgotten {
    pub(super) incarnation: Incarnation,
    pub(super) beat: u64,
    pub(super) leaving: bool,
    /// Time of the removal.
    pub(super) at: Time,
}

/// All members, by key. The maps are ordered, so that runs with the same seed are identical.
#[derive(Debug, Default)]
pub(super) struct Table {
    pub(super) members: BTreeMap<MemberKey, Member>,
    pub(super) forgotten: BTreeMap<MemberKey, Forgotten>,
}

/// Number of buckets into which a query divides the table.
pub(super) const BUCKETS: usize = 32;

impl Table {
    pub(super) fn get(&self, key: MemberKey) -> Option<&Member> {
        self.members.get(&key)
    }

    pub(super) fn get_mut(&mut self, key: MemberKey) -> Option<&mut Member> {
        self.members.get_mut(&key)
    }

    /// Returns the first member whose key has these high 32 bits.
    pub(super) fn by_prefix(&mut self, prefix: u32) -> Option<&mut Member> {
        let from = u64::from(prefix) << 32;
        let to = from | u64::from(u32::MAX);
        self.members.range_mut(from..=to).next().map(|(_, m)| m)
    }

    /// Returns a hash of the table. Dead members are left out, because entries remove them at
    /// different times.
    pub(super) fn hash(&self) -> u32 {
        let sum = self
            .hashed_members()
            .fold(0u64, |sum, (k, m)| sum.wrapping_add(m.state_hash(*k)));
        (sum >> 32) as u32
    }

    /// Returns a hash of each bucket of the table, without dead members.
    pub(super) fn bucket_hashes(&self) -> Vec<u16> {
        let mut sums = [0u64; BUCKETS];
        for (key, member) in self.hashed_members() {
            let sum = &mut sums[bucket(*key)];
            *sum = sum.wrapping_add(member.state_hash(*key));
        }
        sums.iter().map(|sum| (sum >> 48) as u16).collect()
    }

    /// Members that count in the hashes: not dead, and not known only from the VM list.
    fn hashed_members(&self) -> impl Iterator<Item = (&MemberKey, &Member)> {
        self.members
            .iter()
            .filter(|(_, m)| m.record.liveness != Liveness::Dead && m.record.incarnation > 0)
    }

    /// Whether a record is not newer than the last state of its removed member.
    pub(super) fn is_forgotten(&self, key: MemberKey, incarnation: Incarnation, beat: u64) -> bool {
        self.forgotten
            .get(&key)
            .is_some_and(|f| (incarnation, beat) <= (f.incarnation, f.beat))
    }

    /// Whether this incarnation of the member was leaving when it was removed.
    pub(super) fn was_leaving(&self, key: MemberKey, incarnation: Incarnation) -> bool {
        self.forgotten
            .get(&key)
            .is_some_and(|f| f.incarnation == incarnation && f.leaving)
    }
}

/// Returns the bucket of a key.
pub(super) const fn bucket(key: MemberKey) -> usize {
    key as usize % BUCKETS
}
