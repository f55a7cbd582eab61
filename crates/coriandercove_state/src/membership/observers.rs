//! Which entries observe which member.

use super::record::{Liveness, MemberKey, Role};
use super::table::{Member, Table};
use coriandercove_base::hash::mix64;
use coriandercove_base::{SortedMap, ZoneId};

/// Entries that observe each member.
pub(super) const OBSERVERS: usize = 3;
/// Observers taken from the member's own zone, so that a cut between zones does not silence it.
/// The third one is elsewhere and sees when the whole zone falls silent.
const OWN_ZONE: usize = 2;
/// Heartbeats that the own-zone rule may bring to an entry, as a share in hundredths of the mean
/// over all entries. Zones with many agents and few entries would exceed the byte budget.
const OWN_ZONE_SHARE: usize = 70;

/// The live entries and the quota of each zone, as of the last change.
#[derive(Debug, Default)]
pub(super) struct Observers {
    /// Live entries that do not leave, with their zones.
    pub(super) entries: Vec<(MemberKey, ZoneId)>,
    /// Own-zone observers of each zone's members.
    quota: SortedMap<ZoneId, usize>,
}

impl Observers {
    /// Reads the live entries and the sizes of the zones from the table.
    pub(super) fn read(table: &Table) -> Self {
        let mut entries = Vec::new();
        let mut sizes: SortedMap<ZoneId, (usize, usize)> = SortedMap::new();
        for (key, member) in &table.members {
            if member.record.liveness == Liveness::Dead || member.record.incarnation == 0 {
                continue;
            }
            let zone = &member.record.info.zone;
            let size = sizes.get_or_insert_with(zone.clone(), || (0, 0));
            size.1 += 1;
            if member.record.info.role == Role::Entry && may_observe(member) {
                entries.push((*key, zone.clone()));
                size.0 += 1;
            }
        }
        let members: usize = sizes.values().map(|s| s.1).sum();
        let quota = sizes
            .iter()
            .map(|(zone, size)| (zone.clone(), quota(*size, entries.len(), members)))
            .collect();
        Self { entries, quota }
    }

    /// Observers of a member: its own zone's quota first, then entries of other zones, each by
    /// rendezvous hash. Where other zones have too few, the own zone fills up.
    pub(super) fn of(&self, key: MemberKey, zone: &str) -> Vec<MemberKey> {
        let quota = self.quota.get(zone).copied().unwrap_or(0);
        let mut own = Vec::new();
        let mut others = Vec::new();
        for (entry, entry_zone) in &self.entries {
            if *entry != key {
                let list = if **entry_zone == *zone {
                    &mut own
                } else {
                    &mut others
                };
                list.push((mix64(key ^ *entry), *entry));
            }
        }
        best(&mut own);
        best(&mut others);
        let first = own.len().min(quota);
        let second = others.len().min(OBSERVERS - first);
        let rest = own.iter().skip(first).take(OBSERVERS - first - second);
        let chosen = own.iter().take(first).chain(others.iter().take(second));
        chosen.chain(rest).map(|(_, k)| *k).collect()
    }
}

/// Keeps the entries with the highest weights.
fn best(list: &mut Vec<(u64, MemberKey)>) {
    if list.len() > OBSERVERS {
        list.select_nth_unstable_by(OBSERVERS - 1, |a, b| b.cmp(a));
        list.truncate(OBSERVERS);
    }
    list.sort_unstable_by(|a, b| b.cmp(a));
}

fn may_observe(member: &Member) -> bool {
    member.is_reachable() && !member.record.leaving
}

/// Own-zone observers that a zone's members can have without exceeding its entries' share.
fn quota((entries, members): (usize, usize), all_entries: usize, all_members: usize) -> usize {
    if members == 0 || all_entries == 0 {
        return OWN_ZONE;
    }
    let allowed = entries * OBSERVERS * all_members * OWN_ZONE_SHARE;
    (allowed / (members * all_entries * 100)).min(OWN_ZONE)
}

/// Short hash of a list of observers' addresses, by which a member and its observers compare.
pub(super) fn observers_hash(addresses: &[std::net::SocketAddr]) -> u16 {
    let mut sorted: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    sorted.sort();
    let parts: Vec<&[u8]> = sorted.iter().map(String::as_bytes).collect();
    (coriandercove_base::hash::hash64(&parts) >> 48) as u16
}
