//! Finding members that fell silent, and telling a dead member from a partitioned zone.

use super::entry::EntryMembership;
use super::faults::MembershipFault;
use super::observers::Observers;
use super::record::{Liveness, MemberKey};
use super::table::Forgotten;
use coriandercove_base::{SortedMap, Time, ZoneId};
use std::time::Duration;

/// Fewest members of a zone whose common silence counts as a partition.
const PARTITION_MEMBERS: usize = 3;
/// Time that rumours of suspicions may take, added to the partition window at each entry.
const RUMOUR_TIME: Duration = Duration::from_secs(5);
/// A longer time without a tick means that this process was paused, and heard nobody meanwhile.
const PAUSE: Duration = Duration::from_millis(1500);

impl EntryMembership {
    pub(super) fn tick(&mut self, now: Time) {
        self.started.get_or_insert(now);
        self.budget.refill(now);
        self.after_pause(now);
        if self.observers_old {
            self.read_observers(now);
        }
        if self.next_heartbeat <= now {
            self.send_heartbeats(now);
            self.call_unheard(now);
        }
        self.find_silent(now);
        self.find_silent_zones(now);
        let is_alone = self.mostly_silent(now);
        self.give_up_silent(now, is_alone);
        self.give_up_unreachable(now, is_alone);
        self.forget(now);
        self.tick_gossip(now);
    }

