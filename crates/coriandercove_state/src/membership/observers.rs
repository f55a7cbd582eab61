//! Which entries observe which member.

use super::record::{Liveness, MemberKey, Role};
use super::table::{Member, Table};
use coriandercove_base::ZoneId;
use coriandercove_base::hash::mix64;

/// Entries that observe each member.
pub(super) const OBSERVERS: usize = 3;
/// Observers taken from the member's own zone, so that a cut between zones does not silence it.
/// The third one is elsewhere and sees when the whole zone falls silent.
const OWN_ZONE: usize = 2;
/// Members that an entry may observe, in hundredths of the mean over all entries. The bound keeps
/// each entry within the byte budget, also in zones with many agents and few entries.
const LOAD_BOUND: usize = 105;

/// The live entries as of the last change.
#[derive(Debug, Default)]
pub(super) struct Observers {
    /// Live entries that do not leave, with their zones.
    pub(super) entries: Vec<(MemberKey, ZoneId)>,
    /// All entries that may be reached, those that leave included: they still route their last
    /// requests.
    pub(super) peers: Vec<MemberKey>,
}

impl Observers {
    /// Reads the live entries from the table.
    pub(super) fn read(table: &Table) -> Self {
        let peers = || {
            let members = table.members.iter();
            members.filter(|(_, m)| m.record.info.role == Role::Entry && m.is_reachable())
        };
        let entries = peers()
            .filter(|(_, m)| !m.record.leaving)
            .map(|(key, m)| (*key, m.record.info.zone.clone()));
        Self {
            entries: entries.collect(),
            peers: peers().map(|(key, _)| *key).collect(),
        }
    }

    /// Chooses the observers of all members of the table: by rendezvous hash, the member's own
    /// zone first, among entries below the load bound. All entries with the same table choose
    /// alike, because members are taken in the order of their keys. Members that only the VM list
    /// names take no room, because entries learn of them at different times.
    pub(super) fn assign(&self, table: &Table) -> Vec<(MemberKey, Vec<MemberKey>)> {
        let listed = |m: &Member| m.record.liveness != Liveness::Dead;
        let heard = |m: &Member| listed(m) && m.record.incarnation > 0;
        let members = table.members.values().filter(|m| heard(m)).count();
        let mean = members * OBSERVERS * LOAD_BOUND / 100 / self.entries.len().max(1);
        let mut room = vec![mean + 1; self.entries.len()];
        let mut all = Vec::with_capacity(members);
        for (key, member) in table.members.iter().filter(|(_, m)| listed(m)) {
            let chosen = self.choose(*key, &member.record.info.zone, &room);
            if heard(member) {
                for i in &chosen {
                    room[*i] = room[*i].saturating_sub(1);
                }
            }
            let keys = chosen.into_iter().map(|i| self.entries[i].0).collect();
            all.push((*key, keys));
        }
        all
    }

    fn choose(&self, key: MemberKey, zone: &str, room: &[usize]) -> Vec<usize> {
        let mut own = Best::default();
        let mut others = Best::default();
        let mut full = Best::default();
        for (i, (entry, entry_zone)) in self.entries.iter().enumerate() {
            if *entry != key {
                let list = match (room[i] > 0, **entry_zone == *zone) {
                    (true, true) => &mut own,
                    (true, false) => &mut others,
                    (false, _) => &mut full,
                };
                list.add(mix64(key ^ *entry), i);
            }
        }
        let near = own.indices().take(OWN_ZONE);
        let far = others.indices();
        let rest = own.indices().skip(OWN_ZONE).chain(full.indices());
        near.chain(far).chain(rest).take(OBSERVERS).collect()
    }
}

/// The entries with the highest weights, best first.
#[derive(Default)]
struct Best {
    list: [Option<(u64, usize)>; OBSERVERS],
}

impl Best {
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

/// Short hash of a list of observers' addresses, by which a member and its observers compare.
/// One byte, because it is in each heartbeat; an observer that a collision leaves without
/// heartbeats calls the member itself.
pub(super) fn observers_hash(addresses: &[std::net::SocketAddr]) -> u8 {
    let mut sorted: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    sorted.sort();
    let parts: Vec<&[u8]> = sorted.iter().map(String::as_bytes).collect();
    (coriandercove_base::hash::hash64(&parts) >> 56) as u8
}
