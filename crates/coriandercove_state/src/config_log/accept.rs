//! Accepts a change by a conditional create of the next version's log object, and determines the
//! result also when the store's answers are lost or late.

use super::apply::Applied;
use super::faults::ConfigFault;
use super::names::{complete_snapshots, log_name, manifest_name};
use super::reader::{ReadEnd, decode_change};
use super::{
    AcceptError, Change, ConfigAction, ConfigLog, Edit, MAX_OBJECT_BYTES, Manifest, OpId, Purpose,
    RETAINED_LOG_VERSIONS, SNAPSHOT_PREFIX, StoreAnswer, StoreCall,
};
use coriandercove_base::{ConfigVersion, Time};

/// Longest key, in bytes.
const MAX_KEY_BYTES: usize = 512;

/// The step that an open accept has reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// The create was sent, and its answer is awaited.
    Create,
    /// The log object of the version is read back, to see whose change it holds.
    ReadBack,
    /// The log object holds this change. The snapshots are listed, to see whether the version had
    /// been compacted before the create.
    CheckCompaction,
    /// The manifest of a newer snapshot is read, for the write id of the version.
    Manifest,
    /// Another change became the version. The log is read, for the difference to report.
    CatchUp,
    /// The store gave no usable answer. The step is repeated at the given time.
    Retry(RetryStep, Time),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RetryStep {
    Create,
    ReadBack,
    CheckCompaction,
}

/// An accept whose result is not known yet.
#[derive(Debug)]
pub(super) struct OpenAccept {
    op: OpId,
    change: Change,
    step: Step,
    /// Time at which the accept is reported as unsettled or failed.
    deadline: Time,
    /// Whether a create has taken effect or may have.
    maybe_written: bool,
}

impl ConfigLog {
    pub(super) fn begin_accept(
        &mut self,
        now: Time,
        op: OpId,
        expected: ConfigVersion,
        write_id: u128,
        author: String,
        edit: Edit,
    ) {
        if let Err(error) = self.check_accept(now, expected, &edit) {
            self.refuse(op, error);
            return;
        }
        let change = Change::new(expected + 1, write_id, author, edit, &self.objects);
        let size = encode(&change).len();
        if size > MAX_OBJECT_BYTES {
            let limit = MAX_OBJECT_BYTES;
            self.refuse(op, AcceptError::TooLarge { size, limit });
            return;
        }
        self.accept = Some(OpenAccept {
            op,
            change,
            step: Step::Create,
            deadline: now + self.cfg.accept_deadline,
            maybe_written: false,
        });
        self.create();
    }

    fn check_accept(
        &mut self,
        now: Time,
        expected: ConfigVersion,
        edit: &Edit,
    ) -> Result<(), AcceptError> {
        if !self.cfg.uses_store {
            return not_now("it has no access to the store");
        }
        if self.accept.is_some() || self.calls.iter().any(|(_, p)| *p == Purpose::Accept) {
            return not_now("another accept is in progress on it");
        }
        if expected > self.version {
            self.start_reading(now);
            return not_now("it has not reached the expected version yet");
        }
        if expected < self.version {
            self.counters.conflicts += 1;
            let difference = self.difference(expected);
            return Err(AcceptError::Conflict { difference });
        }
        check_edit(edit)
    }

    fn refuse(&mut self, op: OpId, error: AcceptError) {
        self.out.push(ConfigAction::Refused { op, error });
    }

    /// Makes the store call of a step, and remembers the step.
    fn begin_step(&mut self, step: Step, call: StoreCall) {
        if let Some(accept) = &mut self.accept {
            accept.step = step;
            self.call(Purpose::Accept, call);
        }
    }

    fn create(&mut self) {
        if let Some(accept) = &self.accept {
            let name = log_name(accept.change.version);
            let body = encode(&accept.change);
            self.begin_step(Step::Create, StoreCall::Create { name, body });
        }
    }

    fn read_back(&mut self) {
        if let Some(accept) = &self.accept {
            let name = log_name(accept.change.version);
            self.begin_step(Step::ReadBack, StoreCall::Get { name });
        }
    }

    fn check_compaction(&mut self) {
        let prefix = SNAPSHOT_PREFIX.to_owned();
        self.begin_step(Step::CheckCompaction, StoreCall::List { prefix });
    }

