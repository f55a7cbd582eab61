//! One shard of claims at one entry. Queued changes are written together, with one conditional
//! write of the active segment.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use coriandercove_base::rng::{Rng, random_id};
use coriandercove_base::{Time, data};

use super::loader::{LoadStep, Loader};
use super::segment::{self, MAX_SEGMENT_BYTES, Segment};
use super::view::{Decision, View};
use super::{Change, ChangeResult, Claim, KeyHash};
use crate::fault::{self, Fault};
use crate::store_call::{StoreCall, Version};

/// Bytes kept free in a segment, because the encoded number of claims and the write id may get
/// longer than in the version before.
const SEGMENT_RESERVE: usize = 64;
/// Time between two cleanups, so that those of many entries make few writes to the store. An eighth
/// of the retention is used if it is shorter.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

data! {
    /// Settings of a [`Shard`].
    #[derive(Eq)]
    pub struct ShardSettings {
        /// Prefix of the object names of the shard; see [`super::shard_prefix`].
        pub prefix: String,
        /// Minimum time for which claims are kept.
        pub retention: Duration,
        /// Minimum time between two writes of claims.
        pub write_gap: Duration,
        /// Wait before the store is called again after a failure. Doubles with each further
        /// failure, up to 2 s.
        pub retry: Duration,
        /// Size in bytes at which a segment is sealed, at most [`MAX_SEGMENT_BYTES`].
        pub segment_bytes: usize,
        /// Most changes that may be queued; further ones are refused as overloaded.
        pub max_waiting: usize,
    }
}

impl ShardSettings {
    /// Returns the default settings for the shard with this prefix.
    #[must_use]
    pub const fn new(prefix: String) -> Self {
        Self {
            prefix,
            retention: Duration::from_secs(24 * 3600),
            write_gap: Duration::from_millis(100),
            retry: Duration::from_millis(50),
            segment_bytes: MAX_SEGMENT_BYTES,
            max_waiting: 4096,
        }
    }
}

/// What the owner of a [`Shard`] must do for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShardAction {
    /// Make this call and report its result with [`Shard::on_store`]. There is at most one
    /// call at a time.
    Store(StoreCall),
    /// A submitted change is decided.
    Settled {
        /// Tag that was given to [`Shard::submit`].
        tag: u128,
        /// Whether the change is durable, or why not.
        result: ChangeResult,
    },
    /// All refreshes up to a number ended.
    Refreshed {
        /// Number of the last ended refresh; see [`Shard::refresh`].
        up_to: u64,
        /// Whether the store could be read.
        is_read: bool,
    },
}

/// A submitted change that is not decided yet.
#[derive(Debug)]
pub(super) struct QueuedChange {
    pub tag: u128,
    pub change: Change,
    /// Number and version of the segment that an earlier write of this change was based on, if it
    /// is not known whether that write took effect. While the segment has that version, the write
    /// may still take effect.
    pub unsettled: Option<(u64, Version)>,
}

/// A write of claims to the active segment, in flight.
#[derive(Debug, Default)]
pub(super) struct PendingWrite {
    pub segment: Segment,
    pub bytes: usize,
    pub batch: Vec<QueuedChange>,
    /// The claims that the batch adds or changes.
    pub changed: Vec<Claim>,
}

/// The store call in flight. Segments are given by their numbers.
#[derive(Debug)]
pub(super) enum Op {
    List,
    Get(u64),
    Create(u64),
    Write(PendingWrite),
    Seal(Segment),
    /// Deletes a sealed segment whose claims are too old.
    Delete(u64),
    /// Deletes a stray segment; see [`Loader::stray`].
    DeleteStray(u64),
}

/// Numbers of the last refreshes that were requested, started and ended.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RefreshNumbers {
    pub requested: u64,
    pub started: u64,
    pub ended: u64,
}

impl RefreshNumbers {
    pub const fn is_pending(self) -> bool {
        self.ended < self.requested
    }
}

