//! The shards of an entry, and what waits for them.

use std::sync::Arc;

use coriandercove_base::RequestId;
use coriandercove_base::rng::random_id;

use super::entry::{OnceEntry, Reader, Reading, ShardId};
use super::{Action, StoreOp};
use crate::claim::{Change, KeyHash, Shard, ShardAction, ShardSettings, shard_of, shard_prefix};
use crate::store_call::StoreReply;

/// Tag of changes whose result nobody waits for. Request ids are random and never zero.
pub(super) const BACKGROUND: u128 = 0;

impl OnceEntry {
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

    /// Submits a change to a shard of this entry.
    pub(super) fn submit_here(&mut self, id: &ShardId, tag: u128, change: Change) {
        let now = self.now;
        let actions = self.shard(id).submit(now, tag, change);
        self.on_shard(id, actions);
    }

    /// Takes back the claim of a call; `false` if it may have been written.
    pub(super) fn withdraw(&mut self, req: RequestId) -> bool {
        let is_elsewhere = self.calls.get(&req).is_some_and(|c| c.is_elsewhere);
        if self.forwards.has(req) {
            return false;
        }
        match self.shard_of_call(req) {
            Some(id) if !is_elsewhere => self.shard(&id).withdraw(req),
            _ => false,
        }
    }

    pub(super) fn on_store(&mut self, op: StoreOp, reply: StoreReply) {
        let Some(id) = self.ops.remove(&op) else {
            return;
        };
        let now = self.now;
        let actions = self.shard(&id).on_store(now, reply);
        self.on_shard(&id, actions);
    }

    fn on_shard(&mut self, id: &ShardId, actions: Vec<ShardAction>) {
        for action in actions {
            match action {
                ShardAction::Store(call) => {
                    let op = self.next_op;
                    self.next_op += 1;
                    self.ops.insert(op, id.clone());
                    self.out.push(Action::Store { op, call });
                }
                ShardAction::Settled { tag, .. } if tag == BACKGROUND => {}
                ShardAction::Settled { tag, result } => {
                    if !self.is_foreign(tag, &result) {
                        self.on_claimed(tag, result);
                    }
                }
                ShardAction::Refreshed { up_to, is_read } => self.on_refreshed(id, up_to, is_read),
            }
        }
    }

    fn on_refreshed(&mut self, id: &ShardId, up_to: u64, is_read: bool) {
        let is_ended = |r: &Reading| r.shard == *id && r.number <= up_to;
        let (ended, waiting) = std::mem::take(&mut self.readings)
            .into_iter()
            .partition(is_ended);
        self.readings = waiting;
        for reading in ended {
            match reading.reader {
                Reader::Query(key) => self.on_query_read(reading.req, id, key, is_read),
                Reader::Call => self.on_read_back(reading.req, is_read),
            }
        }
    }

    /// Reads the shard anew for a call or a query.
    pub(super) fn read(&mut self, req: RequestId, id: &ShardId, reader: Reader) {
        let now = self.now;
        let (number, actions) = self.shard(id).refresh(now);
        let shard = id.clone();
        self.readings.push(Reading {
            req,
            shard,
            number,
            reader,
        });
        self.on_shard(id, actions);
    }

    pub(super) fn tick(&mut self) {
        self.tick_calls();
        let now = self.now;
        let mut ids: Vec<_> = self.shards.keys().cloned().collect();
        ids.sort_unstable();
        for id in ids {
            let actions = self.shard(&id).tick(now);
            self.on_shard(&id, actions);
        }
    }
}
