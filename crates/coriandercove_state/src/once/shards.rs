//! The shards of an entry, and the calls and queries that wait for them.

use std::sync::Arc;

use coriandercove_base::RequestId;
use coriandercove_base::rng::random_id;

use super::call_table::{OnceCallTable, PendingRead, ReadPurpose, ShardId};
use super::{Action, StoreOp};
use crate::claim::{Change, KeyHash, Shard, ShardAction, ShardSettings, shard_of, shard_prefix};
use crate::store_call::StoreReply;

/// Tag of changes whose result is not awaited. The tag of a claim is the id of its request, which
/// is random and never zero.
pub(super) const BACKGROUND: u128 = 0;

impl OnceCallTable {
    pub(super) fn shard_id(&self, service: Arc<str>, key: KeyHash) -> ShardId {
        (service, shard_of(key, self.settings.shards))
    }

    pub(super) fn shard(&mut self, id: &ShardId) -> &mut Shard {
        let settings = &self.settings;
        let rng = &mut self.rng;
        self.shards.entry(id.clone()).or_insert_with(|| {
            let seed = random_id(rng);
            let settings = ShardSettings {
                retention: settings.retention,
                write_gap: settings.write_gap,
                segment_bytes: settings.segment_bytes,
                ..ShardSettings::new(shard_prefix(&id.0, id.1))
            };
            Shard::new(settings, coriandercove_base::rng::seeded(seed as u64))
        })
    }

    pub(super) fn shard_of_call(&self, req: RequestId) -> Option<ShardId> {
        let request = &self.calls.get(&req)?.request;
        Some(self.shard_id(request.service.clone(), request.key?.key))
    }

    /// Submits a change to this entry's own shard, without forwarding.
    pub(super) fn submit_locally(&mut self, id: &ShardId, tag: u128, change: Change) {
        let now = self.now;
        let actions = self.shard(id).submit(now, tag, change);
        self.carry_out(id, actions);
    }

    /// Withdraws the claim of a call. Returns `false` if it may have been or may be written.
    pub(super) fn withdraw(&mut self, req: RequestId) -> bool {
        let may_be_written_elsewhere = self
            .calls
            .get(&req)
            .is_some_and(|c| c.may_be_written_elsewhere);
        if self.forwards.is_forwarded(req) {
            return false;
        }
        match self.shard_of_call(req) {
            Some(id) if !may_be_written_elsewhere => self.shard(&id).withdraw(req),
            _ => false,
        }
    }

    pub(super) fn on_store(&mut self, op: StoreOp, reply: StoreReply) {
        let Some(id) = self.ops.remove(&op) else {
            return;
        };
        let now = self.now;
        let actions = self.shard(&id).on_store(now, reply);
        self.carry_out(&id, actions);
    }

    /// Carries out the actions of a shard: passes on its store calls and handles its results.
    fn carry_out(&mut self, id: &ShardId, actions: Vec<ShardAction>) {
        for action in actions {
            match action {
                ShardAction::Store(call) => {
                    let op = self.next_op;
                    self.next_op += 1;
                    self.ops.insert(op, id.clone());
                    self.actions.push(Action::Store { op, call });
                }
                ShardAction::Settled { tag, .. } if tag == BACKGROUND => {}
                ShardAction::Settled { tag, result } => {
                    if !self.answer_if_received(tag, &result) {
                        self.on_claimed(tag, result);
                    }
                }
                ShardAction::Refreshed { up_to, is_read } => self.on_refreshed(id, up_to, is_read),
            }
        }
    }

    fn on_refreshed(&mut self, id: &ShardId, up_to: u64, is_read: bool) {
        let is_ended = |r: &PendingRead| r.shard == *id && r.number <= up_to;
        let (ended, waiting) = std::mem::take(&mut self.pending_reads)
            .into_iter()
            .partition(is_ended);
        self.pending_reads = waiting;
        for reading in ended {
            match reading.purpose {
                ReadPurpose::Query(key) => self.on_query_read(reading.req, id, key, is_read),
                ReadPurpose::Call => self.on_read_back(reading.req, is_read),
            }
        }
    }

    /// Refreshes a shard, after which the call or query `req` proceeds.
    pub(super) fn refresh_shard(&mut self, req: RequestId, id: &ShardId, purpose: ReadPurpose) {
        let now = self.now;
        let (number, actions) = self.shard(id).refresh(now);
        let shard = id.clone();
        self.pending_reads.push(PendingRead {
            req,
            shard,
            number,
            purpose,
        });
        self.carry_out(id, actions);
    }

    pub(super) fn tick(&mut self) {
        self.handle_due_calls();
        let now = self.now;
        let mut ids: Vec<_> = self.shards.keys().cloned().collect();
        ids.sort_unstable();
        for id in ids {
            let actions = self.shard(&id).tick(now);
            self.carry_out(&id, actions);
        }
    }
}
