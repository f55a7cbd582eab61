//! Applying changes and snapshots in order.

use super::faults::ConfigFault;
use super::{Change, ConfigAction, ConfigLog, Difference, KeyChange, Manifest, Objects};
use coriandercove_base::{ConfigVersion, Time};
use std::collections::{BTreeSet, VecDeque};

/// Bytes of changes kept for peers' pulls; a peer further behind gets a snapshot.
const RECENT_BYTES: usize = 4_000_000;
/// Changes kept for peers' pulls.
const RECENT_CHANGES: usize = 256;
/// Write ids kept, and written with each snapshot.
pub(super) const WRITE_IDS: usize = 128;

/// What became of a change offered to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Applied {
    /// It is in force.
    Yes,
    /// Its version is not above the one in force.
    Stale,
    /// Versions before it are missing.
    Gap,
    /// It does not match its digest.
    Rejected,
}

impl ConfigLog {
    /// Applies a change if it is the next one and matches its digest.
    pub(super) fn apply(&mut self, now: Time, change: Change) -> Applied {
        if change.version <= self.version && !self.faults.has(ConfigFault::LowerVersionApplied) {
            self.counters.stale += 1;
            return Applied::Stale;
        }
        if change.version > self.version + 1 {
            return Applied::Gap;
        }
        let undo = self.objects.edit(&change.upserts, &change.removes);
        let lower = change.version <= self.version;
        if !lower && !change.matches(&self.objects) && !self.faults.has(ConfigFault::DigestIgnored)
        {
            self.objects.undo(undo);
            self.counters.rejected += 1;
            return Applied::Rejected;
        }
        self.version = change.version;
        self.counters.applied += 1;
        self.out.push(ConfigAction::InForce {
            version: change.version,
            changed: change.keys().cloned().collect(),
        });
        self.write_ids.push_back(change.write_id);
        self.recent.push_back(change);
        self.trim();
        self.plan_snapshot(now);
        Applied::Yes
    }

    /// Puts a complete snapshot in force if it is newer and matches its digest.
    pub(super) fn install(&mut self, manifest: Manifest, objects: Objects) -> Applied {
        if manifest.version <= self.version && !self.faults.has(ConfigFault::LowerVersionApplied) {
            self.counters.stale += 1;
            return Applied::Stale;
        }
        if manifest.digest != objects.digest(manifest.version)
            && !self.faults.has(ConfigFault::DigestIgnored)
        {
            self.counters.rejected += 1;
            return Applied::Rejected;
        }
        let changed = self.objects.differing_keys(&objects);
        self.objects = objects;
        self.version = manifest.version;
        self.recent.clear();
        self.write_ids = VecDeque::from(manifest.write_ids);
        self.trim();
        self.counters.snapshots_loaded += 1;
        let version = self.version;
        self.out.push(ConfigAction::InForce { version, changed });
        Applied::Yes
    }

    fn trim(&mut self) {
        while self.write_ids.len() > WRITE_IDS {
            self.write_ids.pop_front();
        }
        let mut bytes: usize = self.recent.iter().map(Change::size).sum();
        while self.recent.len() > RECENT_CHANGES || (bytes > RECENT_BYTES && self.recent.len() > 1)
        {
            bytes -= self.recent.pop_front().map_or(0, |c| c.size());
        }
    }

    /// Write id of an applied version, if it is recent.
    pub(super) fn write_id(&self, version: ConfigVersion) -> Option<u128> {
        let back = usize::try_from(self.version.checked_sub(version)?).ok()?;
        let index = self.write_ids.len().checked_sub(back + 1)?;
        self.write_ids.get(index).copied()
    }

    /// What has changed since `from`.
    pub(super) fn difference(&self, from: ConfigVersion) -> Difference {
        let later = || self.recent.iter().filter(|c| c.version > from);
        let keys: BTreeSet<&String> = later().flat_map(Change::keys).collect();
        let value = |key: &str| self.objects.shared(key);
        Difference {
            from,
            to: self.version,
            authors: later().map(|c| c.author.clone()).collect(),
            changes: keys
                .into_iter()
                .map(|key| KeyChange {
                    key: key.clone(),
                    value: value(key),
                })
                .collect(),
            complete: later().count() as u64 == self.version.saturating_sub(from),
        }
    }
}