/// The claims of one shard as last read or written by one entry, and the queued changes.
///
/// Any number of entries may write to the same shard. Each write is conditional on the version of
/// the active segment, so the write of an entry that has not read all claims is refused, and the
/// entry reads the segment again.
pub struct Shard {
    pub(super) settings: ShardSettings,
    pub(super) rng: Rng,
    pub(super) view: View,
    pub(super) loader: Loader,
    pub(super) op: Option<Op>,
    pub(super) queue: VecDeque<QueuedChange>,
    pub(super) refresh: RefreshNumbers,
    /// When the last write of claims was started.
    last_write: Option<Time>,
    next_cleanup: Time,
    /// When the store may be called again after a failure.
    pub(super) retry_at: Time,
    pub(super) retry_delay: Duration,
    pub(super) malformed: u64,
    pub(super) conflicts: u64,
}

impl Shard {
    /// Creates a shard that has not been read yet. `rng` must be seeded differently for each run
    /// of the entry, because it makes the write ids.
    #[must_use]
    pub fn new(settings: ShardSettings, rng: Rng) -> Self {
        Self {
            retry_delay: settings.retry,
            settings,
            rng,
            view: View::default(),
            loader: Loader::new(),
            op: None,
            queue: VecDeque::new(),
            refresh: RefreshNumbers::default(),
            last_write: None,
            next_cleanup: Time::ZERO,
            retry_at: Time::ZERO,
            malformed: 0,
            conflicts: 0,
        }
    }

    /// Returns the claim of `key` in memory. It may be out of date; a change that contradicts the
    /// current claim is refused with that claim.
    #[must_use]
    pub fn lookup(&self, key: KeyHash) -> Option<&Claim> {
        self.view.get(key)
    }

    /// Returns the number of claims in memory.
    #[must_use]
    pub fn claim_count(&self) -> usize {
        self.view.len()
    }

    /// Returns the number of queued changes, without those in the write in flight.
    #[must_use]
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Returns how often a segment was read that could not be decoded.
    #[must_use]
    pub const fn malformed_count(&self) -> u64 {
        self.malformed
    }

    /// Returns the number of conditional writes of claims that the store refused.
    #[must_use]
    pub const fn conflict_count(&self) -> u64 {
        self.conflicts
    }

    /// Queues a change. Its result is reported by a [`ShardAction::Settled`] with the same tag,
    /// now or later.
    pub fn submit(&mut self, now: Time, tag: u128, change: Change) -> Vec<ShardAction> {
        if self.queue.len() >= self.settings.max_waiting || change.is_too_large() {
            return vec![settled(tag, ChangeResult::Overloaded)];
        }
        if now < self.retry_at && fails_without_store(&change) {
            return vec![settled(tag, self.result_without_store(&change))];
        }
        self.queue.push_back(QueuedChange {
            tag,
            change,
            unsettled: None,
        });
        self.advance(now)
    }

    /// Returns the result of a change while the store cannot be reached. The claims in memory may
    /// already decide it.
    pub(super) fn result_without_store(&self, change: &Change) -> ChangeResult {
        match self.view.decide(change) {
            Decision::Refused(claim) => ChangeResult::Refused(claim),
            Decision::Applied => ChangeResult::Written,
            Decision::Write(_) => ChangeResult::Unavailable,
        }
    }

    /// Withdraws a change. Returns `true` if it was not written and never will be. Otherwise the
    /// change stays queued or in flight and is settled later.
    pub fn withdraw(&mut self, tag: u128) -> bool {
        let Some(at) = self.queue.iter().position(|w| w.tag == tag) else {
            return !self.is_in_flight(tag);
        };
        let is_certain = self.queue[at].unsettled.is_none();
        if is_certain {
            self.queue.remove(at);
        }
        is_certain
    }

    fn is_in_flight(&self, tag: u128) -> bool {
        matches!(&self.op, Some(Op::Write(write)) if write.batch.iter().any(|w| w.tag == tag))
    }

    /// Reads the claims that other entries wrote. Returns the number of this refresh, whose end is
    /// reported by a [`ShardAction::Refreshed`] with this or a higher number.
    pub fn refresh(&mut self, now: Time) -> (u64, Vec<ShardAction>) {
        self.refresh.requested += 1;
        (self.refresh.requested, self.advance(now))
    }

