//! Reads the log and the snapshots from the store.

use super::apply::Applied;
use super::faults::ConfigFault;
use super::names::{complete_snapshots, log_name, manifest_name, part_name};
use super::snapshot::Assembly;
use super::{
    Change, ConfigLog, Manifest, Purpose, RETAINED_LOG_VERSIONS, SNAPSHOT_PREFIX, StoreAnswer,
    StoreCall,
};
use coriandercove_base::{ConfigVersion, Time};

/// Highest number of log objects that are read before they are applied together.
const BATCH_CHANGES: usize = 64;

/// Factor on the pause between attempts, for an entry that does not watch the log.
const NON_WATCHER_PAUSE_FACTOR: u32 = 15;

/// A store call of the reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadCall {
    /// Get the log object of a version.
    Log(ConfigVersion),
    /// List the snapshots, after the log objects of a batch.
    Snapshots,
    /// Get the manifest of a snapshot.
    Manifest(ConfigVersion),
    /// Get a part, by its index, of the snapshot that is being read.
    Part(u32),
}

/// Result of a run of the reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadEnd {
    /// The store's latest version was reached.
    Done,
    /// The store did not give a usable answer.
    NoAnswer,
    /// A change or the snapshots that are needed next are invalid.
    Rejected,
}

/// Reads the store up to its latest version, one call at a time.
#[derive(Debug, Default)]
pub(super) struct Reader {
    active: bool,
    /// Whether to run again after this run, because something may have been written meanwhile.
    run_again: bool,
    /// Time at which to start again after a failure.
    retry_at: Option<Time>,
    /// Changes read and not yet applied.
    batch: Vec<Change>,
    /// Whether the batch is full, so that the log may continue after it.
    log_continues: bool,
    /// Whether the log object after the batch is not a valid change.
    next_is_invalid: bool,
    /// Snapshots to try, newest last.
    snapshots: Vec<ConfigVersion>,
    /// The snapshot that is being read.
    assembly: Option<Assembly>,
}

impl ConfigLog {
    /// Starts a run of the reader, or another one after the current run.
    pub(super) fn start_reading(&mut self, _now: Time) {
        if self.reader.active {
            self.reader.run_again = true;
            return;
        }
        self.reader = Reader {
            active: true,
            ..Reader::default()
        };
        self.read_log(self.version + 1);
    }

