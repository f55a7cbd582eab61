//! Failure detection: finds members whose heartbeats stopped, and tells dead members from those in
//! a partitioned zone.

use super::entry::EntryMembership;
use super::faults::MembershipFault;
use super::observers::LiveEntries;
use super::record::{Liveness, MemberKey};
use super::table::Forgotten;
use coriandercove_base::{SortedMap, Time, ZoneId};
use std::time::Duration;

/// Fewest members that must fall silent together to count as partitioned instead of dead.
const MIN_PARTITION_MEMBERS: usize = 3;
/// Time that gossip of suspicions may take to arrive; each entry adds it to the partition window.
const GOSSIP_DELAY: Duration = Duration::from_secs(5);
/// A longer time without a tick means that this process was paused and received nothing meanwhile.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1500);

impl EntryMembership {
    pub(super) fn tick(&mut self, now: Time) {
        self.started.get_or_insert(now);
        self.budget.refill(now);
        self.shift_times_after_pause(now);
        if self.observers_outdated {
            self.assign_observers(now);
        }
        if self.next_heartbeat <= now {
            self.send_heartbeats(now);
            self.request_missing_heartbeats(now);
        }
        self.suspect_silent_members(now);
        self.detect_partitioned_zones(now);
        let is_isolated = self.is_isolated(now);
        self.give_up_suspects(now, is_isolated);
        self.give_up_unreachable(now, is_isolated);
        self.forget_expired(now);
        self.tick_gossip(now);
    }

