//! Changes that are forwarded to the usual writer of their shard.
//!
//! Forwarding lets few entries write the same object. It is an optimisation: every change is
//! idempotent and every write conditional, so it does not matter who writes, or whether two
//! entries do. A forwarded change without a result may be written at any later time, so its
//! request is never refused as having no claim.

use std::collections::HashMap;
use std::sync::Arc;

use coriandercove_base::hash::{hash64, rendezvous};
use coriandercove_base::rng::random_id;
use coriandercove_base::{NodeId, RequestId};

use super::entry::{OnceEntry, ShardId};
use super::shards::BACKGROUND;
use super::{Action, ForwardId};
use crate::claim::{Change, ChangeResult};

/// A change that another entry has been asked to write.
#[derive(Debug)]
struct Sent {
    tag: u128,
    shard: ShardId,
    change: Change,
}

/// Changes on their way to and from other entries.
#[derive(Debug, Default)]
pub(super) struct Forwards {
    me: Option<NodeId>,
    live: Arc<[NodeId]>,
    /// Usual writers by shard, `None` for this entry. Emptied when the entries change.
    writers: HashMap<ShardId, Option<NodeId>>,
    sent: HashMap<ForwardId, Sent>,
    /// Changes of other entries, by tag.
    foreign: HashMap<u128, (NodeId, ForwardId)>,
    next: ForwardId,
}

impl Forwards {
    /// The entry that usually writes the shard, unless it is this one.
    fn writer(&mut self, shard: &ShardId) -> Option<NodeId> {
        let me = self.me.as_ref()?;
        if let Some(writer) = self.writers.get(shard) {
            return writer.clone();
        }
        let key = hash64(&[shard.0.as_bytes(), &shard.1.to_le_bytes()]);
        let best = rendezvous(key, &self.live, 1)
            .first()
            .map(|i| &self.live[*i]);
        let writer = best.filter(|w| *w != me).cloned();
        self.writers.insert(shard.clone(), writer.clone());
        writer
    }

    /// Whether the change of a call is with another entry.
    pub fn has(&self, tag: u128) -> bool {
        self.sent.values().any(|s| s.tag == tag)
    }
}

impl OnceEntry {
    pub(super) fn on_entries(&mut self, me: NodeId, live: Arc<[NodeId]>) {
        self.forwards.me = Some(me);
        self.forwards.live = live;
        self.forwards.writers.clear();
    }

    /// Has a change to the shard of a call written.
    pub(super) fn submit(&mut self, req: RequestId, tag: u128, change: Change) {
        if let Some(shard) = self.shard_of_call(req) {
            self.submit_to(shard, tag, change);
        }
    }

    /// Has a change to a shard written, by its usual writer if that is another entry.
    pub(super) fn submit_to(&mut self, shard: ShardId, tag: u128, change: Change) {
        let has_room = self.forwards.sent.len() < self.settings.max_calls;
        match self.forwards.writer(&shard).filter(|_| has_room) {
            None => self.submit_here(&shard, tag, change),
            Some(to) => {
                let id = self.forwards.next;
                self.forwards.next += 1;
                let service = shard.0.clone();
                let sent = Sent {
                    tag,
                    shard,
                    change: change.clone(),
                };
                self.forwards.sent.insert(id, sent);
                self.out.push(Action::Forward {
                    to,
                    id,
                    service,
                    change,
                });
            }
        }
    }

    /// Goes on after the other entry's answer, or writes the change here if it has none.
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
                    call.is_elsewhere = true;
                }
                if is_background || self.is_claim_wanted(sent.tag) {
                    self.submit_here(&sent.shard, sent.tag, sent.change);
                }
            }
            Some(result) if !is_background => self.on_claimed(sent.tag, result),
            Some(_) => {}
        }
    }

    /// Whether a call still waits for its claim. Forgets one that was answered meanwhile.
    fn is_claim_wanted(&mut self, req: RequestId) -> bool {
        let replied = self.calls.get(&req).is_none_or(|c| c.replied);
        if replied {
            self.end(req);
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
        self.forwards.foreign.insert(tag, (from, id));
        let shard = self.shard_id(service, change.key());
        self.submit_here(&shard, tag, change);
    }

    /// Passes the result of another entry's change back. Returns `false` if `tag` is an own
    /// change.
    pub(super) fn is_foreign(&mut self, tag: u128, result: &ChangeResult) -> bool {
        let Some((to, id)) = self.forwards.foreign.remove(&tag) else {
            return false;
        };
        let result = result.clone();
        self.out.push(Action::ForwardResult { to, id, result });
        true
    }
}
