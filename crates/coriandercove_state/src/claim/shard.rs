//! One shard of claims at one entry: group commit by conditional update.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use coriandercove_base::rng::{Rng, random_id};
use coriandercove_base::{Time, data};

use super::index::{Verdict, View};
use super::load::{Loader, Step};
use super::segment::{self, MAX_SEGMENT_BYTES, Segment};
use super::{Change, ChangeResult, Claim, KeyHash};
use crate::fault::{self, Fault};
use crate::store_call::{StoreCall, Version};

/// Room that is kept free in a segment for longer lengths and ids of its encoding, in bytes.
const SEGMENT_OVERHEAD: usize = 64;
/// Least time between two looks for old segments, so that many entries that look for them
/// take few of the store's writes.
const CLEAN_GAP: Duration = Duration::from_secs(1);

data! {
    /// Settings of a [`Shard`].
    #[derive(Eq)]
    pub struct ShardSettings {
        /// Start of the names of the shard's objects; see [`super::shard_prefix`].
        pub prefix: String,
        /// Least time for which claims are kept.
        pub retention: Duration,
        /// Least time between two writes.
        pub write_gap: Duration,
        /// Wait before the store is tried again after a failure; doubles up to 2 s.
        pub retry: Duration,
        /// Size in bytes at which a segment is sealed, at most [`MAX_SEGMENT_BYTES`].
        pub segment_bytes: usize,
        /// Changes that may wait.
        pub max_waiting: usize,
    }
}

impl ShardSettings {
    /// The defaults for the shard with these object names.
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

/// What the owner does for a [`Shard`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShardAction {
    /// Make this call and report its result with [`Shard::on_store`]. There is at most one
    /// call at a time.
    Store(StoreCall),
    /// A submitted change has this result.
    Settled {
        /// Tag of the change.
        tag: u128,
        /// The result.
        result: ChangeResult,
    },
    /// The refreshes up to this number ended.
    Refreshed {
        /// Number of the last of them; see [`Shard::refresh`].
        up_to: u64,
        /// Whether the store could be read.
        is_read: bool,
    },
}

#[derive(Debug)]
pub(super) struct Waiting {
    pub tag: u128,
    pub change: Change,
    /// The segment and version that an unanswered write of this change was based on. While
    /// the segment still has that version, the write may yet take effect.
    pub unsettled: Option<(u64, Version)>,
}

/// A write of the active segment under way.
#[derive(Debug, Default)]
pub(super) struct Write {
    pub segment: Segment,
    pub bytes: usize,
    pub batch: Vec<Waiting>,
    /// The claims that the batch adds or changes.
    pub changed: Vec<Claim>,
}

#[derive(Debug)]
pub(super) enum Op {
    List,
    Get(u64),
    Create(u64),
    Write(Write),
    Seal(Segment),
    Delete(u64),
    DeleteStray(u64),
}

/// Numbers of the refreshes that were asked for, begun and ended.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Refresh {
    pub wanted: u64,
    pub begun: u64,
    pub done: u64,
}

impl Refresh {
    pub const fn is_open(self) -> bool {
        self.done < self.wanted
    }
}

/// The claims of one shard as one entry sees them, and the changes that wait to be written.
///
/// Any number of entries may work on the same shard. Each write is conditional on the version
/// of the active segment, so a writer that has not seen all claims is refused and reads again.
pub struct Shard {
    pub(super) settings: ShardSettings,
    pub(super) rng: Rng,
    pub(super) view: View,
    pub(super) loader: Loader,
    pub(super) op: Option<Op>,
    pub(super) queue: VecDeque<Waiting>,
    pub(super) refresh: Refresh,
    last_write: Option<Time>,
    next_clean: Time,
    pub(super) retry_at: Time,
    pub(super) retry: Duration,
    pub(super) malformed: u64,
    pub(super) conflicts: u64,
}

impl Shard {
    /// A shard that has not been read yet. `rng` must be seeded differently for each run.
    #[must_use]
    pub fn new(settings: ShardSettings, rng: Rng) -> Self {
        Self {
            retry: settings.retry,
            settings,
            rng,
            view: View::default(),
            loader: Loader::new(),
            op: None,
            queue: VecDeque::new(),
            refresh: Refresh::default(),
            last_write: None,
            next_clean: Time::ZERO,
            retry_at: Time::ZERO,
            malformed: 0,
            conflicts: 0,
        }
    }

