//! At-most-once calls, at the entry.
//!
//! An agent runs a call only under a ticket, and accepts each ticket once. A keyed call, which has
//! an idempotency key, is dispatched only after a claim with its ticket is durable. An entry
//! issues another ticket for the same call or key only if the agent has proved that the first one
//! did not run and never will, or if the first one was never dispatched. None of this depends on
//! clocks or on which entry usually writes a shard.

mod agent;
mod call;
mod call_table;
mod forward;
mod query;
mod shards;

use std::sync::Arc;

use coriandercove_base::{Incarnation, NodeId, RequestId, TicketId, Time, data};

use crate::claim::{Change, ChangeResult, KeyHash};
use crate::store_call::{StoreCall, StoreReply};
use crate::ticket::{Answer, NotRunReason, Ticket, TicketReply, UnknownReason};

pub use call_table::{OnceCallTable, OnceSettings, OnceStats};

/// Number of a store call of a [`OnceCallTable`], never reused.
pub type StoreOp = u64;
/// Number of a change that a [`OnceCallTable`] forwarded, never reused.
pub type ForwardId = u64;

data! {
    /// A call that must run at most once.
    #[derive(Eq)]
    pub struct OnceRequest {
        /// Id of the request.
        pub req: RequestId,
        /// Name of the plain service.
        pub service: Arc<str>,
        /// Hashes of idempotency key and request; absent for a call without an
        /// `Idempotency-Key`.
        pub key: Option<KeyAndFingerprint>,
        /// Time at which the caller gets an answer at the latest.
        pub deadline: Time,
    }

    /// Hashes of the idempotency key and of the request of a keyed call.
    #[derive(Copy, Eq)]
    pub struct KeyAndFingerprint {
        /// Hash of the key; see [`crate::claim::key_hash`].
        pub key: KeyHash,
        /// Hash of the request; see [`crate::claim::fingerprint`].
        pub fingerprint: u128,
    }

    /// An agent to which a call can be dispatched.
    #[derive(Eq)]
    pub struct TargetAgent {
        /// Name of the agent.
        pub node: NodeId,
        /// Incarnation of the agent that the ticket is issued for.
        pub incarnation: Incarnation,
    }

    /// Result of a call, for the caller.
    #[derive(Eq)]
    pub enum Outcome {
        /// The call ran and was answered.
        Answer {
            /// Status and body. The body is absent if it was too large to be kept.
            answer: Answer,
            /// Whether this is the answer to another request with the same key.
            replayed: bool,
        },
        /// This request did not run and never will. Other requests with the same key may have run.
        NotRun(Refusal),
        /// The call may have run. The caller of a keyed call can query the state of the key later.
        Unknown(UnknownOutcomeReason),
        /// Another request with the same key may be running (409 with `Retry-After`).
        InProgress,
        /// The key was used with a different request (422 `key_reused`). This request did not run.
        KeyReused,
    }

    /// Why a request did not run.
    #[derive(Copy, Eq)]
    pub enum Refusal {
        /// The store cannot be reached and no claim of this request was written.
        StoreUnavailable,
        /// The store cannot be reached to replace the claim of this request by one for another
        /// agent, after the dispatch to the first agent failed or was refused.
        ClaimNotReplaced,
        /// No agent is available for the call, or too many agents were tried.
        NoTarget,
        /// The deadline passed before the call was dispatched.
        Deadline,
        /// One or more agents refused the call, the last one for this reason.
        Agent(NotRunReason),
        /// The entry is at its limit of calls or of queued claims.
        Overloaded,
    }

    /// Why the outcome of a call is not known.
    #[derive(Copy, Eq)]
    pub enum UnknownOutcomeReason {
        /// No answer arrived before the deadline, or the link to the agent failed.
        NoAnswer,
        /// The store did not confirm whether the claim of this request was written. The call
        /// was not dispatched, but its key may stay claimed until the request is repeated.
        ClaimUnsettled,
        /// The agent that may have run the call cannot be reached.
        AgentUnreachable,
        /// The agent cannot tell whether the call ran.
        Agent(UnknownReason),
        /// The claim of the key is in state [`crate::claim::ClaimState::Unknown`].
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
        /// The store cannot be read and there is no claim of the key in memory.
        StoreUnavailable,
        /// The entry is at its limit of queries.
        Overloaded,
    }
}

