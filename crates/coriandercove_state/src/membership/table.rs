//! The member table of an entry.

use super::record::{Liveness, LoadReport, MemberKey, MemberRecord, State};
use coriandercove_base::{Incarnation, Time};
use std::collections::BTreeMap;

/// A member with what this node knows and has done about it.
#[derive(Debug, Clone)]
pub(super) struct Member {
    pub(super) record: MemberRecord,
    pub(super) load: LoadReport,
    /// Heartbeat that the load belongs to.
    pub(super) load_beat: u64,
    /// Time of the last digest that carried the load.
    pub(super) load_sent: Time,
    /// Entries that should observe the member.
    pub(super) observers: Vec<MemberKey>,
    /// Since when this node observes the member.
    pub(super) observed: Option<Time>,
    /// Last heartbeat that reached this node, since it observes the member.
    pub(super) heard: Option<Time>,
    /// Factor on the time until suspicion. It rises when other observers hear the member while
    /// this node does not, so that one bad link does not make suspicions over and over.
    pub(super) patience: u32,
    /// Time at which the member stopped being alive, as this node learned it.
    pub(super) silent: Option<Time>,
    /// Since when its zone is heard again while the member itself is unreachable.
    pub(super) zone_heard: Option<Time>,
    /// Datagrams that should still carry the member's state.
    pub(super) hot: u32,
    /// Whether these carry its info as well.
    pub(super) hot_info: bool,
    /// What the router was told last.
    pub(super) shown: Option<(Incarnation, State)>,
}

impl Member {
    pub(super) fn new(record: MemberRecord, now: Time) -> Self {
        let silent = (record.liveness != Liveness::Alive).then_some(now);
        Self {
            record,
            load: LoadReport::default(),
            load_beat: 0,
            load_sent: Time::ZERO,
            observers: Vec::new(),
            observed: None,
            heard: None,
            patience: 1,
            silent,
            zone_heard: None,
            hot: 0,
            hot_info: false,
            shown: None,
        }
    }

    /// Whether other nodes may send it datagrams with some hope.
    pub(super) fn is_reachable(&self) -> bool {
        matches!(self.record.liveness, Liveness::Alive | Liveness::Suspect)
    }

    /// Hash of what all entries should agree on.
    fn summary(&self, key: MemberKey) -> u64 {
        let r = &self.record;
        let state = (u64::from(r.info.detail_version) << 8)
            | (u64::from(r.leaving) << 4)
            | r.liveness as u64;
        coriandercove_base::hash::mix64(
            key ^ coriandercove_base::hash::mix64(r.incarnation ^ state.rotate_left(32)),
        )
    }
}

/// A member that was forgotten, so that stale records of it are recognised.
#[derive(Debug, Clone, Copy)]
pub(super) struct Forgotten {
    pub(super) incarnation: Incarnation,
    pub(super) beat: u64,
    pub(super) leaving: bool,
    pub(super) at: Time,
}

/// All members, by key. A tree, so that a run is the same each time with the same seed.
#[derive(Debug, Default)]
pub(super) struct Table {
    pub(super) members: BTreeMap<MemberKey, Member>,
    pub(super) forgotten: BTreeMap<MemberKey, Forgotten>,
}

/// Buckets of the table in a query.
pub(super) const BUCKETS: usize = 32;

impl Table {
    pub(super) fn get(&self, key: MemberKey) -> Option<&Member> {
        self.members.get(&key)
    }

    pub(super) fn get_mut(&mut self, key: MemberKey) -> Option<&mut Member> {
        self.members.get_mut(&key)
    }

    /// The first member whose key begins with the 32 bits given.
    pub(super) fn by_prefix(&mut self, prefix: u32) -> Option<&mut Member> {
        let from = u64::from(prefix) << 32;
        let to = from | u64::from(u32::MAX);
        self.members.range_mut(from..=to).next().map(|(_, m)| m)
    }

    /// Sum of the summaries of all members that are not dead. Dead ones are left out, because
    /// entries forget them at different times.
    pub(super) fn summary(&self) -> u32 {
        let sum = self
            .listed()
            .fold(0u64, |sum, (k, m)| sum.wrapping_add(m.summary(*k)));
        (sum >> 32) as u32
    }

    /// Summaries of the buckets of the table.
    pub(super) fn buckets(&self) -> Vec<u16> {
        let mut sums = [0u64; BUCKETS];
        for (key, member) in self.listed() {
            let sum = &mut sums[bucket(*key)];
            *sum = sum.wrapping_add(member.summary(*key));
        }
        sums.iter().map(|sum| (sum >> 48) as u16).collect()
    }

    fn listed(&self) -> impl Iterator<Item = (&MemberKey, &Member)> {
        self.members
            .iter()
            .filter(|(_, m)| m.record.liveness != Liveness::Dead && m.record.incarnation > 0)
    }

    /// Whether a record is older than the forgetting of its member.
    pub(super) fn is_forgotten(&self, key: MemberKey, incarnation: Incarnation, beat: u64) -> bool {
        self.forgotten
            .get(&key)
            .is_some_and(|f| (incarnation, beat) <= (f.incarnation, f.beat))
    }

    /// Whether the member announced that it leaves before this incarnation of it was forgotten.
    pub(super) fn left(&self, key: MemberKey, incarnation: Incarnation) -> bool {
        self.forgotten
            .get(&key)
            .is_some_and(|f| f.incarnation == incarnation && f.leaving)
    }
}

/// Bucket of a key.
pub(super) const fn bucket(key: MemberKey) -> usize {
    key as usize % BUCKETS
}