    /// The claim of `key` in memory. It may be out of date; a change based on it is refused
    /// with the current claim.
    #[must_use]
    pub fn lookup(&self, key: KeyHash) -> Option<&Claim> {
        self.view.get(key)
    }

    /// Number of claims in memory.
    #[must_use]
    pub fn claims(&self) -> usize {
        self.view.len()
    }

    /// Number of changes that wait to be written.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of objects that could not be decoded.
    #[must_use]
    pub const fn malformed(&self) -> u64 {
        self.malformed
    }

    /// Number of refused conditional writes.
    #[must_use]
    pub const fn conflicts(&self) -> u64 {
        self.conflicts
    }

    /// Queues a change. Its result comes as [`ShardAction::Settled`] with the same tag.
    pub fn submit(&mut self, now: Time, tag: u128, change: Change) -> Vec<ShardAction> {
        if self.queue.len() >= self.settings.max_waiting || change.is_too_large() {
            return vec![settled(tag, ChangeResult::Overloaded)];
        }
        if now < self.retry_at && may_fail(&change) {
            return vec![settled(tag, self.without_store(&change))];
        }
        self.queue.push_back(Waiting {
            tag,
            change,
            unsettled: None,
        });
        self.advance(now)
    }

    /// Result of a change while the store cannot be reached: memory may already decide it.
    pub(super) fn without_store(&self, change: &Change) -> ChangeResult {
        match self.view.judge(change) {
            Verdict::Refused(claim) => ChangeResult::Refused(claim),
            Verdict::Applied => ChangeResult::Written,
            Verdict::Write(_) => ChangeResult::Unavailable,
        }
    }

    /// Takes a change back. Returns whether it was certainly not written and never will be;
    /// otherwise the change stays and is settled later.
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

    /// Reads the claims that other entries wrote. Returns the number of this refresh, which
    /// ends with a [`ShardAction::Refreshed`] for this or a higher number.
    pub fn refresh(&mut self, now: Time) -> (u64, Vec<ShardAction>) {
        self.refresh.wanted += 1;
        (self.refresh.wanted, self.advance(now))
    }

    /// Goes on with waiting work, and removes or seals segments whose claims are too old.
    pub fn tick(&mut self, now: Time) -> Vec<ShardAction> {
        let mut actions = self.advance(now);
        if self.op.is_none() && self.loader.is_ready() && now >= self.next_clean {
            self.next_clean = now + CLEAN_GAP.min(self.settings.retention / 8);
            actions.extend(self.clean(now));
        }
        actions
    }

