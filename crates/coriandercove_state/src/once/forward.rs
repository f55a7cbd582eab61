//! Forwarding of changes to the entry that usually writes their shard.
//!
//! Forwarding reduces the number of entries that write the same object, and with it the conflicts.
//! It is only an optimisation: changes are idempotent and writes conditional, so any entry may
//! write a change, and two entries may both write it. A forwarded change without a result may be
//! written at any later time. Its request is therefore never refused as having no claim.

use std::collections::HashMap;
use std::sync::Arc;

use coriandercove_base::hash::{hash64, rendezvous};
use coriandercove_base::rng::random_id;
use coriandercove_base::{NodeId, RequestId};

use super::call_table::{OnceCallTable, ShardId};
use super::shards::BACKGROUND;
use super::{Action, ForwardId};
use crate::claim::{Change, ChangeResult};

/// A change that was forwarded to another entry and has no result yet.
#[derive(Debug)]
struct ForwardedChange {
    tag: u128,
    shard: ShardId,
    change: Change,
}

/// The forwarded changes in flight, to and from other entries.
#[derive(Debug, Default)]
pub(super) struct Forwards {
    /// Name of this entry. Nothing is forwarded until it is known.
    own_name: Option<NodeId>,
    live: Arc<[NodeId]>,
    /// Cache of the usual writer of each shard, `None` for this entry. Cleared when the live
    /// entries change.
    writers: HashMap<ShardId, Option<NodeId>>,
    sent: HashMap<ForwardId, ForwardedChange>,
    /// Changes that other entries forwarded to this one, by tag: the entry and its number for the
    /// change.
    received: HashMap<u128, (NodeId, ForwardId)>,
    next: ForwardId,
}

impl Forwards {
    /// Returns the entry that usually writes the shard, or `None` if it is this one.
    fn remote_writer(&mut self, shard: &ShardId) -> Option<NodeId> {
        let own_name = self.own_name.as_ref()?;
        if let Some(writer) = self.writers.get(shard) {
            return writer.clone();
        }
        let key = hash64(&[shard.0.as_bytes(), &shard.1.to_le_bytes()]);
        let best = rendezvous(key, &self.live, 1)
            .first()
            .map(|i| &self.live[*i]);
        let writer = best.filter(|w| *w != own_name).cloned();
        self.writers.insert(shard.clone(), writer.clone());
        writer
    }

    /// Returns whether a change with this tag was forwarded and has no result yet.
    pub fn is_forwarded(&self, tag: u128) -> bool {
        self.sent.values().any(|s| s.tag == tag)
    }
}

impl OnceCallTable {
    pub(super) fn on_entries(&mut self, me: NodeId, live: Arc<[NodeId]>) {
        self.forwards.own_name = Some(me);
        self.forwards.live = live;
        self.forwards.writers.clear();
    }

    /// Submits a change to the shard of a call.
    pub(super) fn submit(&mut self, req: RequestId, tag: u128, change: Change) {
        if let Some(shard) = self.shard_of_call(req) {
            self.submit_to(shard, tag, change);
        }
    }

    /// Submits a change to a shard: forwards it if its usual writer is another entry.
    pub(super) fn submit_to(&mut self, shard: ShardId, tag: u128, change: Change) {
        let has_room = self.forwards.sent.len() < self.settings.max_calls;
        match self.forwards.remote_writer(&shard).filter(|_| has_room) {
            None => self.submit_locally(&shard, tag, change),
            Some(to) => {
                let id = self.forwards.next;
                self.forwards.next += 1;
                let service = shard.0.clone();
                let sent = ForwardedChange {
                    tag,
                    shard,
                    change: change.clone(),
                };
                self.forwards.sent.insert(id, sent);
                self.actions.push(Action::Forward {
                    to,
                    id,
                    service,
                    change,
                });
            }
        }
    }

    /// Handles the result of a forwarded change. If the other entry did not write it, or did not
    /// answer, the change is submitted to this entry's own shard.
    pub(super) fn on_forward_ended(&mut self, id: ForwardId, result: Option<ChangeResult>) {
        let Some(sent) = self.forwards.sent.remove(&id) else {
            return;
        };
        let is_background = sent.tag == BACKGROUND;
        match result {
            None | Some(ChangeResult::Unavailable | ChangeResult::Overloaded) => {
                if result.is_none()
                    && let Some(call) = self.calls.get_mut(&sent.tag)
                {
                    call.may_be_written_elsewhere = true;
                }
                if is_background || self.keep_if_unanswered(sent.tag) {
                    self.submit_locally(&sent.shard, sent.tag, sent.change);
                }
            }
            Some(result) if !is_background => self.on_claimed(sent.tag, result),
            Some(_) => {}
        }
    }

    /// Returns whether a call still waits for its claim. Removes a call whose caller was answered
    /// meanwhile.
    fn keep_if_unanswered(&mut self, req: RequestId) -> bool {
        let replied = self.calls.get(&req).is_none_or(|c| c.replied);
        if replied {
            self.remove_call(req);
        }
        !replied
    }

    pub(super) fn on_forwarded(
        &mut self,
        from: NodeId,
        id: ForwardId,
        service: Arc<str>,
        change: Change,
    ) {
        let tag = random_id(&mut self.rng);
        self.forwards.received.insert(tag, (from, id));
        let shard = self.shard_id(service, change.key());
        self.submit_locally(&shard, tag, change);
    }

    /// Sends the result of a change back to the entry that forwarded it. Returns `false` if the
    /// change was submitted by this entry.
    pub(super) fn answer_if_received(&mut self, tag: u128, result: &ChangeResult) -> bool {
        let Some((to, id)) = self.forwards.received.remove(&tag) else {
            return false;
        };
        let result = result.clone();
        self.actions.push(Action::ForwardResult { to, id, result });
        true
    }
}
