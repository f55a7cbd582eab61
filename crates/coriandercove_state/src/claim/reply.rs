//! What the results of store calls mean for a shard.

use std::time::Duration;

use coriandercove_base::Time;

use super::ChangeResult;
use super::index::{Active, Sealed};
use super::segment::{self, Segment};
use super::shard::{Op, Shard, ShardAction, Waiting, Write, may_fail, settled};
use crate::fault::{self, Fault};
use crate::store_call::{StoreReply, Version};

/// Longest wait before the store is tried again after a failure.
const MAX_RETRY: Duration = Duration::from_secs(2);

impl Shard {
    /// Takes the result of the last [`ShardAction::Store`].
    pub fn on_store(&mut self, now: Time, reply: StoreReply) -> Vec<ShardAction> {
        let Some(op) = self.op.take() else {
            return Vec::new();
        };
        let is_read = matches!(op, Op::List | Op::Get(_));
        let mut failed = reply == StoreReply::Unavailable || (is_read && reply == StoreReply::Lost);
        let mut actions = match op {
            Op::Write(write) => self.on_write(now, write, &reply),
            op => {
                failed |= !self.on_other(now, op, reply);
                Vec::new()
            }
        };
        if failed {
            actions.extend(self.fail(now));
        } else {
            self.retry = self.settings.retry;
        }
        actions.extend(self.advance(now));
        actions
    }

    /// Takes the result of a call other than a write of claims. Returns `false` if the
    /// content of an object is malformed.
    fn on_other(&mut self, now: Time, op: Op, reply: StoreReply) -> bool {
        match (op, reply) {
            (Op::List, StoreReply::Names(names)) => self.on_names(&names),
            (Op::Get(number), StoreReply::Value { version, value }) => {
                match Segment::decode(&value) {
                    Ok(segment) => {
                        let found = Some((version, value.len(), segment));
                        self.loader.on_get(&mut self.view, now, number, found);
                    }
                    // Nothing is known of the claims in it, so the shard stays unloaded.
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
                let active = Active {
                    number,
                    version,
                    segment,
                    bytes: 0,
                    since: now,
                };
                self.loader.trust_created(&mut self.view, active);
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
        match (reply, self.view.position()) {
            (StoreReply::Unavailable, _) => return,
            (StoreReply::Written(version), Some((number, _))) => {
                let version = *version;
                let sealed = Sealed {
                    version,
                    segment,
                    since: now,
                };
                self.view.set_sealed(number, sealed);
            }
            _ => {}
        }
        self.loader.restart(&self.view);
    }

    fn on_write(&mut self, now: Time, write: Write, reply: &StoreReply) -> Vec<ShardAction> {
        match reply {
            StoreReply::Written(version) => self.on_written(now, *version, write),
            StoreReply::Unavailable => self.requeue(write.batch),
            StoreReply::Conflict | StoreReply::Absent if fault::is_on(Fault::IgnoreConflict) => {
                self.loader.restart(&self.view);
                settle_all(&write.batch, &ChangeResult::Written)
            }
            StoreReply::Conflict | StoreReply::Absent => {
                // If the request was doubled on its way, its first copy may have taken effect
                // and the second one met the result. Reading back tells, as for a lost answer.
                self.conflicts += 1;
                self.mark_unsettled(write.batch)
            }
            _ => self.on_write_lost(write.batch),
        }
    }

    fn on_written(&mut self, now: Time, version: Version, write: Write) -> Vec<ShardAction> {
        if let Some((number, _)) = self.view.position() {
            let active = Active {
                number,
                version,
                segment: write.segment,
                bytes: write.bytes,
                since: now,
            };
            self.view.update_active(active, write.changed);
        }
        settle_all(&write.batch, &ChangeResult::Written)
    }

    /// The write may have taken effect, or may still do so as long as the segment keeps its
    /// version. Reading the segment back, or another write to it, settles that.
    fn on_write_lost(&mut self, batch: Vec<Waiting>) -> Vec<ShardAction> {
        if fault::is_on(Fault::LostWriteIsFailure) {
            self.loader.restart(&self.view);
            return settle_all(&batch, &ChangeResult::Unavailable);
        }
        self.mark_unsettled(batch)
    }

    fn mark_unsettled(&mut self, mut batch: Vec<Waiting>) -> Vec<ShardAction> {
        let position = self.view.position();
        self.loader.restart(&self.view);
        for waiting in &mut batch {
            waiting.unsettled = position;
        }
        self.requeue(batch)
    }

    /// Puts the changes back in front of the queue, in their order.
    fn requeue(&mut self, batch: Vec<Waiting>) -> Vec<ShardAction> {
        if !fault::is_on(Fault::DispatchBeforeDurable) {
            batch
                .into_iter()
                .rev()
                .for_each(|w| self.queue.push_front(w));
        }
        Vec::new()
    }

    /// The store cannot be reached: gives up the changes that certainly were not written and that
    /// memory does not decide, except for results of calls, which wait.
    fn fail(&mut self, now: Time) -> Vec<ShardAction> {
        self.retry_at = now + self.retry;
        self.retry = (self.retry * 2).min(MAX_RETRY);
        let mut actions = Vec::new();
        if self.refresh.is_open() {
            self.refresh.begun = self.refresh.wanted;
            self.refresh.done = self.refresh.wanted;
            actions.push(ShardAction::Refreshed {
                up_to: self.refresh.done,
                is_read: false,
            });
        }
        let is_kept = |w: &Waiting| w.unsettled.is_some() || !may_fail(&w.change);
        let (kept, given_up) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(is_kept);
        self.queue = kept;
        for w in given_up {
            actions.push(settled(w.tag, self.without_store(&w.change)));
        }
        actions
    }
}

fn settle_all(batch: &[Waiting], result: &ChangeResult) -> Vec<ShardAction> {
    batch
        .iter()
        .map(|w| settled(w.tag, result.clone()))
        .collect()
}