    /// Starts the reader when a retry is due, or at a node that still has no version. Such a node
    /// asks its peers first, which spares the store when the whole fleet starts at once.
    pub(super) fn tick_reader(&mut self, now: Time) {
        if self.reader.retry_at.is_some_and(|at| at <= now) {
            self.start_reading(now);
            return;
        }
        let waited = self
            .started
            .is_some_and(|s| s + self.cfg.pull_timeout <= now);
        let is_idle = !self.reader.active && self.reader.retry_at.is_none();
        let may_read = self.cfg.seeds.is_empty() || waited;
        if self.cfg.uses_store && self.version == 0 && is_idle && may_read {
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

    pub(super) fn handle_read_answer(&mut self, now: Time, call: ReadCall, answer: StoreAnswer) {
        match (call, answer) {
            (ReadCall::Log(version), StoreAnswer::Object(body)) => {
                self.handle_log_object(version, body);
            }
            (ReadCall::Snapshots, StoreAnswer::Names(names)) => {
                self.handle_snapshot_list(now, &names);
            }
            (ReadCall::Manifest(version), StoreAnswer::Object(body)) => {
                self.handle_manifest(now, version, body.as_deref());
            }
            (ReadCall::Part(_), StoreAnswer::Object(body)) => {
                self.handle_part(now, body.as_deref());
            }
            _ => {
                self.counters.store_failures += 1;
                self.stop_reading(now, ReadEnd::NoAnswer);
            }
        }
    }

    /// Ends a run of the reader, and schedules the next one if needed.
    fn stop_reading(&mut self, now: Time, end: ReadEnd) {
        let run_again = self.reader.run_again;
        self.reader = Reader::default();
        let pause = self.retry_pause();
        if end != ReadEnd::Done {
            self.reader.retry_at = Some(now + pause);
        } else if run_again {
            self.start_reading(now);
        } else if self.version == 0 {
            self.reader.retry_at = Some(now + pause);
        }
        self.continue_accept_after_reading(now, end);
    }

    /// Returns the pause until the next attempt. Entries that do not watch the log learn from peers
    /// and call the store rarely, because hundreds of them at once would exhaust its read capacity.
    fn retry_pause(&self) -> Time {
        let factor = if self.is_watcher() {
            1
        } else {
            NON_WATCHER_PAUSE_FACTOR
        };
        self.cfg.store_retry * factor
    }

    /// Adds a log object to the batch. At the end of the log or of the batch, lists the snapshots.
    fn handle_log_object(&mut self, version: ConfigVersion, body: Option<Vec<u8>>) {
        let change = body.map(|b| decode_change(&b, version));
        match change {
            Some(Some(change)) if self.reader.batch.len() + 1 < BATCH_CHANGES => {
                self.reader.batch.push(change);
                self.read_log(version + 1);
                return;
            }
            Some(Some(change)) => {
                self.reader.batch.push(change);
                self.reader.log_continues = true;
            }
            Some(None) => {
                self.counters.rejected += 1;
                self.reader.next_is_invalid = true;
            }
            None => {}
        }
        let prefix = SNAPSHOT_PREFIX.to_owned();
        self.read(ReadCall::Snapshots, StoreCall::List { prefix });
    }

    /// Applies the batch, unless a snapshot shows that its first version may have been compacted.
    /// Then the log object may be one that a paused node created again, so the snapshot is read
    /// instead.
    fn handle_snapshot_list(&mut self, now: Time, names: &[String]) {
        let snapshots = complete_snapshots(names);
        let newest = snapshots.last().copied().unwrap_or(0);
        let may_be_compacted = self.version < newest.saturating_sub(RETAINED_LOG_VERSIONS)
            && !self.faults.has(ConfigFault::CompactionIgnored);
        if may_be_compacted || (self.reader.batch.is_empty() && newest > self.version) {
            self.reader.snapshots = snapshots;
            self.read_snapshot(now);
            return;
        }
        let batch = std::mem::take(&mut self.reader.batch);
        let rejected = batch
            .into_iter()
            .any(|change| self.apply(now, change) == Applied::Rejected);
        if self.reader.log_continues && !rejected {
            self.reader.log_continues = false;
            self.read_log(self.version + 1);
        } else {
            let is_invalid = rejected || self.reader.next_is_invalid;
            let end = if is_invalid {
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

    fn handle_manifest(&mut self, now: Time, version: ConfigVersion, body: Option<&[u8]>) {
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

    /// Reads the next missing part, or installs the snapshot if it is complete.
    fn read_part(&mut self, now: Time) {
        let Some(assembly) = self.reader.assembly.take() else {
            return self.stop_reading(now, ReadEnd::Rejected);
        };
        if let Some(index) = assembly.first_missing() {
            let name = part_name(assembly.manifest.version, index);
            self.reader.assembly = Some(assembly);
            self.read(ReadCall::Part(index), StoreCall::Get { name });
            return;
        }
        let (manifest, objects) = assembly.into_objects();
        if self.install(manifest, objects) == Applied::Rejected {
            self.read_snapshot(now);
            return;
        }
        self.reader.batch.clear();
        self.reader.log_continues = false;
        self.read_log(self.version + 1);
    }

    fn handle_part(&mut self, now: Time, body: Option<&[u8]>) {
        let part = body.and_then(|b| serde_json::from_slice(b).ok());
        match (part, &mut self.reader.assembly) {
            (Some(part), Some(assembly)) => {
                let before = assembly.first_missing();
                assembly.add(part);
                if assembly.first_missing() == before {
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

/// Decodes the change in a log object; `None` if it is malformed or has another version.
pub(super) fn decode_change(body: &[u8], version: ConfigVersion) -> Option<Change> {
    serde_json::from_slice::<Change>(body)
        .ok()
        .filter(|c| c.version == version)
}