/// Input of a [`OnceCallTable`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A caller sent a request.
    Start(OnceRequest),
    /// Result of [`Action::ChooseTarget`].
    Target {
        /// Request for which the agent was chosen.
        req: RequestId,
        /// The chosen agent, `None` if no agent is available for the call.
        target: Option<TargetAgent>,
    },
    /// Result of [`Action::Store`].
    Store {
        /// Number of the store call.
        op: StoreOp,
        /// Result of the store call.
        reply: StoreReply,
    },
    /// The agent replied to a dispatch. A `Running` reply is followed by another one.
    Agent {
        /// Request that was dispatched.
        req: RequestId,
        /// The dispatched ticket.
        ticket: TicketId,
        /// State of the ticket at the agent.
        reply: TicketReply,
    },
    /// The dispatch was not sent to the agent and never will be.
    NotSent {
        /// Request that was to be dispatched.
        req: RequestId,
        /// The ticket of the dispatch.
        ticket: TicketId,
    },
    /// The link to the agent failed after the dispatch may have been sent.
    LinkLost {
        /// Request that was dispatched.
        req: RequestId,
        /// The ticket of the dispatch.
        ticket: TicketId,
    },
    /// Result of [`Action::Probe`].
    Probed {
        /// Request on whose behalf the probe was sent.
        req: RequestId,
        /// The probed ticket.
        ticket: TicketId,
        /// State of the ticket at the agent, `None` if the agent cannot be reached.
        reply: Option<TicketReply>,
    },
    /// A caller queries the state of a key.
    Query {
        /// Id of the query.
        req: RequestId,
        /// Name of the plain service.
        service: Arc<str>,
        /// Hash of the key.
        key: KeyHash,
    },
    /// Result of [`Action::Peek`].
    Peeked {
        /// Id of the query.
        req: RequestId,
        /// State of the ticket at the agent, `None` if the agent cannot be reached.
        reply: Option<TicketReply>,
    },
    /// The entries that this one considers alive. They only decide which entry usually writes
    /// which shard. Without this event, the entry writes all claims itself.
    Entries {
        /// Name of this entry.
        me: NodeId,
        /// Names of all live entries.
        live: Arc<[NodeId]>,
    },
    /// Another entry forwarded a change, because this one is the usual writer of its shard.
    Forwarded {
        /// Name of the forwarding entry.
        from: NodeId,
        /// Number that the forwarding entry gave to the change.
        id: ForwardId,
        /// Name of the plain service.
        service: Arc<str>,
        /// The forwarded change.
        change: Change,
    },
    /// Result of [`Action::Forward`].
    ForwardEnded {
        /// Number of the change.
        id: ForwardId,
        /// Result of the change, `None` if none arrived in time.
        result: Option<ChangeResult>,
    },
    /// Time passed. Due at [`OnceCallTable::next_wake`].
    Tick,
}

/// What the runtime does for a [`OnceCallTable`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Make this store call and report its result with [`Event::Store`].
    Store {
        /// Number of the store call.
        op: StoreOp,
        /// The store call to make.
        call: StoreCall,
    },
    /// Choose an agent and report it with [`Event::Target`]. No ticket has been issued for it
    /// yet.
    ChooseTarget {
        /// Request that needs an agent.
        req: RequestId,
    },
    /// Send the call with this ticket to its agent, at most once: it must not be sent again after
    /// a reconnect. Nothing of the call may be sent before this action.
    Dispatch {
        /// Request to dispatch.
        req: RequestId,
        /// The ticket, which names the agent.
        ticket: Ticket,
    },
    /// Ask the agent for the state of a ticket, and to burn it if it never arrived. Report the
    /// reply with [`Event::Probed`].
    Probe {
        /// Request on whose behalf the probe is sent.
        req: RequestId,
        /// The ticket, which names the agent.
        ticket: Ticket,
    },
    /// Ask the agent for the state of a ticket without burning it, for an [`Event::Query`]. Report
    /// the reply with [`Event::Peeked`].
    Peek {
        /// Id of the query.
        req: RequestId,
        /// The ticket, which names the agent.
        ticket: Ticket,
    },
    /// Answer the caller. There is exactly one for each [`Event::Start`].
    Reply {
        /// Request to answer.
        req: RequestId,
        /// Result of the call.
        outcome: Outcome,
    },
    /// Send a change to the entry `to`, at most once, which gets it as an [`Event::Forwarded`].
    /// Report exactly one [`Event::ForwardEnded`], also if the link fails, or after a timeout
    /// of some hundred ms.
    Forward {
        /// Name of the usual writer of the shard.
        to: NodeId,
        /// Number of the change.
        id: ForwardId,
        /// Name of the plain service.
        service: Arc<str>,
        /// The forwarded change.
        change: Change,
    },
    /// Send the result of a forwarded change back to the entry that forwarded it.
    ForwardResult {
        /// Name of the entry that forwarded the change.
        to: NodeId,
        /// Number that the forwarding entry gave to the change.
        id: ForwardId,
        /// Result of the change.
        result: ChangeResult,
    },
    /// Answer an [`Event::Query`].
    Status {
        /// Id of the query.
        req: RequestId,
        /// State of the key.
        status: KeyStatus,
    },
}
