//! Membership as an entry takes part in it.

use super::budget::Budget;
use super::event::{MemberEvent, MembershipAction, MembershipCounters, MembershipEvent, VmListed};
use super::faults::Faults;
use super::message::Message;
use super::observers::Observers;
use super::record::{
    Liveness, LoadReport, MemberKey, MemberRecord, Merge, Role, State, member_key,
};
use super::settings::MembershipSettings;
use super::table::{Member, Table};
use coriandercove_base::rng::{Rng, seeded};
use coriandercove_base::{ConfigVersion, Incarnation, NodeId, SortedMap, Time, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Longest detail, in bytes; a record must fit a datagram.
pub(super) const MAX_DETAIL: usize = 400;
/// Rounds of heartbeats that carry the sender's info after a change of it.
pub(super) const INFO_ROUNDS: u32 = 3;

/// Membership as an entry takes part in it: it observes members, spreads what it learns to other
/// entries, and tells the router.
#[derive(Debug)]
pub struct EntryMembership {
    pub(super) cfg: MembershipSettings,
    pub(super) me: MemberKey,
    pub(super) seq: u64,
    pub(super) config: ConfigVersion,
    pub(super) table: Table,
    pub(super) observers: Observers,
    /// Whether entries or zones changed since `observers` was read.
    pub(super) observers_old: bool,
    /// Members whose info is wanted, and since when.
    pub(super) missing: BTreeMap<MemberKey, Time>,
    /// Zones that count as partitioned, and since when.
    pub(super) silent_zones: SortedMap<ZoneId, Time>,
    pub(super) vm_leaving: BTreeSet<MemberKey>,
    /// Entries that missed heartbeats of this one and called for them, and until when they get
    /// them.
    pub(super) callers: BTreeMap<SocketAddr, Time>,
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
    /// Since when digests of others have shown a table that differs.
    pub(super) differs_since: Option<Time>,
    pub(super) stopped: bool,
    pub(super) counters: MembershipCounters,
    pub(super) faults: Faults,
    pub(super) out: Vec<MembershipAction>,
}

impl EntryMembership {
    /// An entry that knows only its seeds; `seed` drives the choice of peers.
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
            observers: Observers::default(),
            observers_old: true,
            missing: BTreeMap::new(),
            silent_zones: SortedMap::new(),
            vm_leaving: BTreeSet::new(),
            callers: BTreeMap::new(),
            info_rounds: INFO_ROUNDS,
            budget: Budget::new(cfg.budget),
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

    /// The same entry with a deliberate fault.
    #[cfg(feature = "faults")]
    #[must_use]
    pub const fn with_fault(mut self, fault: super::MembershipFault) -> Self {
        self.faults = Faults::only(fault);
        self
    }

    /// Takes one event at time `now`.
    pub fn on_event(&mut self, now: Time, event: MembershipEvent) -> Vec<MembershipAction> {
        if self.stopped {
            return Vec::new();
        }
        match event {
            MembershipEvent::Tick => self.tick(now),
            MembershipEvent::Received { from, bytes } => self.received(now, from, &bytes),
            MembershipEvent::ConfigVersion(version) => self.config = version,
            MembershipEvent::Load(load) => self.set_load(load),
            MembershipEvent::Detail(detail) => self.set_detail(detail),
            MembershipEvent::Leave => self.leave(now),
            MembershipEvent::VmList(vms) => self.vm_list(now, vms),
            MembershipEvent::Table(records) => self.table_pulled(now, records),
        }
        std::mem::take(&mut self.out)
    }

    /// The whole table without dead members, to answer a peer's pull.
    #[must_use]
    pub fn table(&self) -> Vec<MemberRecord> {
        self.records()
            .filter(|r| r.liveness != Liveness::Dead)
            .cloned()
            .collect()
    }

    /// All records, dead members included. Members that only the VM list names have none.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        let records = self.table.members.values().map(|m| &m.record);
        records.filter(|r| r.incarnation > 0)
    }

    /// State of a member as the router should see it.
    #[must_use]
    pub fn state(&self, node: &str) -> Option<State> {
        self.record(node).map(MemberRecord::state)
    }

    /// Record of a member, if some entry has heard it. Members that only the VM list names have
    /// none.
    #[must_use]
    pub fn record(&self, node: &str) -> Option<&MemberRecord> {
        let record = &self.table.get(member_key(node))?.record;
        (record.incarnation > 0).then_some(record)
    }

    /// Last known load of a member.
    #[must_use]
    pub fn load(&self, node: &str) -> Option<LoadReport> {
        self.table.get(member_key(node)).map(|m| m.load)
    }

    /// Live entries that do not leave, this one included, in name order.
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

    /// This node's incarnation, which [`MembershipAction::AdoptIncarnation`] may have raised.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.mine().record.incarnation
    }

    /// Counters for the metrics endpoint.
    #[must_use]
    pub const fn counters(&self) -> &MembershipCounters {
        &self.counters
    }

    #[expect(
        clippy::expect_used,
        reason = "the own record is inserted by `new` and never removed"
    )]
    pub(super) fn mine(&self) -> &Member {
        self.table.get(self.me).expect("the own record exists")
    }

    pub(super) fn change_mine(&mut self, change: impl FnOnce(&mut MemberRecord)) {
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
        if detail.len() > MAX_DETAIL {
            self.counters.malformed += 1;
            return;
        }
        self.change_mine(|r| {
            r.info.detail = detail;
            r.info.detail_version += 1;
        });
        self.info_rounds = INFO_ROUNDS;
        self.heat(self.me, true);
    }

    fn leave(&mut self, now: Time) {
        self.change_mine(|r| r.leaving = true);
        self.heat(self.me, false);
        self.observers_old = true;
        self.show(self.me);
        self.send_heartbeats(now);
    }

    /// Adds members that are listed and not known, and marks those that begin to leave. A member
    /// that stays listed as leaving is not marked again, because the list lags and a replacement
    /// may run under the same name by then.
    fn vm_list(&mut self, now: Time, vms: Vec<VmListed>) {
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
                self.observers_old = true;
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
            self.heat(key, false);
            self.observers_old = true;
            self.show(key);
        }
    }

    fn table_pulled(&mut self, now: Time, records: Vec<MemberRecord>) {
        for record in records {
            self.merge_record(now, record);
        }
    }

    /// Takes records as known for long, so that a measurement begins with a full table.
    pub(super) fn load_table(&mut self, records: &[MemberRecord]) {
        for record in records {
            let key = member_key(&record.info.node);
            if key != self.me {
                let member = Member::new(record.clone(), Time::ZERO);
                self.table.members.insert(key, member);
            }
        }
    }

    /// Has the next digests carry a member's state.
    pub(super) fn heat(&mut self, key: MemberKey, info: bool) {
        // A rumour that each entry passes on a few times log n reaches all of them with high
        // probability.
        let log = (self.observers.entries.len() + 2).ilog2();
        if let Some(member) = self.table.get_mut(key) {
            member.hot = 4 + 2 * log;
            member.hot_info |= info;
        }
    }

    /// Takes a whole record from a peer or from the member itself.
    pub(super) fn merge_record(&mut self, now: Time, record: MemberRecord) {
        let key = member_key(&record.info.node);
        if key == self.me {
            self.about_me(now, record.incarnation, record.liveness, record.leaving);
            return;
        }
        self.missing.remove(&key);
        let Some(member) = self.table.get_mut(key) else {
            self.add(now, key, record);
            return;
        };
        let before = (member.record.incarnation, member.record.liveness);
        let merge = member.record.merge(record, self.faults);
        self.merged(now, key, before, merge);
    }

    fn add(&mut self, now: Time, key: MemberKey, mut record: MemberRecord) {
        let comes_back = self
            .faults
            .has(super::faults::MembershipFault::ForgottenComeBack);
        let forgotten = self
            .table
            .is_forgotten(key, record.incarnation, record.beat);
        if (forgotten && !comes_back) || record.liveness == Liveness::Dead {
            self.counters.stale_records += 1;
            return;
        }
        record.leaving |= self.table.left(key, record.incarnation);
        self.table.members.insert(key, Member::new(record, now));
        self.observers_old = true;
        self.heat(key, true);
        self.show(key);
    }

    /// Follows up a merge: times, observers, rumours and the router.
    pub(super) fn merged(
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
                member.heard = member.observed.map(|_| now);
            }
            member.silent = None;
        } else if before.1 == Liveness::Alive || before.0 != after.0 {
            member.silent = Some(now);
        }
        if merge == Merge::Nothing {
            return;
        }
        // Agents matter to the choice of observers as far as they take room.
        let entry = member.record.info.role == Role::Entry;
        let listed = |(incarnation, liveness)| incarnation > 0 && liveness != Liveness::Dead;
        let changed = before != after || member.record.leaving;
        self.observers_old |= (entry && changed) || listed(before) != listed(after);
        self.heat(key, merge == Merge::Info);
        self.show(key);
    }

    /// Tells the router what changed about a member.
    pub(super) fn show(&mut self, key: MemberKey) {
        let Some(member) = self.table.get_mut(key) else {
            return;
        };
        let record = &member.record;
        let now_shown = (record.incarnation, record.state());
        if member.shown == Some(now_shown) || record.incarnation == 0 {
            return;
        }
        member.shown = Some(now_shown);
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

    /// Answers what others say of this node: a suspicion is refuted by a higher heartbeat, and a
    /// higher incarnation is adopted or ends this run.
    pub(super) fn about_me(
        &mut self,
        now: Time,
        incarnation: Incarnation,
        liveness: Liveness,
        leaving: bool,
    ) {
        let mine = self.incarnation();
        if incarnation > mine {
            self.outdated(now, incarnation);
            return;
        }
        if incarnation < mine {
            self.heat(self.me, true);
            return;
        }
        if leaving {
            self.mark_leaving(self.me);
        }
        if liveness != Liveness::Alive {
            self.seq += 1;
            self.change_mine(|r| r.liveness = Liveness::Alive);
            self.heat(self.me, false);
        }
    }

    pub(super) fn outdated(&mut self, now: Time, incarnation: Incarnation) {
        let started = *self.started.get_or_insert(now);
        if now <= started + self.cfg.adopt_window {
            let next = incarnation + 1;
            self.change_mine(|r| r.incarnation = next);
            self.info_rounds = INFO_ROUNDS;
            self.heat(self.me, true);
            self.out.push(MembershipAction::AdoptIncarnation(next));
        } else {
            self.stopped = true;
            self.out.push(MembershipAction::Superseded(incarnation));
        }
    }

    pub(super) fn send(&mut self, to: SocketAddr, message: &Message) {
        let bytes = message.encode();
        let size = bytes.len() + self.cfg.overhead;
        self.counters.sent += 1;
        self.counters.bytes_sent += size as u64;
        self.budget.spend(size);
        self.out.push(MembershipAction::Send { to, bytes });
    }

    pub(super) fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        let seq = self.seq;
        if let Some(mine) = self.table.get_mut(self.me) {
            mine.record.beat = seq;
        }
        seq
    }
}
