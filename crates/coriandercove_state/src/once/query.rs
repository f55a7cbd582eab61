//! `GET /v1/requests/{key}`: queries of the state of a key.
//!
//! A query does not affect whether a call runs. In particular it does not burn a ticket, as a
//! repeat of the request may do. It records an answer or an unknown outcome that the agent reports.

use std::sync::Arc;

use coriandercove_base::{RequestId, TicketId};

use super::call_table::{OnceCallTable, ReadPurpose, ShardId, done_state, status_of};
use super::shards::BACKGROUND;
use super::{Action, KeyStatus};
use crate::claim::{Change, ClaimState, KeyHash};
use crate::ticket::TicketReply;

/// A query that waits for the reply of an agent.
#[derive(Debug)]
pub(super) struct PendingPeek {
    shard: ShardId,
    key: KeyHash,
    ticket: TicketId,
}

impl OnceCallTable {
    pub(super) fn on_query(&mut self, req: RequestId, service: Arc<str>, key: KeyHash) {
        let shard = self.shard_id(service, key);
        let claim = self.shard(&shard).lookup(key);
        if let Some(claim) = claim
            && matches!(claim.state, ClaimState::Done { .. })
        {
            let status = status_of(claim);
            self.actions.push(Action::Status { req, status });
        } else if self.pending_reads.len() + self.pending_peeks.len() >= self.settings.max_calls {
            let status = KeyStatus::Overloaded;
            self.actions.push(Action::Status { req, status });
        } else {
            self.refresh_shard(req, &shard, ReadPurpose::Query(key));
        }
    }

    /// Proceeds with a query after the claims were read. `is_read` tells whether the store could be
    /// read.
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
                let peek = PendingPeek {
                    shard: shard.clone(),
                    key,
                    ticket: ticket.id,
                };
                self.pending_peeks.insert(req, peek);
                self.actions.push(Action::Peek { req, ticket });
                return;
            }
            // Without a read, only an answered claim is final; any other may have been replaced.
            Some(claim) if is_read || matches!(claim.state, ClaimState::Done { .. }) => {
                status_of(&claim)
            }
            Some(_) => KeyStatus::Open,
            None if is_read => KeyStatus::NotFound,
            None => KeyStatus::StoreUnavailable,
        };
        self.actions.push(Action::Status { req, status });
    }

    pub(super) fn on_peeked(&mut self, req: RequestId, reply: Option<TicketReply>) {
        let Some(peek) = self.pending_peeks.remove(&req) else {
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
        self.actions.push(Action::Status { req, status });
    }
}
