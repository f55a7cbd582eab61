//! Calls that run at most once, at the entry.
//!
//! Every effect of a call needs a ticket that its agent accepts once. A keyed call is
//! dispatched only after a claim with its ticket is durable; a ticket is given up only with
//! proof from its agent, or if it was never dispatched. None of this depends on time or on
//! which entry usually writes a shard.

mod agent;
mod call;
mod entry;
mod forward;
mod query;
mod shards;

use std::sync::Arc;

use coriandercove_base::{Incarnation, NodeId, RequestId, TicketId, Time, data};

use crate::claim::{Change, ChangeResult, KeyHash};
use crate::store_call::{StoreCall, StoreReply};
use crate::ticket::{Answer, NotRunReason, Ticket, TicketReply, UnknownReason};

pub use entry::{OnceEntry, OnceSettings, OnceStats};

/// Identifies a store call of a [`OnceEntry`].
pub type StoreOp = u64;
/// Identifies a change that a [`OnceEntry`] forwarded.
pub type ForwardId = u64;

data! {
    /// A call that must not repeat.
    #[derive(Eq)]
    pub struct OnceRequest {
        /// The request.
        pub req: RequestId,
        /// Name of the plain service.
        pub service: Arc<str>,
        /// Key and fingerprint; absent for a call without an `Idempotency-Key`.
        pub key: Option<KeyedBy>,
        /// Time after which the caller gets an answer in any case.
        pub deadline: Time,
    }

    /// Key and fingerprint of a keyed call.
    #[derive(Copy, Eq)]
    pub struct KeyedBy {
        /// See [`crate::claim::key_hash`].
        pub key: KeyHash,
        /// See [`crate::claim::fingerprint`].
        pub fingerprint: u128,
    }

    /// An agent that can be given a call.
    #[derive(Eq)]
    pub struct TargetAgent {
        /// The agent.
        pub node: NodeId,
        /// Its incarnation.
        pub incarnation: Incarnation,
    }

    /// What the caller is told.
    #[derive(Eq)]
    pub enum Outcome {
        /// The call ran; this is its answer.
        Answer {
            /// Status and body. The body is absent if it was too large to be kept.
            answer: Answer,
            /// Whether this is the answer to an earlier request with the same key.
            replayed: bool,
        },
        /// This request did not run and never will. Other requests with the same key may have.
        NotRun(Refusal),
        /// The call may have run; the caller can ask later.
        Unknown(Doubt),
        /// Another request with the same key is running (409, Retry-After).
        InProgress,
        /// The key was used with another request (422 `key_reused`); this one did not run.
        KeyReused,
    }

    /// Why a request did not run.
    #[derive(Copy, Eq)]
    pub enum Refusal {
        /// The store cannot be reached and no claim of this request was written.
        StoreUnavailable,
        /// The store cannot be reached to move the claim of this request to another agent,
        /// after the first one did not get or did not take the call.
        ClaimNotReplaced,
        /// No agent can take the call.
        NoTarget,
        /// The deadline passed before the call was dispatched.
        Deadline,
        /// Agents refused the call, the last one for this reason.
        Agent(NotRunReason),
        /// The entry is at its limit of calls or of waiting claims.
        Overloaded,
    }

    /// Why an outcome is not known.
    #[derive(Copy, Eq)]
    pub enum Doubt {
        /// No answer arrived before the deadline or the link to the agent failed.
        NoAnswer,
        /// The store did not confirm whether the claim of this request was written. The call
        /// was not dispatched, but the key may be claimed until it is asked again.
        ClaimUnsettled,
        /// The agent of the ticket cannot be reached.
        AgentUnreachable,
        /// The agent cannot tell.
        Agent(UnknownReason),
        /// The claim is recorded as unknown.
        Recorded,
    }

    /// Answer to `GET /v1/requests/{key}`.
    #[derive(Eq)]
    pub enum KeyStatus {
        /// The key has no claim, or its call provably did not run.
        NotFound,
        /// The call was answered.
        Done(Answer),
        /// A call with the key may be running.
        Open,
        /// The call may or may not have run.
        Unknown,
        /// The store cannot be read and the key is not in memory.
        StoreUnavailable,
        /// The entry is at its limit of queries.
        Overloaded,
    }
}