    /// Starts the store calls that are due, and deletes or seals segments whose claims are too
    /// old.
    pub fn tick(&mut self, now: Time) -> Vec<ShardAction> {
        let mut actions = self.advance(now);
        if self.op.is_none() && self.loader.is_ready() && now >= self.next_cleanup {
            self.next_cleanup = now + CLEANUP_INTERVAL.min(self.settings.retention / 8);
            actions.extend(self.clean_up(now));
        }
        actions
    }

    /// Returns when [`Shard::tick`] must next be called, apart from deleting segments, for which a
    /// tick every few seconds is enough.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        if self.op.is_some() || !self.has_work() {
            None
        } else if self.loader.is_ready() {
            Some(self.next_write())
        } else {
            Some(self.retry_at)
        }
    }

    fn has_work(&self) -> bool {
        !self.queue.is_empty() || self.refresh.is_pending()
    }

    fn next_write(&self) -> Time {
        let gap = self.last_write.map(|t| t + self.settings.write_gap);
        gap.unwrap_or_default().max(self.retry_at)
    }

    /// Starts the next store call if none is in flight and there is work for one.
    pub(super) fn advance(&mut self, now: Time) -> Vec<ShardAction> {
        let mut actions = Vec::new();
        if self.op.is_some() || !self.has_work() {
            return actions;
        }
        if now < self.retry_at {
            return actions;
        }
        if self.refresh.is_pending() && self.refresh.started == self.refresh.ended {
            self.refresh.started = self.refresh.requested;
            self.loader.restart(&self.view);
        }
        let step = self.loader.next_step();
        if step == LoadStep::Ready {
            actions.extend(self.end_refresh());
            if now >= self.next_write() {
                self.commit(now, &mut actions);
            }
            if self.op.is_none() && self.refresh.is_pending() {
                actions.extend(self.advance(now));
            }
        } else {
            actions.push(self.load(step));
        }
        actions
    }

    fn end_refresh(&mut self) -> Option<ShardAction> {
        if !self.refresh.is_pending() {
            return None;
        }
        self.refresh.ended = self.refresh.started;
        Some(ShardAction::Refreshed {
            up_to: self.refresh.ended,
            is_read: true,
        })
    }

    fn load(&mut self, step: LoadStep) -> ShardAction {
        let prefix = &self.settings.prefix;
        let (op, call) = match step {
            LoadStep::Get(number) => {
                let name = segment::name_of(prefix, number);
                (Op::Get(number), StoreCall::Get { name })
            }
            LoadStep::Create(number) => {
                let name = segment::name_of(prefix, number);
                let empty = Segment {
                    write_id: random_id(&mut self.rng),
                    ..Segment::default()
                };
                let value = empty.encode().unwrap_or_default();
                (Op::Create(number), StoreCall::Create { name, value })
            }
            LoadStep::List | LoadStep::Ready => {
                let prefix = prefix.clone();
                (Op::List, StoreCall::List { prefix })
            }
        };
        self.op = Some(op);
        ShardAction::Store(call)
    }

    /// Writes the queued changes that fit into the active segment, at most one for each key.
    fn commit(&mut self, now: Time, actions: &mut Vec<ShardAction>) {
        let Some(active) = self.view.active.clone() else {
            self.loader.restart(&self.view);
            return;
        };
        let mut write = PendingWrite {
            segment: active.segment,
            bytes: active.bytes,
            ..PendingWrite::default()
        };
        let is_full = self.fill_batch(&mut write, actions);
        if write.batch.is_empty() {
            if is_full {
                actions.extend(self.seal());
            }
            return;
        }
        write.segment.write_id = random_id(&mut self.rng);
        self.last_write = Some(now);
        let batch = &write.batch;
        let Ok(value) = write.segment.encode() else {
            // Reached only by a claim that is larger than a whole segment.
            actions.extend(
                batch
                    .iter()
                    .map(|w| settled(w.tag, ChangeResult::Overloaded)),
            );
            return;
        };
        write.bytes = value.len();
        actions.push(ShardAction::Store(StoreCall::PutIf {
            name: segment::name_of(&self.settings.prefix, active.number),
            version: active.version,
            value,
        }));
        if fault::is_on(Fault::DispatchBeforeDurable) {
            actions.extend(batch.iter().map(|w| settled(w.tag, ChangeResult::Written)));
        }
        self.op = Some(Op::Write(write));
    }

    /// Moves the changes for the next write from the queue to `write` and applies them to its
    /// segment. Settles the changes that need no write. Returns whether a change did not fit.
    fn fill_batch(&mut self, write: &mut PendingWrite, actions: &mut Vec<ShardAction>) -> bool {
        let limit = self.settings.segment_bytes.min(MAX_SEGMENT_BYTES);
        let limit = limit.saturating_sub(SEGMENT_RESERVE);
        let is_empty = write.segment.claims.is_empty();
        let active_version = self.view.active_version();
        let mut keys = HashSet::new();
        let mut rest = VecDeque::new();
        let mut is_full = false;
        for mut waiting in std::mem::take(&mut self.queue) {
            if waiting.unsettled != active_version {
                // The segment has another version now, so the earlier write can no longer take
                // effect.
                waiting.unsettled = None;
            }
            if !keys.insert(waiting.change.key()) {
                rest.push_back(waiting);
                continue;
            }
            match self.view.decide(&waiting.change) {
                Decision::Applied => actions.push(settled(waiting.tag, ChangeResult::Written)),
                Decision::Refused(claim) => {
                    actions.push(settled(waiting.tag, ChangeResult::Refused(claim)));
                }
                Decision::Write(claim) => {
                    let bytes = write.bytes + encoded_size(&claim);
                    if bytes <= limit || (is_empty && write.batch.is_empty()) {
                        write.bytes = bytes;
                        write.segment.set(claim.clone());
                        write.changed.push(claim);
                        write.batch.push(waiting);
                    } else {
                        is_full = true;
                        rest.push_back(waiting);
                    }
                }
            }
        }
        self.queue = rest;
        is_full
    }

    /// Seals the active segment, because it is full or its claims are too old.
    fn seal(&mut self) -> Option<ShardAction> {
        let active = self.view.active.as_ref()?;
        let mut segment = active.segment.clone();
        segment.sealed = true;
        segment.write_id = random_id(&mut self.rng);
        let call = StoreCall::PutIf {
            name: segment::name_of(&self.settings.prefix, active.number),
            version: active.version,
            value: segment.encode().ok()?,
        };
        self.op = Some(Op::Seal(segment));
        Some(ShardAction::Store(call))
    }

    /// Deletes one stray or old segment, or seals an old active segment.
    ///
    /// A segment is old if it has not changed for the whole retention since this entry first saw
    /// it, by the entry's own monotonic clock. Wall clocks are not used, because an entry whose
    /// wall clock is wrong would delete claims that are in use.
    fn clean_up(&mut self, now: Time) -> Option<ShardAction> {
        let is_old = |first_seen: Time| now > first_seen + self.settings.retention;
        let stray = self.loader.stray.iter().next();
        let oldest = self.view.sealed.iter().next();
        let (op, number, version) = match (stray, oldest) {
            (Some((&n, &version)), _) => (Op::DeleteStray(n), n, version),
            (None, Some((&n, s))) if is_old(s.first_seen) => (Op::Delete(n), n, s.version),
            _ => {
                let active = self.view.active.as_ref()?;
                let is_due = !active.segment.claims.is_empty() && is_old(active.first_seen);
                return if is_due { self.seal() } else { None };
            }
        };
        self.op = Some(op);
        Some(ShardAction::Store(StoreCall::DeleteIf {
            name: segment::name_of(&self.settings.prefix, number),
            version,
        }))
    }
}

/// Returns whether a change is settled as unavailable when the store cannot be reached. Results
/// of calls stay queued instead.
pub(super) const fn fails_without_store(change: &Change) -> bool {
    !matches!(change, Change::Record { .. })
}

pub(super) const fn settled(tag: u128, result: ChangeResult) -> ShardAction {
    ShardAction::Settled { tag, result }
}

/// Returns the encoded size of a claim in bytes. A claim that cannot be encoded counts as larger
/// than any segment, but small enough that sums of sizes do not overflow.
fn encoded_size(claim: &Claim) -> usize {
    postcard::to_allocvec(claim).map_or(usize::MAX / 4096, |bytes| bytes.len())
}