    pub(super) fn handle_accept_answer(&mut self, now: Time, answer: StoreAnswer) {
        let Some(accept) = &mut self.accept else {
            return;
        };
        let step = accept.step;
        match (step, answer) {
            (Step::Create, StoreAnswer::Created) => {
                accept.maybe_written = true;
                self.check_compaction();
            }
            (Step::Create, StoreAnswer::Exists)
                if self.faults.has(ConfigFault::ConditionalCreateIgnored) =>
            {
                self.finish_accept(now);
            }
            (Step::Create, StoreAnswer::Exists) => self.read_back(),
            (Step::Create, StoreAnswer::Lost) => {
                if self.faults.has(ConfigFault::LostAnswerIsFailure) {
                    return self.give_up("the store did not answer");
                }
                accept.maybe_written = true;
                self.counters.settled += 1;
                self.read_back();
            }
            (Step::ReadBack, StoreAnswer::Object(body)) => {
                self.handle_read_back(now, body.as_deref());
            }
            (Step::CheckCompaction, StoreAnswer::Names(names)) => {
                self.handle_compaction_check(now, &names);
            }
            (Step::Manifest, StoreAnswer::Object(body)) => {
                self.decide_by_manifest(now, body.as_deref());
            }
            _ => self.retry(now, step),
        }
    }

    /// Schedules a step again after the store gave no usable answer.
    fn retry(&mut self, now: Time, step: Step) {
        self.counters.store_failures += 1;
        let at = now + self.cfg.store_retry;
        if let Some(accept) = &mut self.accept {
            accept.step = match step {
                Step::Create => Step::Retry(RetryStep::Create, at),
                Step::CheckCompaction | Step::Manifest => {
                    Step::Retry(RetryStep::CheckCompaction, at)
                }
                _ => Step::Retry(RetryStep::ReadBack, at),
            };
        }
    }

    pub(super) fn tick_accept(&mut self, now: Time) {
        let Some(accept) = &self.accept else {
            return;
        };
        if accept.deadline <= now {
            let (version, maybe_written) = (accept.change.version, accept.maybe_written);
            // A create that is still unanswered may take effect as well.
            if maybe_written || accept.step == Step::Create {
                self.end_accept(AcceptError::Unsettled { version });
            } else {
                self.give_up("the store does not answer");
            }
            return;
        }
        match accept.step {
            Step::Retry(RetryStep::Create, at) if at <= now => self.create(),
            Step::Retry(RetryStep::ReadBack, at) if at <= now => self.read_back(),
            Step::Retry(RetryStep::CheckCompaction, at) if at <= now => self.check_compaction(),
            _ => {}
        }
    }

    /// Ends the accept as one that has not taken effect.
    fn give_up(&mut self, problem: &str) {
        let problem = problem.to_owned();
        self.end_accept(AcceptError::NotNow { problem });
    }

    fn end_accept(&mut self, error: AcceptError) {
        if let Some(accept) = self.accept.take() {
            self.refuse(accept.op, error);
        }
    }

    /// Continues with the log object of the version, which holds this change, another one, or is
    /// absent.
    fn handle_read_back(&mut self, now: Time, body: Option<&[u8]>) {
        let Some(accept) = &self.accept else {
            return;
        };
        let version = accept.change.version;
        let Some(body) = body else {
            // Absent: either no create took effect, or the object has been compacted since. In the
            // second case the check for compaction after the next create detects it.
            return self.create();
        };
        match decode_change(body, version) {
            Some(change) if change.write_id == accept.change.write_id => self.check_compaction(),
            Some(_) => self.catch_up(now),
            None => {
                self.counters.rejected += 1;
                self.end_accept(AcceptError::Corrupt { version });
            }
        }
    }

    /// Finishes the accept if the version cannot have been compacted, and otherwise reads the
    /// manifest of the newest snapshot.
    fn handle_compaction_check(&mut self, now: Time, names: &[String]) {
        let Some(accept) = &self.accept else {
            return;
        };
        let newest = complete_snapshots(names).last().copied().unwrap_or(0);
        if accept.change.version > newest.saturating_sub(RETAINED_LOG_VERSIONS)
            || self.faults.has(ConfigFault::CompactionIgnored)
        {
            return self.finish_accept(now);
        }
        let name = manifest_name(newest);
        self.begin_step(Step::Manifest, StoreCall::Get { name });
    }

