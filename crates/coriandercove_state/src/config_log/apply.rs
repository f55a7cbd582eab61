//! Applies changes and snapshots in the order of versions.

use super::faults::ConfigFault;
use super::{Change, ConfigAction, ConfigLog, Difference, KeyChange, Manifest, Objects};
use coriandercove_base::{ConfigVersion, Time};
use std::collections::{BTreeSet, VecDeque};

/// Highest size of the changes kept for peers' pulls, in bytes; a peer further behind gets a
/// snapshot.
const MAX_RECENT_BYTES: usize = 4_000_000;
/// Highest number of changes kept for peers' pulls.
const MAX_RECENT_CHANGES: usize = 256;
/// Number of write ids that are kept, and written with each snapshot.
pub(super) const MAX_WRITE_IDS: usize = 128;

/// Result of applying a change or a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Applied {
    /// The change is in force.
    Yes,
    /// The version is not above the one in force.
    Stale,
    /// Versions before the change are missing.
    Gap,
    /// The content does not match the digest.
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
        let undo = self.objects.apply_edit(&change.upserts, &change.removes);
        // True only with the deliberate fault `LowerVersionApplied`.
        let is_lower = change.version <= self.version;
        if !is_lower
            && !change.matches(&self.objects)
            && !self.faults.has(ConfigFault::DigestIgnored)
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
        self.recent_changes.push_back(change);
        self.trim_history();
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
        self.recent_changes.clear();
        self.write_ids = VecDeque::from(manifest.write_ids);
        self.trim_history();
        self.counters.snapshots_loaded += 1;
        let version = self.version;
        self.out.push(ConfigAction::InForce { version, changed });
        Applied::Yes
    }

    /// Drops the oldest write ids and changes above the limits.
    fn trim_history(&mut self) {
        while self.write_ids.len() > MAX_WRITE_IDS {
            self.write_ids.pop_front();
        }
        let mut bytes: usize = self.recent_changes.iter().map(Change::size).sum();
        while self.recent_changes.len() > MAX_RECENT_CHANGES
            || (bytes > MAX_RECENT_BYTES && self.recent_changes.len() > 1)
        {
            bytes -= self.recent_changes.pop_front().map_or(0, |c| c.size());
        }
    }

    /// Returns the write id of an applied version; `None` if it is too old or not in force.
    pub(super) fn write_id(&self, version: ConfigVersion) -> Option<u128> {
        let distance = usize::try_from(self.version.checked_sub(version)?).ok()?;
        let index = self.write_ids.len().checked_sub(distance + 1)?;
        self.write_ids.get(index).copied()
    }

    /// Returns the changes since `from`, as far as they are kept.
    pub(super) fn difference(&self, from: ConfigVersion) -> Difference {
        let later = || self.recent_changes.iter().filter(|c| c.version > from);
        let keys: BTreeSet<&String> = later().flat_map(Change::keys).collect();
        let value = |key: &str| self.objects.get_shared(key);
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
