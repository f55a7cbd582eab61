//! The membership state machine of an entry.

use super::budget::Budget;
use super::event::{MemberEvent, MembershipAction, MembershipCounters, MembershipEvent, VmListed};
use super::faults::Faults;
use super::message::Message;
use super::observers::LiveEntries;
use super::record::{
    Liveness, LoadReport, MemberKey, MemberRecord, Merge, Role, State, member_key,
};
use super::settings::MembershipSettings;
use super::table::{Member, Table};
use coriandercove_base::rng::{Rng, seeded};
use coriandercove_base::{ConfigVersion, Incarnation, NodeId, SortedMap, Time, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Longest [`super::MemberInfo::detail`] in bytes; a whole record must fit a datagram.
pub(super) const MAX_DETAIL_BYTES: usize = 400;
/// Rounds of heartbeats that carry the sender's info after the start and after a change of the
/// info.
pub(super) const INFO_ROUNDS: u32 = 3;

/// The membership state machine of an entry. It observes members, gossips what it learns to other
/// entries, and reports changes to the router.
#[derive(Debug)]
pub struct EntryMembership {
    pub(super) cfg: MembershipSettings,
    pub(super) me: MemberKey,
    /// Sequence number of the last heartbeat round, digest or query.
    pub(super) seq: u64,
    /// Version of the configuration in force at this node.
    pub(super) config: ConfigVersion,
    pub(super) table: Table,
    pub(super) live_entries: LiveEntries,
    /// Whether a change of the table requires `live_entries` and the observers of all members to be
    /// computed again.
    pub(super) observers_outdated: bool,
    /// Members whose info this entry lacks, and since when.
    pub(super) missing_info: BTreeMap<MemberKey, Time>,
    /// Zones that count as partitioned, and since when.
    pub(super) partitioned_zones: SortedMap<ZoneId, Time>,
    /// Members that the last VM list showed as leaving.
    pub(super) vm_leaving: BTreeSet<MemberKey>,
    /// Addresses of entries that missed heartbeats of this one and requested them, and until when
    /// they get them.
    pub(super) heartbeat_requesters: BTreeMap<SocketAddr, Time>,
    /// Rounds of heartbeats that will still carry this node's info.
    pub(super) info_rounds: u32,
    pub(super) budget: Budget,
    pub(super) rng: Rng,
    pub(super) started: Option<Time>,
    pub(super) last_tick: Time,
    pub(super) next_heartbeat: Time,
    pub(super) next_digest: Time,
    pub(super) next_probe: Time,
    pub(super) next_query: Time,
    pub(super) next_pull: Time,
    /// Time of the first digest that showed a different table, since the last one that agreed.
    pub(super) differs_since: Option<Time>,
    /// Whether a later run of this node has taken over.
    pub(super) stopped: bool,
    pub(super) counters: MembershipCounters,
    pub(super) faults: Faults,
    pub(super) out: Vec<MembershipAction>,
}

impl EntryMembership {
    /// Creates an entry that knows only itself and its seeds; `seed` seeds the random choice of
    /// peers.
    #[must_use]
    pub fn new(cfg: MembershipSettings, seed: u64) -> Self {
        let me = member_key(&cfg.me.node);
        let mut table = Table::default();
        let record = MemberRecord {
            info: cfg.me.clone(),
            incarnation: cfg.incarnation,
            beat: 0,
            liveness: Liveness::Alive,
            leaving: false,
        };
        table.members.insert(me, Member::new(record, Time::ZERO));
        Self {
            me,
            seq: 0,
            config: 0,
            table,
            live_entries: LiveEntries::default(),
            observers_outdated: true,
            missing_info: BTreeMap::new(),
            partitioned_zones: SortedMap::new(),
            vm_leaving: BTreeSet::new(),
            heartbeat_requesters: BTreeMap::new(),
            info_rounds: INFO_ROUNDS,
            budget: Budget::new(cfg.budget_bytes_per_s),
            rng: seeded(seed),
            started: None,
            last_tick: Time::ZERO,
            next_heartbeat: Time::ZERO,
            next_digest: Time::ZERO,
            next_probe: Time::ZERO,
            next_query: Time::ZERO,
            next_pull: Time::ZERO,
            differs_since: None,
            stopped: false,
            counters: MembershipCounters::default(),
            faults: Faults::default(),
            out: Vec::new(),
            cfg,
        }
    }

    /// Switches a deliberate fault on.
    #[cfg(feature = "faults")]
    #[must_use]
    pub const fn with_fault(mut self, fault: super::MembershipFault) -> Self {
        self.faults = Faults::only(fault);
        self
    }

    /// Handles one event at time `now` and returns the actions that follow from it.
    pub fn on_event(&mut self, now: Time, event: MembershipEvent) -> Vec<MembershipAction> {
        if self.stopped {
            return Vec::new();
        }
        match event {
            MembershipEvent::Tick => self.tick(now),
            MembershipEvent::Received { from, bytes } => self.handle_datagram(now, from, &bytes),
            MembershipEvent::ConfigVersion(version) => self.config = version,
            MembershipEvent::Load(load) => self.set_load(load),
            MembershipEvent::Detail(detail) => self.set_detail(detail),
            MembershipEvent::Leave => self.leave(now),
            MembershipEvent::VmList(vms) => self.handle_vm_list(now, vms),
            MembershipEvent::Table(records) => self.merge_pulled_table(now, records),
        }
        std::mem::take(&mut self.out)
    }

    /// Returns the whole table without dead members, as the answer to a peer's pull.
    #[must_use]
    pub fn table(&self) -> Vec<MemberRecord> {
        self.records()
            .filter(|r| r.liveness != Liveness::Dead)
            .cloned()
            .collect()
    }

    /// Iterates over all records, dead members included. Members known only from the VM list have
    /// no record.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        let records = self.table.members.values().map(|m| &m.record);
        records.filter(|r| r.incarnation > 0)
    }

    /// Returns the state of a member as the router should see it, or `None` if it has no record.
    #[must_use]
    pub fn state(&self, node: &str) -> Option<State> {
        self.record(node).map(MemberRecord::state)
    }

    /// Returns the record of a member. Members known only from the VM list, from which no entry has
    /// received a datagram, have none.
    #[must_use]
    pub fn record(&self, node: &str) -> Option<&MemberRecord> {
        let record = &self.table.get(member_key(node))?.record;
        (record.incarnation > 0).then_some(record)
    }

    /// Returns the last known load of a member.
    #[must_use]
    pub fn load(&self, node: &str) -> Option<LoadReport> {
        self.table.get(member_key(node)).map(|m| m.load)
    }

    /// Returns the entries that are alive and not leaving, this one included, in name order.
    #[must_use]
    pub fn live_entries(&self) -> Vec<NodeId> {
        let mut entries: Vec<NodeId> = self
            .records()
            .filter(|r| r.info.role == Role::Entry && r.state() == State::Alive)
            .map(|r| r.info.node.clone())
            .collect();
        entries.sort();
        entries
    }

    /// Returns this node's incarnation, which [`MembershipAction::AdoptIncarnation`] may have
    /// raised.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.own_member().record.incarnation
    }

    /// Returns the counters for the metrics endpoint.
    #[must_use]
    pub const fn counters(&self) -> &MembershipCounters {
        &self.counters
    }

    #[expect(
        clippy::expect_used,
        reason = "`new` inserts this node's own record, and nothing removes it"
    )]
    pub(super) fn own_member(&self) -> &Member {
        self.table
            .get(self.me)
            .expect("the table holds this node's own record")
    }

    pub(super) fn update_own_record(&mut self, change: impl FnOnce(&mut MemberRecord)) {
        let seq = self.seq;
        if let Some(mine) = self.table.get_mut(self.me) {
            mine.record.beat = seq;
            change(&mut mine.record);
        }
    }

    fn set_load(&mut self, load: LoadReport) {
        let (me, seq) = (self.me, self.seq);
        if let Some(mine) = self.table.get_mut(me) {
            mine.load = load;
            mine.load_beat = seq;
        }
    }

    fn set_detail(&mut self, detail: String) {
        if detail.len() > MAX_DETAIL_BYTES {
            self.counters.malformed += 1;
            return;
        }
        self.update_own_record(|r| {
            r.info.detail = detail;
            r.info.detail_version += 1;
        });
        self.info_rounds = INFO_ROUNDS;
        self.queue_gossip(self.me, true);
    }

    fn leave(&mut self, now: Time) {
        self.update_own_record(|r| r.leaving = true);
        self.queue_gossip(self.me, false);
        self.observers_outdated = true;
        self.report_state(self.me);
        self.send_heartbeats(now);
    }

    /// Adds members that are listed but unknown, and marks those that begin to leave. A member that
    /// stays listed as leaving is not marked again, because the list lags and a replacement may
    /// already run under the same name.
    fn handle_vm_list(&mut self, now: Time, vms: Vec<VmListed>) {
        let mut leaving = BTreeSet::new();
        for vm in vms {
            let key = member_key(&vm.info.node);
            if vm.leaving {
                leaving.insert(key);
            }
            let known = self.table.get(key).is_some();
            if !known && !vm.leaving && !self.table.forgotten.contains_key(&key) {
                let record = MemberRecord {
                    info: vm.info,
                    incarnation: 0,
                    beat: 0,
                    liveness: Liveness::Suspect,
                    leaving: false,
                };
                self.table.members.insert(key, Member::new(record, now));
                self.observers_outdated = true;
            } else if known && vm.leaving && !self.vm_leaving.contains(&key) {
                self.mark_leaving(key);
            }
        }
        self.vm_leaving = leaving;
    }

    fn mark_leaving(&mut self, key: MemberKey) {
        if let Some(member) = self.table.get_mut(key)
            && !member.record.leaving
        {
            member.record.leaving = true;
            self.queue_gossip(key, false);
            self.observers_outdated = true;
            self.report_state(key);
        }
    }

    fn merge_pulled_table(&mut self, now: Time, records: Vec<MemberRecord>) {
        for record in records {
            self.merge_record(now, record);
        }
    }

    /// Inserts records without reports or gossip, so that a measurement starts with a full table.
    pub(super) fn load_table(&mut self, records: &[MemberRecord]) {
        for record in records {
            let key = member_key(&record.info.node);
            if key != self.me {
                let member = Member::new(record.clone(), Time::ZERO);
                self.table.members.insert(key, member);
            }
        }
    }

    /// Puts a member's state, or its whole record if `info` is set, into the next digests.
    pub(super) fn queue_gossip(&mut self, key: MemberKey, info: bool) {
        // News that each of n entries sends O(log n) times reaches all of them with high
        // probability.
        let log = (self.live_entries.assignable.len() + 2).ilog2();
        if let Some(member) = self.table.get_mut(key) {
            member.gossip_left = 4 + 2 * log;
            member.gossip_full |= info;
        }
    }

    /// Merges a whole record from a peer or from the member itself.
    pub(super) fn merge_record(&mut self, now: Time, record: MemberRecord) {
        let key = member_key(&record.info.node);
        if key == self.me {
            self.handle_own_state(now, record.incarnation, record.liveness, record.leaving);
            return;
        }
        self.missing_info.remove(&key);
        let Some(member) = self.table.get_mut(key) else {
            self.add_member(now, key, record);
            return;
        };
        let before = (member.record.incarnation, member.record.liveness);
        let merge = member.record.merge(record, self.faults);
        self.after_merge(now, key, before, merge);
    }

    /// Adds a member that is not in the table, unless the record is older than its removal.
    fn add_member(&mut self, now: Time, key: MemberKey, mut record: MemberRecord) {
        let ignores_forgotten = self
            .faults
            .has(super::faults::MembershipFault::ForgottenComeBack);
        let forgotten = self
            .table
            .is_forgotten(key, record.incarnation, record.beat);
        if (forgotten && !ignores_forgotten) || record.liveness == Liveness::Dead {
            self.counters.stale_records += 1;
            return;
        }
        record.leaving |= self.table.was_leaving(key, record.incarnation);
        self.table.members.insert(key, Member::new(record, now));
        self.observers_outdated = true;
        self.queue_gossip(key, true);
        self.report_state(key);
    }

    /// Updates what depends on a record after a merge: the member's times, the observers, the
    /// gossip and the router. `before` is the incarnation and liveness before the merge.
    pub(super) fn after_merge(
        &mut self,
        now: Time,
        key: MemberKey,
        before: (Incarnation, Liveness),
        merge: Merge,
    ) {
        let Some(member) = self.table.get_mut(key) else {
            return;
        };
        let after = (member.record.incarnation, member.record.liveness);
        if after.1 == Liveness::Alive {
            if before.1 != Liveness::Alive {
                self.counters.refuted += 1;
                member.last_heard = member.observed_since.map(|_| now);
            }
            member.silent_since = None;
        } else if before.1 == Liveness::Alive || before.0 != after.0 {
            member.silent_since = Some(now);
        }
        if merge == Merge::Nothing {
            return;
        }
        // An agent changes the choice of observers only when it is added to or removed from the
        // members that need observers, because that changes the load bound of the entries.
        let is_entry = member.record.info.role == Role::Entry;
        let needs_observers =
            |(incarnation, liveness)| incarnation > 0 && liveness != Liveness::Dead;
        let changed = before != after || member.record.leaving;
        self.observers_outdated |=
            (is_entry && changed) || needs_observers(before) != needs_observers(after);
        self.queue_gossip(key, merge == Merge::Info);
        self.report_state(key);
    }

    /// Reports a member's incarnation and state to the router, if they differ from the last report.
    pub(super) fn report_state(&mut self, key: MemberKey) {
        let Some(member) = self.table.get_mut(key) else {
            return;
        };
        let record = &member.record;
        let current = (record.incarnation, record.state());
        if member.reported == Some(current) || record.incarnation == 0 {
            return;
        }
        member.reported = Some(current);
        let node = record.info.node.clone();
        let event = match record.state() {
            State::Alive => MemberEvent::Up {
                info: record.info.clone(),
                incarnation: record.incarnation,
            },
            State::Suspect => MemberEvent::Suspect { node },
            State::Unreachable => MemberEvent::Unreachable { node },
            State::Dead => MemberEvent::Dead { node },
            State::Leaving => MemberEvent::Leaving { node },
        };
        self.out.push(MembershipAction::Event(event));
    }

    /// Handles a state of this node that another entry sent. A suspicion is refuted by a higher
    /// heartbeat number, and a higher incarnation is adopted or ends this run.
    pub(super) fn handle_own_state(
        &mut self,
        now: Time,
        incarnation: Incarnation,
        liveness: Liveness,
        leaving: bool,
    ) {
        let mine = self.incarnation();
        if incarnation > mine {
            self.handle_higher_incarnation(now, incarnation);
            return;
        }
        if incarnation < mine {
            self.queue_gossip(self.me, true);
            return;
        }
        if leaving {
            self.mark_leaving(self.me);
        }
        if liveness != Liveness::Alive {
            self.seq += 1;
            self.update_own_record(|r| r.liveness = Liveness::Alive);
            self.queue_gossip(self.me, false);
        }
    }

    /// Handles an incarnation of this node above its own: within `adopt_window` after the start,
    /// the node takes the next higher one; later, it stops because another run has taken over.
    pub(super) fn handle_higher_incarnation(&mut self, now: Time, incarnation: Incarnation) {
        let started = *self.started.get_or_insert(now);
        if now <= started + self.cfg.adopt_window {
            let next = incarnation + 1;
            self.update_own_record(|r| r.incarnation = next);
            self.info_rounds = INFO_ROUNDS;
            self.queue_gossip(self.me, true);
            self.out.push(MembershipAction::AdoptIncarnation(next));
        } else {
            self.stopped = true;
            self.out.push(MembershipAction::Superseded(incarnation));
        }
    }

    /// Sends a datagram, and counts it against the byte budget.
    pub(super) fn send(&mut self, to: SocketAddr, message: &Message) {
        let bytes = message.encode();
        let size = bytes.len() + self.cfg.overhead_bytes;
        self.counters.sent += 1;
        self.counters.bytes_sent += size as u64;
        self.budget.spend(size);
        self.out.push(MembershipAction::Send { to, bytes });
    }

    /// Raises the sequence number, also in this node's own record, and returns it.
    pub(super) fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        let seq = self.seq;
        if let Some(mine) = self.table.get_mut(self.me) {
            mine.record.beat = seq;
        }
        seq
    }
}
