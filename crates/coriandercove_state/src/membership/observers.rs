//! Choice of the entries that observe each member.

use super::record::{Liveness, MemberKey, Role};
use super::table::{Member, Table};
use coriandercove_base::ZoneId;
use coriandercove_base::hash::mix64;

/// Number of entries that observe each member.
pub(super) const OBSERVERS_PER_MEMBER: usize = 3;
/// Number of observers in the member's own zone, so that a network cut between zones does not make
/// it look dead. The third observer is in another zone and detects when the whole zone falls
/// silent.
const OWN_ZONE_OBSERVERS: usize = 2;
/// Highest number of members that an entry observes, in percent of the mean over all entries. The
/// limit keeps each entry within the byte budget, also in zones with many agents and few entries.
const MAX_OBSERVED_PERCENT: usize = 105;

/// The entries that can observe members or exchange gossip.
#[derive(Debug, Default)]
pub(super) struct LiveEntries {
    /// Reachable entries that are not leaving, with their zones. Only these become observers.
    pub(super) assignable: Vec<(MemberKey, ZoneId)>,
    /// All reachable entries. Leaving ones are included, because they still route their last
    /// requests.
    pub(super) reachable: Vec<MemberKey>,
}

impl LiveEntries {
    /// Collects the live entries from the table.
    pub(super) fn from_table(table: &Table) -> Self {
        let reachable = || {
            let members = table.members.iter();
            members.filter(|(_, m)| m.record.info.role == Role::Entry && m.is_reachable())
        };
        let assignable = reachable()
            .filter(|(_, m)| !m.record.leaving)
            .map(|(key, m)| (*key, m.record.info.zone.clone()));
        Self {
            assignable: assignable.collect(),
            reachable: reachable().map(|(key, _)| *key).collect(),
        }
    }

    /// Chooses the observers of all members of the table: by rendezvous hash among the entries
    /// below the limit, those in the member's own zone first. All entries with the same table
    /// choose the same observers, because members are processed in the order of their keys. Members
    /// known only from the VM list do not count towards the limit, because entries learn of them at
    /// different times.
    pub(super) fn assign_observers(&self, table: &Table) -> Vec<(MemberKey, Vec<MemberKey>)> {
        let listed = |m: &Member| m.record.liveness != Liveness::Dead;
        let counts = |m: &Member| listed(m) && m.record.incarnation > 0;
        let members = table.members.values().filter(|m| counts(m)).count();
        let limit = members * OBSERVERS_PER_MEMBER * MAX_OBSERVED_PERCENT
            / 100
            / self.assignable.len().max(1);
        let mut capacity = vec![limit + 1; self.assignable.len()];
        let mut all = Vec::with_capacity(members);
        for (key, member) in table.members.iter().filter(|(_, m)| listed(m)) {
            let chosen = self.choose(*key, &member.record.info.zone, &capacity);
            if counts(member) {
                for i in &chosen {
                    capacity[*i] = capacity[*i].saturating_sub(1);
                }
            }
            let keys = chosen.into_iter().map(|i| self.assignable[i].0).collect();
            all.push((*key, keys));
        }
        all
    }

    /// Returns the indices of the observers of one member. `capacity` is the number of further
    /// members that each entry may observe; entries without any are used only as a last resort.
    fn choose(&self, key: MemberKey, zone: &str, capacity: &[usize]) -> Vec<usize> {
        let mut own_zone = HighestWeights::default();
        let mut other_zones = HighestWeights::default();
        let mut full = HighestWeights::default();
        for (i, (entry, entry_zone)) in self.assignable.iter().enumerate() {
            if *entry != key {
                let list = match (capacity[i] > 0, **entry_zone == *zone) {
                    (true, true) => &mut own_zone,
                    (true, false) => &mut other_zones,
                    (false, _) => &mut full,
                };
                list.add(mix64(key ^ *entry), i);
            }
        }
        let near = own_zone.indices().take(OWN_ZONE_OBSERVERS);
        let far = other_zones.indices();
        let rest = own_zone
            .indices()
            .skip(OWN_ZONE_OBSERVERS)
            .chain(full.indices());
        near.chain(far)
            .chain(rest)
            .take(OBSERVERS_PER_MEMBER)
            .collect()
    }
}

/// The entries with the highest rendezvous weights, in descending order of weight.
#[derive(Default)]
struct HighestWeights {
    /// Weight and index of each entry.
    list: [Option<(u64, usize)>; OBSERVERS_PER_MEMBER],
}

impl HighestWeights {
    fn add(&mut self, weight: u64, index: usize) {
        let mut new = Some((weight, index));
        for slot in &mut self.list {
            if new > *slot {
                std::mem::swap(slot, &mut new);
            }
        }
    }

    fn indices(&self) -> impl Iterator<Item = usize> {
        self.list.iter().flatten().map(|(_, i)| *i)
    }
}

/// Short hash of a list of observers' addresses, by which a member and its observers detect that
/// their lists differ. It has one byte, because each heartbeat carries it. An observer that gets no
/// heartbeats because of a collision requests them from the member.
pub(super) fn observers_hash(addresses: &[std::net::SocketAddr]) -> u8 {
    let mut sorted: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    sorted.sort();
    let parts: Vec<&[u8]> = sorted.iter().map(String::as_bytes).collect();
    (coriandercove_base::hash::hash64(&parts) >> 56) as u8
}
