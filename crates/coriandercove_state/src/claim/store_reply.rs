//! Handles the results of store calls for a shard.

use std::time::Duration;

use coriandercove_base::Time;

use super::ChangeResult;
use super::segment::{self, Segment};
use super::shard::{
    Op, PendingWrite, QueuedChange, Shard, ShardAction, fails_without_store, settled,
};
use super::view::{ActiveSegment, SealedSegment};
use crate::fault::{self, Fault};
use crate::store_call::{StoreReply, Version};

/// Longest wait before the store is called again after a failure.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

impl Shard {
    /// Handles the result of the last [`ShardAction::Store`].
    pub fn on_store(&mut self, now: Time, reply: StoreReply) -> Vec<ShardAction> {
        let Some(op) = self.op.take() else {
            return Vec::new();
        };
        let is_read = matches!(op, Op::List | Op::Get(_));
        let mut failed = reply == StoreReply::Unavailable || (is_read && reply == StoreReply::Lost);
        let mut actions = match op {
            Op::Write(write) => self.on_write(now, write, &reply),
            op => {
                failed |= !self.on_other_reply(now, op, reply);
                Vec::new()
            }
        };
        if failed {
            actions.extend(self.on_failure(now));
        } else {
            self.retry_delay = self.settings.retry;
        }
        actions.extend(self.advance(now));
        actions
    }

    /// Handles the result of a call other than a write of claims. Returns `false` if the object
    /// read is malformed.
    fn on_other_reply(&mut self, now: Time, op: Op, reply: StoreReply) -> bool {
        match (op, reply) {
            (Op::List, StoreReply::Names(names)) => self.on_names(&names),
            (Op::Get(number), StoreReply::Value { version, value }) => {
                match Segment::decode(&value) {
                    Ok(segment) => {
                        let found = Some((version, value.len(), segment));
                        self.loader.on_get(&mut self.view, now, number, found);
                    }
                    // Its claims are unknown, so the shard is not loaded and accepts no new claims.
                    Err(_) => {
                        self.malformed += 1;
                        return false;
                    }
                }
            }
            (Op::Get(number), StoreReply::Absent) => {
                self.loader.on_get(&mut self.view, now, number, None);
            }
            (Op::Create(number), StoreReply::Written(version))
                if fault::is_on(Fault::CreateNotConfirmed) =>
            {
                let segment = Segment::default();
                let active = ActiveSegment {
                    number,
                    version,
                    segment,
                    bytes: 0,
                    first_seen: now,
                };
                self.loader.use_unconfirmed(&mut self.view, active);
            }
            (Op::Create(_), reply) if reply != StoreReply::Unavailable => self.loader.on_create(),
            (Op::Seal(segment), reply) => self.on_seal(now, segment, &reply),
            (Op::Delete(number), StoreReply::Deleted | StoreReply::Absent) => {
                self.view.retain(|n| n != number);
                self.view.rebuild();
            }
            (Op::DeleteStray(number), StoreReply::Deleted | StoreReply::Absent) => {
                self.loader.stray.remove(&number);
            }
            (Op::Delete(_) | Op::DeleteStray(_), StoreReply::Conflict) => {
                self.loader.restart(&self.view);
            }
            _ => {}
        }
        true
    }

    fn on_names(&mut self, names: &[String]) {
        let prefix = &self.settings.prefix;
        let mut numbers: Vec<u64> = names
            .iter()
            .filter_map(|name| segment::number_of(prefix, name))
            .collect();
        numbers.sort_unstable();
        numbers.dedup();
        self.loader.on_list(&mut self.view, &numbers);
    }

    fn on_seal(&mut self, now: Time, segment: Segment, reply: &StoreReply) {
        match (reply, self.view.active_version()) {
            (StoreReply::Unavailable, _) => return,
            (StoreReply::Written(version), Some((number, _))) => {
                let version = *version;
                let sealed = SealedSegment {
                    version,
                    segment,
                    first_seen: now,
                };
                self.view.set_sealed(number, sealed);
            }
            _ => {}
        }
        self.loader.restart(&self.view);
    }

    fn on_write(&mut self, now: Time, write: PendingWrite, reply: &StoreReply) -> Vec<ShardAction> {
        match reply {
            StoreReply::Written(version) => self.on_written(now, *version, write),
            StoreReply::Unavailable => self.requeue(write.batch),
            StoreReply::Conflict | StoreReply::Absent if fault::is_on(Fault::IgnoreConflict) => {
                self.loader.restart(&self.view);
                settle_all(&write.batch, &ChangeResult::Written)
            }
            StoreReply::Conflict | StoreReply::Absent => {
                // If the network duplicated the request, the first copy may have been written and
                // the second one refused. As for a lost answer, the segment must be read back to
                // find out.
                self.conflicts += 1;
                self.mark_unsettled(write.batch)
            }
            _ => self.on_write_lost(write.batch),
        }
    }

    fn on_written(&mut self, now: Time, version: Version, write: PendingWrite) -> Vec<ShardAction> {
        if let Some((number, _)) = self.view.active_version() {
            let active = ActiveSegment {
                number,
                version,
                segment: write.segment,
                bytes: write.bytes,
                first_seen: now,
            };
            self.view.update_active(active, write.changed);
        }
        settle_all(&write.batch, &ChangeResult::Written)
    }

    /// Handles a write without an answer. It may have taken effect, or may still take effect while
    /// the segment has the version that the write was based on. Reading the segment back, or
    /// another write to it, decides that.
    fn on_write_lost(&mut self, batch: Vec<QueuedChange>) -> Vec<ShardAction> {
        if fault::is_on(Fault::LostWriteIsFailure) {
            self.loader.restart(&self.view);
            return settle_all(&batch, &ChangeResult::Unavailable);
        }
        self.mark_unsettled(batch)
    }

    /// Queues the changes again as unsettled, and reads the active segment back.
    fn mark_unsettled(&mut self, mut batch: Vec<QueuedChange>) -> Vec<ShardAction> {
        let active_version = self.view.active_version();
        self.loader.restart(&self.view);
        for waiting in &mut batch {
            waiting.unsettled = active_version;
        }
        self.requeue(batch)
    }

    /// Puts the changes back at the front of the queue, in their order.
    fn requeue(&mut self, batch: Vec<QueuedChange>) -> Vec<ShardAction> {
        if !fault::is_on(Fault::DispatchBeforeDurable) {
            batch
                .into_iter()
                .rev()
                .for_each(|w| self.queue.push_front(w));
        }
        Vec::new()
    }

    /// Handles a failed store call: backs off, ends the refreshes as not read, and settles the
    /// queued changes that cannot have been written. Changes that may have been written and
    /// results of calls stay queued.
    fn on_failure(&mut self, now: Time) -> Vec<ShardAction> {
        self.retry_at = now + self.retry_delay;
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
        let mut actions = Vec::new();
        if self.refresh.is_pending() {
            self.refresh.started = self.refresh.requested;
            self.refresh.ended = self.refresh.requested;
            actions.push(ShardAction::Refreshed {
                up_to: self.refresh.ended,
                is_read: false,
            });
        }
        let is_kept = |w: &QueuedChange| w.unsettled.is_some() || !fails_without_store(&w.change);
        let (kept, abandoned) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(is_kept);
        self.queue = kept;
        for w in abandoned {
            actions.push(settled(w.tag, self.result_without_store(&w.change)));
        }
        actions
    }
}

fn settle_all(batch: &[QueuedChange], result: &ChangeResult) -> Vec<ShardAction> {
    batch
        .iter()
        .map(|w| settled(w.tag, result.clone()))
        .collect()
}
