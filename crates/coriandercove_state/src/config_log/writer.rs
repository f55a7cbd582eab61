//! Writes snapshots, and deletes the log objects and older snapshots that they replace.

use super::names::{
    complete_snapshots, manifest_name, parse_log_name, parse_snapshot_name, part_name,
};
use super::snapshot::{self, SnapshotPart};
use super::{
    ConfigLog, LOG_PREFIX, Manifest, Objects, Purpose, RETAINED_LOG_VERSIONS, SNAPSHOT_INTERVAL,
    SNAPSHOT_PREFIX, StoreAnswer, StoreCall,
};
use coriandercove_base::{ConfigVersion, Time};

/// A store call of the writer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteCall {
    /// List the snapshots, to see whether this one exists already.
    Snapshots,
    /// Create the next part or, at last, the manifest.
    Create,
    /// List the log objects.
    Log,
    /// Delete the next object that is no longer needed.
    Delete,
}

/// Writes one snapshot at a time, and then deletes the objects that it replaces.
#[derive(Debug, Default)]
pub(super) struct Writer {
    job: Option<Job>,
    /// Call to make next, and when.
    next: Option<(WriteCall, Time)>,
}

/// One snapshot to write.
#[derive(Debug)]
struct Job {
    version: ConfigVersion,
    objects: Objects,
    write_ids: Vec<u128>,
    /// Names and encoded values of the objects to create, in reverse order.
    creates: Vec<(String, Vec<u8>)>,
    /// Names of the objects to delete, in reverse order.
    deletes: Vec<String>,
}

impl ConfigLog {
    /// Plans the snapshot of the version in force, if it is due and this node watches the log.
    pub(super) fn plan_snapshot(&mut self, now: Time) {
        let Some(rank) = self.rank else {
            return;
        };
        if !self.version.is_multiple_of(SNAPSHOT_INTERVAL) || self.is_writing() {
            return;
        }
        self.writer.job = Some(Job {
            version: self.version,
            objects: self.objects.clone(),
            write_ids: self.write_ids.iter().copied().collect(),
            creates: Vec::new(),
            deletes: Vec::new(),
        });
        let at = now + self.cfg.snapshot_stagger * rank;
        self.writer.next = Some((WriteCall::Snapshots, at));
    }

    /// Whether a store call of the writer is open.
    fn is_writing(&self) -> bool {
        self.calls
            .iter()
            .any(|(_, p)| matches!(p, Purpose::Write(_)))
    }

    pub(super) fn tick_writer(&mut self, now: Time) {
        if let Some((call, _)) = self.writer.next.take_if(|(_, at)| *at <= now) {
            self.write(call);
        }
    }

    /// Makes a call, or the one after it if nothing is left to create or delete.
    fn write(&mut self, call: WriteCall) {
        let Some(job) = &self.writer.job else {
            return;
        };
        let store = match call {
            WriteCall::Snapshots => StoreCall::List {
                prefix: SNAPSHOT_PREFIX.to_owned(),
            },
            WriteCall::Log => StoreCall::List {
                prefix: LOG_PREFIX.to_owned(),
            },
            WriteCall::Create => match job.creates.last().cloned() {
                Some((name, body)) => StoreCall::Create { name, body },
                None => return self.write(WriteCall::Log),
            },
            WriteCall::Delete => match job.deletes.last().cloned() {
                Some(name) => StoreCall::Delete { name },
                None => {
                    self.writer.job = None;
                    return;
                }
            },
        };
        self.call(Purpose::Write(call), store);
    }

    pub(super) fn handle_write_answer(&mut self, now: Time, call: WriteCall, answer: StoreAnswer) {
        let Some(job) = &mut self.writer.job else {
            return;
        };
        let next = match (call, answer) {
            (WriteCall::Snapshots, StoreAnswer::Names(names)) => {
                job.plan_creates(&names);
                WriteCall::Create
            }
            (WriteCall::Create, StoreAnswer::Created) => {
                job.creates.pop();
                if job.creates.is_empty() {
                    self.counters.snapshots_written += 1;
                }
                WriteCall::Create
            }
            (WriteCall::Create, StoreAnswer::Exists) => {
                job.creates.pop();
                WriteCall::Create
            }
            (WriteCall::Log, StoreAnswer::Names(names)) => {
                job.plan_log_deletes(&names);
                WriteCall::Delete
            }
            (WriteCall::Delete, StoreAnswer::Deleted) => {
                job.deletes.pop();
                self.counters.compacted += 1;
                WriteCall::Delete
            }
            _ => {
                self.counters.store_failures += 1;
                self.writer.next = Some((call, now + self.cfg.store_retry));
                return;
            }
        };
        self.write(next);
    }
}

impl Job {
    /// Encodes the snapshot unless it or a newer one exists, and selects the old snapshots to
    /// delete.
    fn plan_creates(&mut self, names: &[String]) {
        let complete = complete_snapshots(names);
        if !complete.iter().any(|v| *v >= self.version) {
            let objects = std::mem::take(&mut self.objects);
            let ids = std::mem::take(&mut self.write_ids);
            let (manifest, parts) = snapshot::split(self.version, &objects, ids);
            self.creates = encode_snapshot(&manifest, &parts);
        }
        // One older snapshot is kept, for readers that find the newest one damaged. A manifest is
        // deleted before its parts.
        let floor = self.version.saturating_sub(SNAPSHOT_INTERVAL);
        let mut old: Vec<_> = names
            .iter()
            .filter_map(|n| parse_snapshot_name(n).map(|(v, manifest)| (v, manifest, n)))
            .filter(|(v, ..)| *v < floor)
            .collect();
        old.sort_unstable();
        self.deletes = old.into_iter().map(|(.., n)| n.clone()).collect();
    }

    /// Selects the log objects to delete.
    fn plan_log_deletes(&mut self, names: &[String]) {
        let floor = self.version.saturating_sub(RETAINED_LOG_VERSIONS);
        let old = |n: &&String| parse_log_name(n).is_some_and(|v| v <= floor);
        self.deletes.extend(names.iter().rev().filter(old).cloned());
    }
}

/// Returns the names and values of a snapshot's objects: the manifest and the parts, in reverse
/// order of creation.
fn encode_snapshot(manifest: &Manifest, parts: &[SnapshotPart]) -> Vec<(String, Vec<u8>)> {
    let version = manifest.version;
    let manifest = serde_json::to_vec(manifest).unwrap_or_default();
    let parts = parts.iter().rev().map(|part| {
        let body = serde_json::to_vec(part).unwrap_or_default();
        (part_name(version, part.index), body)
    });
    std::iter::once((manifest_name(version), manifest))
        .chain(parts)
        .collect()
}
