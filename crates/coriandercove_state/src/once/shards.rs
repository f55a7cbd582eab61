//! The shards of an entry, and what waits for them.

use std::sync::Arc;

use coriandercove_base::RequestId;
use coriandercove_base::rng::random_id;

use super::call::Phase;
use super::entry::{OnceEntry, Query, ShardId, status_of};
use super::{Action, KeyStatus, StoreOp};
use crate::claim::{
    Change, ClaimState, KeyHash, Shard, ShardAction, ShardSettings, shard_of, shard_prefix,
};
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
                retention_ms: settings.retention_ms,
                write_gap: settings.write_gap,
                segment_bytes: settings.segment_bytes,
                ..ShardSettings::new(shard_prefix(&id.0, id.1))
            };
            Shard::new(settings, coriandercove_base::rng::seeded(seed as u64))
        })
    }

    fn shard_of_call(&self, req: RequestId) -> Option<ShardId> {
        let request = &self.calls.get(&req)?.request;
        Some(self.shard_id(request.service.clone(), request.key?.key))
    }

    /// Submits a change to the shard of the call's key.
    pub(super) fn submit(&mut self, req: RequestId, tag: u128, change: Change) {
        let Some(id) = self.shard_of_call(req) else {
            return;
        };
        let now = self.now;
        let actions = self.shard(&id).submit(now, tag, change);
        self.on_shard(&id, actions);
    }

    /// Takes back the claim of a call; `false` if it may have been written.
    pub(super) fn withdraw(&mut self, req: RequestId) -> bool {
        match self.shard_of_call(req) {
            Some(id) => self.shard(&id).withdraw(req),
            None => true,
        }
    }

    /// Reads the claims of the call's shard anew.
    pub(super) fn read_back(&mut self, req: RequestId) {
        if let Some(id) = self.shard_of_call(req) {
            self.refresh(&id);
        }
    }

    fn refresh(&mut self, id: &ShardId) {
        let now = self.now;
        let actions = self.shard(id).refresh(now);
        self.on_shard(id, actions);
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
                ShardAction::Settled { tag, result } => self.on_claimed(tag, result),
                ShardAction::Refreshed(is_read) => self.on_refreshed(id, is_read),
            }
        }
    }

    fn on_refreshed(&mut self, id: &ShardId, is_read: bool) {
        let (now, later) = std::mem::take(&mut self.queries)
            .into_iter()
            .partition(|q| q.shard == *id);
        self.queries = later;
        for query in now {
            self.answer(&query, is_read);
        }
        let mut waiting: Vec<_> = self
            .calls
            .iter()
            .filter_map(|(req, call)| match call.phase {
                Phase::Reading { ticket } => Some((*req, ticket)),
                _ => None,
            })
            .filter(|(req, _)| self.shard_of_call(*req).as_ref() == Some(id))
            .collect();
        // The order of a hash map differs between runs, which a seed must not.
        waiting.sort_unstable();
        for (req, ticket) in waiting {
            self.on_read_back(req, ticket, is_read);
        }
    }

    pub(super) fn on_query(&mut self, req: RequestId, service: Arc<str>, key: KeyHash) {
        let shard = self.shard_id(service, key);
        let query = Query { req, shard, key };
        let claim = self.shard(&query.shard).lookup(key);
        let is_final = claim.is_some_and(|c| matches!(c.state, ClaimState::Done { .. }));
        if is_final || self.queries.len() >= self.settings.max_calls {
            return self.answer(&query, false);
        }
        let id = query.shard.clone();
        self.queries.push(query);
        self.refresh(&id);
    }

    fn answer(&mut self, query: &Query, is_read: bool) {
        let claim = self.shard(&query.shard).lookup(query.key);
        let status = match claim {
            Some(claim) => status_of(claim),
            None if is_read => KeyStatus::NotFound,
            None => KeyStatus::StoreUnavailable,
        };
        let req = query.req;
        self.out.push(Action::Status { req, status });
    }

    pub(super) fn tick(&mut self) {
        self.tick_calls();
        let (now, wall_ms) = (self.now, self.wall_ms);
        let mut ids: Vec<_> = self.shards.keys().cloned().collect();
        ids.sort_unstable();
        for id in ids {
            let actions = self.shard(&id).tick(now, wall_ms);
            self.on_shard(&id, actions);
        }
    }
}