    /// Grants all members the time for which this process was paused.
    fn after_pause(&mut self, now: Time) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap < PAUSE {
            return;
        }
        for member in self.table.members.values_mut() {
            for time in [
                &mut member.heard,
                &mut member.silent,
                &mut member.observed,
                &mut member.zone_heard,
            ] {
                *time = time.map(|t| t + gap);
            }
        }
    }

    fn read_observers(&mut self, now: Time) {
        self.observers_old = false;
        self.observers = Observers::read(&self.table);
        let me = self.me;
        for (key, observers) in self.observers.assign(&self.table) {
            let Some(member) = self.table.get_mut(key) else {
                continue;
            };
            member.observers = observers;
            if key == me || !member.observers.contains(&me) {
                member.observed = None;
                member.heard = None;
            } else if member.observed.is_none() {
                member.observed = Some(now);
            }
        }
    }

    /// Calls members that should send heartbeats here and have not done so yet, at two, four and
    /// six heartbeats after they should have begun.
    fn call_unheard(&mut self, now: Time) {
        let beat = self.cfg.heartbeat;
        let unheard: Vec<MemberKey> = self
            .table
            .members
            .iter()
            .filter(|(_, m)| m.heard.is_none())
            .filter(|(_, m)| {
                m.observed.is_some_and(|since| {
                    let beats = now.saturating_sub(since).as_millis() / beat.as_millis().max(1);
                    matches!(beats, 2 | 4 | 6)
                })
            })
            .map(|(k, _)| *k)
            .collect();
        for key in unheard {
            self.call(key);
        }
    }

    /// Suspects observed members that missed heartbeats. One that has not been heard here yet
    /// has longer, because it must first learn where to send.
    fn find_silent(&mut self, now: Time) {
        let after = self.cfg.suspect_after;
        let first = after + self.cfg.dead_after;
        let mut silent = Vec::new();
        for (key, member) in &self.table.members {
            let Some(since) = member.observed else {
                continue;
            };
            let limit = member
                .heard
                .map_or(since + first, |h| h + after * member.patience);
            if member.record.liveness == Liveness::Alive && limit <= now {
                silent.push(*key);
            }
        }
        for key in silent {
            if let Some(member) = self.table.get_mut(key) {
                member.record.liveness = Liveness::Suspect;
                member.silent = Some(now);
            }
            self.heat(key, false);
            self.show(key);
            // It may live and send its heartbeats elsewhere, by another view of the entries.
            self.call(key);
        }
    }

    /// Finds zones in which more than half of the members, and at least 3, fell silent within a
    /// short window. Members given up before that was known become unreachable after all.
    fn find_silent_zones(&mut self, now: Time) {
        if self.faults.has(MembershipFault::PartitionRuleOff)
            || self.table.members.values().all(|m| m.silent.is_none())
        {
            self.silent_zones = SortedMap::new();
            return;
        }
        let window = self.cfg.partition_window + RUMOUR_TIME;
        let recent = window * 3;
        let mut zones: SortedMap<ZoneId, (usize, Vec<Time>)> = SortedMap::new();
        for member in self
            .table
            .members
            .values()
            .filter(|m| m.record.incarnation > 0)
        {
            let old = member.silent.is_some_and(|s| s + recent < now);
            if old && member.record.liveness == Liveness::Dead {
                continue;
            }
            let zone = zones.get_or_insert_with(member.record.info.zone.clone(), Default::default);
            zone.0 += 1;
            zone.1.extend(member.silent);
        }
        for (zone, (members, mut times)) in zones.iter().map(|(z, v)| (z.clone(), v.clone())) {
            times.sort_unstable();
            let most = most_within(&times, window);
            if most >= PARTITION_MEMBERS && most * 2 > members {
                self.silent_zones.get_or_insert_with(zone, || now);
            } else if times.len() * 2 <= members {
                self.silent_zones.remove(&zone);
            }
        }
        self.keep_silent_zones(now, recent);
    }

    fn keep_silent_zones(&mut self, now: Time, recent: Duration) {
        let zones = &self.silent_zones;
        let dead: Vec<MemberKey> = self
            .table
            .members
            .iter()
            .filter(|(_, m)| m.record.liveness == Liveness::Dead)
            .filter(|(_, m)| m.silent.is_some_and(|s| now <= s + recent))
            .filter(|(_, m)| zones.contains(&*m.record.info.zone))
            .map(|(k, _)| *k)
            .collect();
        for key in dead {
            self.set_liveness(key, Liveness::Unreachable);
        }
    }

    fn set_liveness(&mut self, key: MemberKey, liveness: Liveness) {
        if liveness == Liveness::Dead {
            self.counters.deaths += 1;
        }
        if let Some(member) = self.table.get_mut(key) {
            member.record.liveness = liveness;
        }
        self.observers_old = true;
        self.heat(key, false);
        self.show(key);
    }

    /// Gives up observed members that stayed silent.
    fn give_up_silent(&mut self, now: Time, is_alone: bool) {
        let after = self.cfg.dead_after;
        let mut due = Vec::new();
        for (key, member) in &self.table.members {
            let over = member.silent.is_some_and(|s| s + after <= now);
            let mine = member.observed.is_some_and(|o| o + after <= now);
            if member.record.liveness == Liveness::Suspect && over && mine {
                let zone = self.silent_zones.contains(&*member.record.info.zone);
                let liveness = if zone || is_alone {
                    Liveness::Unreachable
                } else {
                    Liveness::Dead
                };
                due.push((*key, liveness));
            }
        }
        for (key, liveness) in due {
            self.set_liveness(key, liveness);
        }
    }

    /// Gives up unreachable members that stay silent after their zone has returned. Each entry
    /// does so by itself, because a rumour of a death does not undo one of a silent zone.
    fn give_up_unreachable(&mut self, now: Time, is_alone: bool) {
        let after = self.cfg.dead_after;
        let mut due = Vec::new();
        for (key, member) in &mut self.table.members {
            let is_excused = is_alone || self.silent_zones.contains(&*member.record.info.zone);
            if member.record.liveness != Liveness::Unreachable || is_excused {
                member.zone_heard = None;
            } else if *member.zone_heard.get_or_insert(now) + after <= now {
                due.push(*key);
            }
        }
        for key in due {
            self.set_liveness(key, Liveness::Dead);
        }
    }

    /// Whether most of the members that this entry observes fell silent lately. Then it is more
    /// likely that this entry is cut off than that all of them died.
    fn mostly_silent(&self, now: Time) -> bool {
        if self.faults.has(MembershipFault::PartitionRuleOff) {
            return false;
        }
        let recent = (self.cfg.partition_window + RUMOUR_TIME) * 3;
        let observed = self.table.members.values().filter(|m| m.observed.is_some());
        let (mut all, mut silent) = (0, 0);
        for member in observed.filter(|m| m.record.incarnation > 0) {
            let old = member.silent.is_some_and(|s| s + recent < now);
            if !(old && member.record.liveness == Liveness::Dead) {
                all += 1;
                silent += usize::from(member.silent.is_some());
            }
        }
        silent >= PARTITION_MEMBERS && silent * 2 > all
    }

    /// Drops members that have been given up for long, and remembers them against stale digests.
    fn forget(&mut self, now: Time) {
        let mut due = Vec::new();
        for (key, member) in &self.table.members {
            let after = match member.record.liveness {
                _ if member.record.incarnation == 0 => self.cfg.forget_dead,
                Liveness::Dead => self.cfg.forget_dead,
                Liveness::Unreachable => self.cfg.forget_unreachable,
                _ => continue,
            };
            if member.silent.is_some_and(|s| s + after <= now) {
                due.push(*key);
            }
        }
        for key in due {
            self.forget_member(now, key);
        }
        let keep = self.cfg.remember_forgotten;
        self.table.forgotten.retain(|_, f| now < f.at + keep);
        let patience = self.cfg.dead_after * 6;
        self.missing.retain(|_, since| now < *since + patience);
    }

    fn forget_member(&mut self, now: Time, key: MemberKey) {
        let Some(member) = self.table.members.remove(&key) else {
            return;
        };
        let record = member.record;
        self.observers_old = true;
        if record.incarnation == 0 {
            return;
        }
        let forgotten = Forgotten {
            incarnation: record.incarnation,
            beat: record.beat,
            leaving: record.leaving,
            at: now,
        };
        self.table.forgotten.insert(key, forgotten);
        if member.shown.is_some() {
            let node = record.info.node;
            let event = super::MemberEvent::Forgotten { node };
            self.out.push(super::MembershipAction::Event(event));
        }
    }
}

/// Most of the sorted `times` that lie within one window.
fn most_within(times: &[Time], window: Duration) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (i, time) in times.iter().enumerate() {
        while times[first] + window < *time {
            first += 1;
        }
        most = most.max(i + 1 - first);
    }
    most
}