    /// Shifts all members' times by the time for which this process was paused, so that the pause
    /// does not count as their silence.
    fn shift_times_after_pause(&mut self, now: Time) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap < PAUSE_THRESHOLD {
            return;
        }
        for member in self.table.members.values_mut() {
            for time in [
                &mut member.last_heard,
                &mut member.silent_since,
                &mut member.observed_since,
                &mut member.zone_back_since,
            ] {
                *time = time.map(|t| t + gap);
            }
        }
    }

    /// Assigns observers to all members anew, and begins or ends the observation by this entry.
    fn assign_observers(&mut self, now: Time) {
        self.observers_outdated = false;
        self.live_entries = LiveEntries::from_table(&self.table);
        let me = self.me;
        for (key, observers) in self.live_entries.assign_observers(&self.table) {
            let Some(member) = self.table.get_mut(key) else {
                continue;
            };
            member.observers = observers;
            if key == me || !member.observers.contains(&me) {
                member.observed_since = None;
                member.last_heard = None;
            } else if member.observed_since.is_none() {
                member.observed_since = Some(now);
            }
        }
    }

    /// Requests heartbeats from members that should send them here and have not done so yet: two,
    /// four and six heartbeat intervals after this entry began to observe them.
    fn request_missing_heartbeats(&mut self, now: Time) {
        let interval = self.cfg.heartbeat;
        let unheard: Vec<MemberKey> = self
            .table
            .members
            .iter()
            .filter(|(_, m)| m.last_heard.is_none())
            .filter(|(_, m)| {
                m.observed_since.is_some_and(|since| {
                    let intervals =
                        now.saturating_sub(since).as_millis() / interval.as_millis().max(1);
                    matches!(intervals, 2 | 4 | 6)
                })
            })
            .map(|(k, _)| *k)
            .collect();
        for key in unheard {
            self.request_heartbeats(key);
        }
    }

    /// Suspects observed members that missed heartbeats. A member that has not sent any here yet
    /// gets more time, because it must first learn where to send them.
    fn suspect_silent_members(&mut self, now: Time) {
        let after = self.cfg.suspect_after;
        let first_heartbeat_limit = after + self.cfg.dead_after;
        let mut silent = Vec::new();
        for (key, member) in &self.table.members {
            let Some(since) = member.observed_since else {
                continue;
            };
            let limit = member
                .last_heard
                .map_or(since + first_heartbeat_limit, |h| {
                    h + after * member.suspicion_factor
                });
            if member.record.liveness == Liveness::Alive && limit <= now {
                silent.push(*key);
            }
        }
        for key in silent {
            if let Some(member) = self.table.get_mut(key) {
                member.record.liveness = Liveness::Suspect;
                member.silent_since = Some(now);
            }
            self.queue_gossip(key, false);
            self.report_state(key);
            // The member may be alive and send its heartbeats to other observers, if its observers'
            // view of the live entries differs.
            self.request_heartbeats(key);
        }
    }

    /// Finds zones in which more than half of the members, and at least 3, fell silent within a
    /// short window. Members of such a zone that were found dead shortly before become unreachable.
    fn detect_partitioned_zones(&mut self, now: Time) {
        if self.faults.has(MembershipFault::PartitionRuleOff)
            || self
                .table
                .members
                .values()
                .all(|m| m.silent_since.is_none())
        {
            self.partitioned_zones = SortedMap::new();
            return;
        }
        let window = self.cfg.partition_window + GOSSIP_DELAY;
        let recent = window * 3;
        let mut zones: SortedMap<ZoneId, (usize, Vec<Time>)> = SortedMap::new();
        for member in self
            .table
            .members
            .values()
            .filter(|m| m.record.incarnation > 0)
        {
            let is_old = member.silent_since.is_some_and(|s| s + recent < now);
            if is_old && member.record.liveness == Liveness::Dead {
                continue;
            }
            let zone = zones.get_or_insert_with(member.record.info.zone.clone(), Default::default);
            zone.0 += 1;
            zone.1.extend(member.silent_since);
        }
        for (zone, (members, mut times)) in zones.iter().map(|(z, v)| (z.clone(), v.clone())) {
            times.sort_unstable();
            let most = max_count_within(&times, window);
            if most >= MIN_PARTITION_MEMBERS && most * 2 > members {
                self.partitioned_zones.get_or_insert_with(zone, || now);
            } else if times.len() * 2 <= members {
                self.partitioned_zones.remove(&zone);
            }
        }
        self.mark_dead_unreachable(now, recent);
    }

    /// Makes the members of partitioned zones that were found dead lately unreachable.
    fn mark_dead_unreachable(&mut self, now: Time, recent: Duration) {
        let zones = &self.partitioned_zones;
        let dead: Vec<MemberKey> = self
            .table
            .members
            .iter()
            .filter(|(_, m)| m.record.liveness == Liveness::Dead)
            .filter(|(_, m)| m.silent_since.is_some_and(|s| now <= s + recent))
            .filter(|(_, m)| zones.contains(&*m.record.info.zone))
            .map(|(k, _)| *k)
            .collect();
        for key in dead {
            self.set_liveness(key, Liveness::Unreachable);
        }
    }

    /// Sets a member's liveness and spreads it.
    fn set_liveness(&mut self, key: MemberKey, liveness: Liveness) {
        if liveness == Liveness::Dead {
            self.counters.deaths += 1;
        }
        if let Some(member) = self.table.get_mut(key) {
            member.record.liveness = liveness;
        }
        self.observers_outdated = true;
        self.queue_gossip(key, false);
        self.report_state(key);
    }

    /// Gives up observed suspects that stayed silent: as unreachable if their zone is partitioned
    /// or this entry is isolated, otherwise as dead.
    fn give_up_suspects(&mut self, now: Time, is_isolated: bool) {
        let after = self.cfg.dead_after;
        let mut due = Vec::new();
        for (key, member) in &self.table.members {
            let is_due = member.silent_since.is_some_and(|s| s + after <= now);
            let is_observed = member.observed_since.is_some_and(|o| o + after <= now);
            if member.record.liveness == Liveness::Suspect && is_due && is_observed {
                let is_partitioned = self.partitioned_zones.contains(&*member.record.info.zone);
                let liveness = if is_partitioned || is_isolated {
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

    /// Gives up, as dead, unreachable members that stay silent after their zone is no longer
    /// partitioned. Each entry does so by itself, because in a merge `Dead` does not replace
    /// `Unreachable`.
    fn give_up_unreachable(&mut self, now: Time, is_isolated: bool) {
        let after = self.cfg.dead_after;
        let mut due = Vec::new();
        for (key, member) in &mut self.table.members {
            let is_excused =
                is_isolated || self.partitioned_zones.contains(&*member.record.info.zone);
            if member.record.liveness != Liveness::Unreachable || is_excused {
                member.zone_back_since = None;
            } else if *member.zone_back_since.get_or_insert(now) + after <= now {
                due.push(*key);
            }
        }
        for key in due {
            self.set_liveness(key, Liveness::Dead);
        }
    }

    /// Whether more than half of the members that this entry observes, and at least 3, fell silent
    /// lately. Then it is more likely that this entry is cut off than that all of them died.
    fn is_isolated(&self, now: Time) -> bool {
        if self.faults.has(MembershipFault::PartitionRuleOff) {
            return false;
        }
        let recent = (self.cfg.partition_window + GOSSIP_DELAY) * 3;
        let observed = self
            .table
            .members
            .values()
            .filter(|m| m.observed_since.is_some());
        let (mut all, mut silent) = (0, 0);
        for member in observed.filter(|m| m.record.incarnation > 0) {
            let is_old = member.silent_since.is_some_and(|s| s + recent < now);
            if !(is_old && member.record.liveness == Liveness::Dead) {
                all += 1;
                silent += usize::from(member.silent_since.is_some());
            }
        }
        silent >= MIN_PARTITION_MEMBERS && silent * 2 > all
    }

    /// Removes members that were given up long enough ago, and remembers them for a while, so that
    /// stale digests do not add them again. Also drops old requests for info.
    fn forget_expired(&mut self, now: Time) {
        let mut due = Vec::new();
        for (key, member) in &self.table.members {
            let after = match member.record.liveness {
                _ if member.record.incarnation == 0 => self.cfg.forget_dead,
                Liveness::Dead => self.cfg.forget_dead,
                Liveness::Unreachable => self.cfg.forget_unreachable,
                _ => continue,
            };
            if member.silent_since.is_some_and(|s| s + after <= now) {
                due.push(*key);
            }
        }
        for key in due {
            self.forget_member(now, key);
        }
        let keep = self.cfg.remember_forgotten;
        self.table.forgotten.retain(|_, f| now < f.at + keep);
        let missing_timeout = self.cfg.dead_after * 6;
        self.missing_info
            .retain(|_, since| now < *since + missing_timeout);
    }

    fn forget_member(&mut self, now: Time, key: MemberKey) {
        let Some(member) = self.table.members.remove(&key) else {
            return;
        };
        let record = member.record;
        self.observers_outdated = true;
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
        if member.reported.is_some() {
            let node = record.info.node;
            let event = super::MemberEvent::Forgotten { node };
            self.out.push(super::MembershipAction::Event(event));
        }
    }
}

/// The largest number of the sorted `times` that lie within one window.
fn max_count_within(times: &[Time], window: Duration) -> usize {
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
