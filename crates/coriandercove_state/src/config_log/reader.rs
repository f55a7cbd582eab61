//! Reading the log and the snapshots from the store.

use super::apply::Applied;
use super::faults::ConfigFault;
use super::names::{complete_snapshots, log_name, manifest_name, part_name};
use super::snapshot::Assembly;
use super::{
    Change, ConfigLog, LOG_KEPT, Manifest, Purpose, SNAPSHOT_PREFIX, StoreAnswer, StoreCall,
};
use coriandercove_base::{ConfigVersion, Time};

/// Log objects read before they are applied together.
const BATCH: usize = 64;

/// Factor on the time between attempts of an entry that does not watch the log.
const SELDOM: u32 = 15;

/// A step of reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadCall {
    /// The log object of a version.
    Log(ConfigVersion),
    /// The list of snapshots, asked for after the log objects.
    Snapshots,
    /// The manifest of a snapshot.
    Manifest(ConfigVersion),
    /// A part of the snapshot that is being read.
    Part(u32),
}

/// How a run of the reader ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadEnd {
    /// At the store's latest version.
    Done,
    /// The store did not answer.
    NoAnswer,
    /// At a change or snapshot that does not match its digest.
    Rejected,
}

/// Reads the store up to its latest version, one call at a time.
#[derive(Debug, Default)]
pub(super) struct Reader {
    active: bool,
    /// Whether to start over after this run, because something was written meanwhile.
    again: bool,
    /// Time at which to start again after a failure.
    retry_at: Option<Time>,
    batch: Vec<Change>,
    /// Whether the batch ended before the log did.
    more: bool,
    /// Whether the log object after the batch is not a change.
    invalid: bool,
    /// Snapshots to try, newest last.
    snapshots: Vec<ConfigVersion>,
    assembly: Option<Assembly>,
}

impl ConfigLog {
    pub(super) fn start_reading(&mut self, _now: Time) {
        if self.reader.active {
            self.reader.again = true;
            return;
        }
        self.reader = Reader {
            active: true,
            ..Reader::default()
        };
        self.read_log(self.version + 1);
    }

    /// A node without any version asks its peers first, which spares the store when the whole
    /// fleet starts at once.
    pub(super) fn tick_reader(&mut self, now: Time) {
        if self.reader.retry_at.is_some_and(|at| at <= now) {
            self.start_reading(now);
            return;
        }
        let waited = self
            .started
            .is_some_and(|s| s + self.cfg.pull_timeout <= now);
        let idle = !self.reader.active && self.reader.retry_at.is_none();
        let alone = self.cfg.seeds.is_empty() || waited;
        if self.cfg.uses_store && self.version == 0 && idle && alone {
            self.start_reading(now);
        }
    }

    fn read(&mut self, call: ReadCall, store: StoreCall) {
        self.call(Purpose::Read(call), store);
    }

    fn read_log(&mut self, version: ConfigVersion) {
        let name = log_name(version);
        self.read(ReadCall::Log(version), StoreCall::Get { name });
    }

    pub(super) fn read_answer(&mut self, now: Time, call: ReadCall, answer: StoreAnswer) {
        match (call, answer) {
            (ReadCall::Log(version), StoreAnswer::Object(body)) => self.log_object(version, body),
            (ReadCall::Snapshots, StoreAnswer::Names(names)) => self.snapshots_listed(now, &names),
            (ReadCall::Manifest(version), StoreAnswer::Object(body)) => {
                self.manifest_read(now, version, body.as_deref());
            }
            (ReadCall::Part(_), StoreAnswer::Object(body)) => {
                self.part_read(now, body.as_deref());
            }
            _ => {
                self.counters.store_failures += 1;
                self.stop_reading(now, ReadEnd::NoAnswer);
            }
        }
    }

    fn stop_reading(&mut self, now: Time, end: ReadEnd) {
        let again = self.reader.again;
        self.reader = Reader::default();
        let pause = self.read_pause();
        if end != ReadEnd::Done {
            self.reader.retry_at = Some(now + pause);
        } else if again {
            self.start_reading(now);
        } else if self.version == 0 {
            self.reader.retry_at = Some(now + pause);
        }
        self.accept_after_reading(now, end);
    }