    /// Decides an accept whose version may have been compacted. Only the write ids of the snapshot
    /// show whose change became that version.
    fn decide_by_manifest(&mut self, now: Time, body: Option<&[u8]>) {
        let Some(accept) = &self.accept else {
            return;
        };
        let version = accept.change.version;
        let winner = body
            .and_then(|b| serde_json::from_slice::<Manifest>(b).ok())
            .and_then(|m| m.write_id(version));
        match winner {
            Some(id) if id == accept.change.write_id => self.finish_accept(now),
            Some(_) => self.catch_up(now),
            None => {
                self.start_reading(now);
                self.end_accept(AcceptError::Unsettled { version });
            }
        }
    }

    /// Reads the log after another change became the version.
    fn catch_up(&mut self, now: Time) {
        if let Some(accept) = &mut self.accept {
            accept.step = Step::CatchUp;
            self.start_reading(now);
        }
    }

    /// Continues an accept that lost to another change, once the log has been read.
    pub(super) fn continue_accept_after_reading(&mut self, now: Time, end: ReadEnd) {
        let Some(accept) = self.accept.take_if(|a| a.step == Step::CatchUp) else {
            return;
        };
        let (op, version) = (accept.op, accept.change.version);
        if self.version >= version {
            self.counters.conflicts += 1;
            let difference = self.difference(version - 1);
            self.refuse(op, AcceptError::Conflict { difference });
        } else if end == ReadEnd::Rejected {
            self.refuse(op, AcceptError::Corrupt { version });
        } else {
            self.accept = Some(accept);
            self.retry(now, Step::ReadBack);
        }
    }

    /// Applies the change if it is the next version, and reports the accept as effective.
    fn finish_accept(&mut self, now: Time) {
        let Some(accept) = self.accept.take() else {
            return;
        };
        let (op, version) = (accept.op, accept.change.version);
        if self.version + 1 == version {
            if self.apply(now, accept.change) == Applied::Rejected {
                return self.refuse(op, AcceptError::Corrupt { version });
            }
        } else if self.version < version {
            self.start_reading(now);
        }
        self.counters.accepted += 1;
        self.out.push(ConfigAction::Accepted { op, version });
    }

    /// Decides the open accept by the changes in force at this node, which may have come from a
    /// peer while the store does not answer.
    pub(super) fn settle_from_log(&mut self) {
        let Some(accept) = &self.accept else {
            return;
        };
        let (op, version) = (accept.op, accept.change.version);
        let Some(winner) = self.write_id(version) else {
            return;
        };
        if winner == accept.change.write_id {
            self.counters.accepted += 1;
            self.out.push(ConfigAction::Accepted { op, version });
        } else {
            self.counters.conflicts += 1;
            let difference = self.difference(version - 1);
            self.refuse(op, AcceptError::Conflict { difference });
        }
        self.accept = None;
    }
}

fn not_now(problem: &str) -> Result<(), AcceptError> {
    let problem = problem.to_owned();
    Err(AcceptError::NotNow { problem })
}

fn encode(change: &Change) -> Vec<u8> {
    serde_json::to_vec(change).unwrap_or_default()
}

fn check_edit(edit: &Edit) -> Result<(), AcceptError> {
    let invalid = |place: &str, problem: &str| AcceptError::Invalid {
        place: place.to_owned(),
        problem: problem.to_owned(),
    };
    if edit.upserts.is_empty() && edit.removes.is_empty() {
        return Err(invalid("", "the change sets and removes nothing"));
    }
    for key in edit.upserts.keys().chain(&edit.removes) {
        let well_formed = key
            .split_once('/')
            .is_some_and(|(kind, name)| !kind.is_empty() && !name.is_empty());
        if !well_formed || key.len() > MAX_KEY_BYTES {
            return Err(invalid(key, "a key is `kind/name` of at most 512 bytes"));
        }
    }
    for (key, value) in &edit.upserts {
        if serde_json::from_str::<serde::de::IgnoredAny>(value).is_err() {
            return Err(invalid(key, "the value is not valid JSON"));
        }
        if edit.removes.contains(key) {
            return Err(invalid(key, "the key is both set and removed"));
        }
    }
    Ok(())
}
