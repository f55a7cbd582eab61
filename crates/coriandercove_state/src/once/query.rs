//! `GET /v1/requests/{key}`: what became of a key.
//!
//! A query changes nothing about a call. In particular it does not burn a ticket, as a repeat
//! may do, but it records the answer or the loss that it learns of.

use std::sync::Arc;

use coriandercove_base::{RequestId, TicketId};

use super::entry::{OnceEntry, Reader, ShardId, done_state, status_of};
use super::shards::BACKGROUND;
use super::{Action, KeyStatus};
use crate::claim::{Change, ClaimState, KeyHash};
use crate::ticket::TicketReply;

/// A query that waits for an agent.
#[derive(Debug)]
pub(super) struct Peek {
    shard: ShardId,
    key: KeyHash,
    ticket: TicketId,
}

impl OnceEntry {
    pub(super) fn on_query(&mut self, req: RequestId, service: Arc<str>, key: KeyHash) {
        let shard = self.shard_id(service, key);
        let claim = self.shard(&shard).lookup(key);
        if let Some(claim) = claim
            && matches!(claim.state, ClaimState::Done { .. })
        {
            let status = status_of(claim);
            self.out.push(Action::Status { req, status });
        } else if self.readings.len() + self.peeks.len() >= self.settings.max_calls {
            let status = KeyStatus::Overloaded;
            self.out.push(Action::Status { req, status });
        } else {
            self.read(req, &shard, Reader::Query(key));
        }
    }

    /// Goes on after the claims were read; `is_read` tells whether the store could be reached.
    pub(super) fn on_query_read(
        &mut self,
        req: RequestId,
        shard: &ShardId,
        key: KeyHash,
        is_read: bool,
    ) {
        let status = match self.shard(shard).lookup(key).cloned() {
            Some(claim) if claim.state == ClaimState::Open => {
                let ticket = claim.ticket;
                let peek = Peek {
                    shard: shard.clone(),
                    key,
                    ticket: ticket.id,
                };
                self.peeks.insert(req, peek);
                self.out.push(Action::Peek { req, ticket });
                return;
            }
            // A claim in memory that is not final may have been taken over since.
            Some(claim) if is_read || matches!(claim.state, ClaimState::Done { .. }) => {
                status_of(&claim)
            }
            Some(_) => KeyStatus::Open,
            None if is_read => KeyStatus::NotFound,
            None => KeyStatus::StoreUnavailable,
        };
        self.out.push(Action::Status { req, status });
    }

    pub(super) fn on_peeked(&mut self, req: RequestId, reply: Option<TicketReply>) {
        let Some(peek) = self.peeks.remove(&req) else {
            return;
        };
        let (state, status) = match reply {
            Some(TicketReply::Done(answer)) => (Some(done_state(&answer)), KeyStatus::Done(answer)),
            Some(TicketReply::Unknown(_)) => (Some(ClaimState::Unknown), KeyStatus::Unknown),
            // A burned ticket may have been replaced since the claim was read.
            Some(TicketReply::Running | TicketReply::NotRun(_)) | None => (None, KeyStatus::Open),
        };
        if let Some(state) = state {
            let change = Change::Record {
                key: peek.key,
                ticket: peek.ticket,
                state,
                at_ms: self.wall_ms,
            };
            self.submit_to(peek.shard, BACKGROUND, change);
        }
        self.out.push(Action::Status { req, status });
    }
}