    /// Time until the next attempt. Entries that do not watch learn from peers and ask the store
    /// rarely, because hundreds of them at once would use up its reads.
    fn read_pause(&self) -> Time {
        let factor = if self.is_watcher() { 1 } else { SELDOM };
        self.cfg.store_retry * factor
    }

    fn log_object(&mut self, version: ConfigVersion, body: Option<Vec<u8>>) {
        let change = body.map(|b| decode_change(&b, version));
        match change {
            Some(Some(change)) if self.reader.batch.len() + 1 < BATCH => {
                self.reader.batch.push(change);
                self.read_log(version + 1);
                return;
            }
            Some(Some(change)) => {
                self.reader.batch.push(change);
                self.reader.more = true;
            }
            Some(None) => {
                self.counters.rejected += 1;
                self.reader.invalid = true;
            }
            None => {}
        }
        let prefix = SNAPSHOT_PREFIX.to_owned();
        self.read(ReadCall::Snapshots, StoreCall::List { prefix });
    }

    /// Applies the batch, unless a snapshot shows that its first version may have been compacted:
    /// then the log object may be one that a paused node created anew, and the snapshot counts.
    fn snapshots_listed(&mut self, now: Time, names: &[String]) {
        let snapshots = complete_snapshots(names);
        let newest = snapshots.last().copied().unwrap_or(0);
        let compacted = self.version < newest.saturating_sub(LOG_KEPT)
            && !self.faults.has(ConfigFault::CompactionIgnored);
        if compacted || (self.reader.batch.is_empty() && newest > self.version) {
            self.reader.snapshots = snapshots;
            self.read_snapshot(now);
            return;
        }
        let batch = std::mem::take(&mut self.reader.batch);
        let rejected = batch
            .into_iter()
            .any(|change| self.apply(now, change) == Applied::Rejected);
        if self.reader.more && !rejected {
            self.reader.more = false;
            self.read_log(self.version + 1);
        } else {
            let invalid = rejected || self.reader.invalid;
            let end = if invalid {
                ReadEnd::Rejected
            } else {
                ReadEnd::Done
            };
            self.stop_reading(now, end);
        }
    }

    /// Reads the newest snapshot that has not failed yet.
    fn read_snapshot(&mut self, now: Time) {
        match self.reader.snapshots.pop() {
            Some(version) if version > self.version => {
                let name = manifest_name(version);
                self.read(ReadCall::Manifest(version), StoreCall::Get { name });
            }
            _ => self.stop_reading(now, ReadEnd::Rejected),
        }
    }

    fn manifest_read(&mut self, now: Time, version: ConfigVersion, body: Option<&[u8]>) {
        let assembly = body
            .and_then(|b| serde_json::from_slice::<Manifest>(b).ok())
            .filter(|m| m.version == version)
            .and_then(Assembly::new);
        if assembly.is_none() {
            self.counters.rejected += 1;
            self.read_snapshot(now);
            return;
        }
        self.reader.assembly = assembly;
        self.read_part(now);
    }

    fn read_part(&mut self, now: Time) {
        let Some(assembly) = self.reader.assembly.take() else {
            return self.stop_reading(now, ReadEnd::Rejected);
        };
        if let Some(index) = assembly.missing() {
            let name = part_name(assembly.manifest.version, index);
            self.reader.assembly = Some(assembly);
            self.read(ReadCall::Part(index), StoreCall::Get { name });
            return;
        }
        let (manifest, objects) = assembly.objects();
        if self.install(manifest, objects) == Applied::Rejected {
            self.read_snapshot(now);
            return;
        }
        self.reader.batch.clear();
        self.reader.more = false;
        self.read_log(self.version + 1);
    }

    fn part_read(&mut self, now: Time, body: Option<&[u8]>) {
        let part = body.and_then(|b| serde_json::from_slice(b).ok());
        match (part, &mut self.reader.assembly) {
            (Some(part), Some(assembly)) => {
                let before = assembly.missing();
                assembly.add(part);
                if assembly.missing() == before {
                    self.counters.rejected += 1;
                    self.read_snapshot(now);
                } else {
                    self.read_part(now);
                }
            }
            _ => {
                self.counters.rejected += 1;
                self.read_snapshot(now);
            }
        }
    }
}

/// The change in a log object, if it is one and belongs there.
pub(super) fn decode_change(body: &[u8], version: ConfigVersion) -> Option<Change> {
    serde_json::from_slice::<Change>(body)
        .ok()
        .filter(|c| c.version == version)
}