    /// The time at which [`Shard::tick`] next has something to do, apart from removing
    /// segments, for which a tick every few seconds is enough.
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
        !self.queue.is_empty() || self.refresh.is_open()
    }

    fn next_write(&self) -> Time {
        let gap = self.last_write.map(|t| t + self.settings.write_gap);
        gap.unwrap_or_default().max(self.retry_at)
    }

    /// Starts the next store call if none is under way and there is work for one.
    pub(super) fn advance(&mut self, now: Time) -> Vec<ShardAction> {
        let mut actions = Vec::new();
        if self.op.is_some() || !self.has_work() {
            return actions;
        }
        if now < self.retry_at {
            return actions;
        }
        if self.refresh.is_open() && self.refresh.begun == self.refresh.done {
            self.refresh.begun = self.refresh.wanted;
            self.loader.restart(&self.view);
        }
        let step = self.loader.next();
        if step == Step::Ready {
            actions.extend(self.end_refresh());
            if now >= self.next_write() {
                self.commit(now, &mut actions);
            }
            if self.op.is_none() && self.refresh.is_open() {
                actions.extend(self.advance(now));
            }
        } else {
            actions.push(self.load(step));
        }
        actions
    }

    fn end_refresh(&mut self) -> Option<ShardAction> {
        if !self.refresh.is_open() {
            return None;
        }
        self.refresh.done = self.refresh.begun;
        Some(ShardAction::Refreshed {
            up_to: self.refresh.done,
            is_read: true,
        })
    }

    fn load(&mut self, step: Step) -> ShardAction {
        let prefix = &self.settings.prefix;
        let (op, call) = match step {
            Step::Get(number) => {
                let name = segment::name_of(prefix, number);
                (Op::Get(number), StoreCall::Get { name })
            }
            Step::Create(number) => {
                let name = segment::name_of(prefix, number);
                let empty = Segment {
                    write_id: random_id(&mut self.rng),
                    ..Segment::default()
                };
                let value = empty.encode().unwrap_or_default();
                (Op::Create(number), StoreCall::Create { name, value })
            }
            Step::List | Step::Ready => {
                let prefix = prefix.clone();
                (Op::List, StoreCall::List { prefix })
            }
        };
        self.op = Some(op);
        ShardAction::Store(call)
    }

    /// Writes the waiting changes that fit, one for each key.
    fn commit(&mut self, now: Time, actions: &mut Vec<ShardAction>) {
        let Some(active) = self.view.active.clone() else {
            self.loader.restart(&self.view);
            return;
        };
        let mut write = Write {
            segment: active.segment,
            bytes: active.bytes,
            ..Write::default()
        };
        let is_full = self.take_batch(&mut write, actions);
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
            // Only a claim larger than a whole segment gets here.
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

    /// Takes the changes for the next write out of the queue and applies them to its segment.
    /// Changes that need no write are settled. Returns whether a change did not fit.
    fn take_batch(&mut self, write: &mut Write, actions: &mut Vec<ShardAction>) -> bool {
        let limit = self.settings.segment_bytes.min(MAX_SEGMENT_BYTES);
        let limit = limit.saturating_sub(SEGMENT_OVERHEAD);
        let is_empty = write.segment.claims.is_empty();
        let position = self.view.position();
        let mut keys = HashSet::new();
        let mut rest = VecDeque::new();
        let mut is_full = false;
        for mut waiting in std::mem::take(&mut self.queue) {
            if waiting.unsettled != position {
                // The segment has changed since, so that write can no longer take effect.
                waiting.unsettled = None;
            }
            if !keys.insert(waiting.change.key()) {
                rest.push_back(waiting);
                continue;
            }
            match self.view.judge(&waiting.change) {
                Verdict::Applied => actions.push(settled(waiting.tag, ChangeResult::Written)),
                Verdict::Refused(claim) => {
                    actions.push(settled(waiting.tag, ChangeResult::Refused(claim)));
                }
                Verdict::Write(claim) => {
                    let bytes = write.bytes + size_of_claim(&claim);
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

    /// Deletes one object that is no longer needed, or seals an old active segment.
    ///
    /// A segment is old if this entry has known it, unchanged, for the whole retention on its
    /// own monotonic clock. The wall clocks of entries decide nothing: an entry whose clock is
    /// wrong would delete claims that are in use.
    fn clean(&mut self, now: Time) -> Option<ShardAction> {
        let is_old = |since: Time| now > since + self.settings.retention;
        let stray = self.loader.stray.iter().next();
        let oldest = self.view.sealed.iter().next();
        let (op, number, version) = match (stray, oldest) {
            (Some((&n, &version)), _) => (Op::DeleteStray(n), n, version),
            (None, Some((&n, s))) if is_old(s.since) => (Op::Delete(n), n, s.version),
            _ => {
                let active = self.view.active.as_ref()?;
                let is_due = !active.segment.claims.is_empty() && is_old(active.since);
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

/// Whether a change is given up when the store is down. Results of calls wait instead.
pub(super) const fn may_fail(change: &Change) -> bool {
    !matches!(change, Change::Record { .. })
}

pub(super) const fn settled(tag: u128, result: ChangeResult) -> ShardAction {
    ShardAction::Settled { tag, result }
}

/// Bytes that a claim takes in a segment.
fn size_of_claim(claim: &Claim) -> usize {
    postcard::to_allocvec(claim).map_or(usize::MAX / 4096, |bytes| bytes.len())
}