/// What happens to a [`OnceEntry`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A caller sent a call.
    Start(OnceRequest),
    /// Answer to [`Action::ChooseTarget`]; `None` if no agent can take the call.
    Target {
        /// The request.
        req: RequestId,
        /// The chosen agent.
        target: Option<TargetAgent>,
    },
    /// Result of [`Action::Store`].
    Store {
        /// The call.
        op: StoreOp,
        /// Its result.
        reply: StoreReply,
    },
    /// The agent answered a dispatch, now or after a `Running` reply.
    Agent {
        /// The request.
        req: RequestId,
        /// The dispatched ticket.
        ticket: TicketId,
        /// What the agent says.
        reply: TicketReply,
    },
    /// The dispatch certainly did not leave for the agent.
    NotSent {
        /// The request.
        req: RequestId,
        /// The ticket.
        ticket: TicketId,
    },
    /// The link to the agent failed after the dispatch may have left.
    LinkLost {
        /// The request.
        req: RequestId,
        /// The ticket.
        ticket: TicketId,
    },
    /// Result of [`Action::Probe`]; `None` if the agent cannot be reached.
    Probed {
        /// The request that asked.
        req: RequestId,
        /// The ticket.
        ticket: TicketId,
        /// What the agent says.
        reply: Option<TicketReply>,
    },
    /// A caller asks for the state of a key.
    Query {
        /// The asking request.
        req: RequestId,
        /// Name of the plain service.
        service: Arc<str>,
        /// The key.
        key: KeyHash,
    },
    /// Result of [`Action::Peek`]; `None` if the agent cannot be reached.
    Peeked {
        /// The asking request.
        req: RequestId,
        /// What the agent says.
        reply: Option<TicketReply>,
    },
    /// The entries that are alive, as far as this one knows. Decides only who writes which
    /// shard usually; without it, the entry writes all claims itself.
    Entries {
        /// The name of this entry.
        me: NodeId,
        /// The names of all live entries.
        live: Arc<[NodeId]>,
    },
    /// Another entry asks for a change, because this one is the usual writer of the shard.
    Forwarded {
        /// The entry that asks.
        from: NodeId,
        /// Its number for the change.
        id: ForwardId,
        /// Name of the plain service.
        service: Arc<str>,
        /// The change.
        change: Change,
    },
    /// Result of [`Action::Forward`]; `None` if there is none in time.
    ForwardEnded {
        /// Number of the change.
        id: ForwardId,
        /// The result.
        result: Option<ChangeResult>,
    },
    /// Time passed; see [`OnceEntry::next_wake`].
    Tick,
}

/// What the runtime does for a [`OnceEntry`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Make this store call and report its result with [`Event::Store`].
    Store {
        /// Identifies the call.
        op: StoreOp,
        /// The call.
        call: StoreCall,
    },
    /// Choose an agent and report it with [`Event::Target`]. No ticket exists yet.
    ChooseTarget {
        /// The request.
        req: RequestId,
    },
    /// Send the call with this ticket to its agent, at most once: never again after a
    /// reconnect. Nothing of the call may be sent before this action.
    Dispatch {
        /// The request.
        req: RequestId,
        /// The ticket.
        ticket: Ticket,
    },
    /// Ask the ticket's agent about the ticket.
    Probe {
        /// The request that asks.
        req: RequestId,
        /// The ticket.
        ticket: Ticket,
    },
    /// Ask the ticket's agent about the ticket without burning it, for an [`Event::Query`].
    Peek {
        /// The request that asks.
        req: RequestId,
        /// The ticket.
        ticket: Ticket,
    },
    /// Answer the caller. There is exactly one for each [`Event::Start`].
    Reply {
        /// The request.
        req: RequestId,
        /// What the caller is told.
        outcome: Outcome,
    },
    /// Send the change to the entry `to`, at most once, where it is an [`Event::Forwarded`].
    /// Report exactly one [`Event::ForwardEnded`], also if the link fails or after a timeout
    /// of some hundred ms.
    Forward {
        /// The usual writer of the shard.
        to: NodeId,
        /// Number of the change.
        id: ForwardId,
        /// Name of the plain service.
        service: Arc<str>,
        /// The change.
        change: Change,
    },
    /// Send the result of a forwarded change back to the entry `to`.
    ForwardResult {
        /// The entry that asked.
        to: NodeId,
        /// Its number for the change.
        id: ForwardId,
        /// The result.
        result: ChangeResult,
    },
    /// Answer an [`Event::Query`].
    Status {
        /// The asking request.
        req: RequestId,
        /// State of the key.
        status: KeyStatus,
    },
}
