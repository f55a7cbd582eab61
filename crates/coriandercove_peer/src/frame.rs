//! Frames that processes exchange over links.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use coriandercove_base::{
    AccountId, Attempt, ConfigVersion, Layer, Position, RequestId, TicketId, Token, data,
};
use coriandercove_state::claim::{Change, ChangeResult};
use coriandercove_state::once::ForwardId;
use coriandercove_state::ticket::{Ticket, TicketReply};

use crate::link::Address;

data! {
    /// One frame on a link.
    pub enum Frame {
        /// Opens a stage; sent by the entry to the first stage, called the head, and by each stage
        /// to the next.
        OpenStage(Box<OpenStage>),
        /// Tokens for the head to run.
        Feed(Feed),
        /// Output of a stage for the next one, or a sampled token for the head.
        Activation(Activation),
        /// A sampled token for the entry.
        Token(TokenFrame),
        /// A stage cannot continue.
        StageFailed(StageFailure),
        /// Flow control: allows the head to run positions below `up_to`.
        Credit {
            /// The request.
            req: RequestId,
            /// The attempt.
            attempt: Attempt,
            /// First position that may not run yet.
            up_to: Position,
        },
        /// Frees the stages of an attempt and of earlier attempts at the request.
        CancelStage {
            /// The request.
            req: RequestId,
            /// The attempt.
            attempt: Attempt,
        },
        /// A call to the plain service beside the agent.
        Call(Box<Call>),
        /// Answer to a call.
        CallReply(Box<CallReply>),
        /// What an agent reports about a call that must not be repeated.
        TicketReply {
            /// The request of the call or of the probe.
            req: RequestId,
            /// The ticket.
            ticket: TicketId,
            /// What this answers.
            asked: TicketRequest,
            /// State of the call, as the agent knows it.
            reply: TicketReply,
        },
        /// Asks for the state of a ticket, and burns the ticket if the agent has never seen it, so
        /// that its call never runs.
        Probe {
            /// The request on whose behalf the entry asks.
            req: RequestId,
            /// The ticket that is asked about.
            ticket: Ticket,
        },
        /// Asks for the state of a ticket without changing it.
        Peek {
            /// The request on whose behalf the entry asks.
            req: RequestId,
            /// The ticket that is asked about.
            ticket: Ticket,
        },
        /// The sender is leaving and accepts no new work.
        Leaving,
        /// Asks for configuration changes after a version.
        PullConfig {
            /// Version that the sender has in force.
            after: ConfigVersion,
        },
        /// Encoded replies to [`Frame::PullConfig`], in order.
        ConfigChanges(Vec<Bytes>),
        /// A change of a claim, sent by an entry to the entry that usually writes the claim's
        /// shard.
        ForwardClaim {
            /// Identifies the change at the sender.
            id: ForwardId,
            /// Name of the plain service.
            service: String,
            /// The change.
            change: Box<Change>,
        },
        /// Result of [`Frame::ForwardClaim`].
        ClaimResult {
            /// Identifies the change at the entry that forwarded it.
            id: ForwardId,
            /// The result.
            result: Box<ChangeResult>,
        },
        /// An encoded order for the engine beside the agent, or an encoded answer to one.
        Order(Bytes),
        /// Asks for a [`Frame::Pong`], to check that the link still works.
        Ping,
        /// Answer to [`Frame::Ping`].
        Pong,
        /// Asks an agent for the [`Frame::Progress`] of a stage.
        AskProgress {
            /// The request.
            req: RequestId,
            /// The attempt.
            attempt: Attempt,
        },
        /// Progress of a stage; answer to [`Frame::AskProgress`].
        Progress(StageProgress),
        /// Demand of the client accounts at an entry, from which the entries split quotas among
        /// themselves; encoded by the admission code.
        Demand(Bytes),
        /// Asks an entry for its complete membership table.
        PullMembers,
        /// Answer to [`Frame::PullMembers`]: the encoded member records.
        Members(Bytes),
    }

    /// The kind of request about a ticket that a [`Frame::TicketReply`] answers.
    #[derive(Copy, Eq)]
    pub enum TicketRequest {
        /// A [`Frame::Call`] with the ticket.
        Dispatch,
        /// A [`Frame::Probe`].
        Probe,
        /// A [`Frame::Peek`].
        Peek,
    }

    /// One stage of a chain.
    pub struct Hop {
        /// The agent that runs the stage, and the address at which it accepts links.
        pub agent: Address,
        /// First layer that the stage runs.
        pub first_layer: Layer,
        /// Layer after the last one that the stage runs.
        pub end_layer: Layer,
        /// Number of positions whose KV state the stage still holds from an earlier attempt.
        pub held: Position,
    }

    /// Opens a stage of an attempt.
    pub struct OpenStage {
        /// The request.
        pub req: RequestId,
        /// The attempt; it replaces earlier attempts at the request.
        pub attempt: Attempt,
        /// The entry that owns the request.
        pub entry: Address,
        /// All stages in order; their layers follow one another without gap or overlap.
        pub chain: Vec<Hop>,
        /// Index of the receiver in `chain`.
        pub stage: u16,
        /// Position before which the answer ends at the latest.
        pub end_position: Position,
        /// Lower values run first.
        pub priority: u8,
        /// Time left until the deadline of the request, when the frame was sent.
        pub deadline: Duration,
    }

    /// Tokens for the head, starting at `position`.
    pub struct Feed {
        /// The request.
        pub req: RequestId,
        /// The attempt.
        pub attempt: Attempt,
        /// Position of the first token.
        pub position: Position,
        /// The tokens.
        pub tokens: Vec<Token>,
    }

    /// Inputs for a stage, starting at `position`.
    pub struct Activation {
        /// The request.
        pub req: RequestId,
        /// The attempt.
        pub attempt: Attempt,
        /// Position of the first item.
        pub position: Position,
        /// Layer that the items are the input of.
        pub next_layer: Layer,
        /// One item for each position.
        pub items: Vec<u64>,
        /// Whether a token is sampled after the last position.
        pub sample: bool,
    }

    /// A token for the caller.
    pub struct TokenFrame {
        /// The request.
        pub req: RequestId,
        /// The attempt.
        pub attempt: Attempt,
        /// Position of the token in the sequence.
        pub position: Position,
        /// The token.
        pub token: Token,
        /// Whether this is the last token of the answer.
        pub finished: bool,
    }

    /// A stage that cannot continue.
    pub struct StageFailure {
        /// The request.
        pub req: RequestId,
        /// The attempt.
        pub attempt: Attempt,
        /// Index in the chain of the stage that failed, which may be another one than the sender's.
        pub stage: u16,
        /// Why it failed.
        pub reason: StageFailureReason,
    }

    /// Progress of a stage; answer to [`Frame::AskProgress`].
    #[derive(Copy, Eq)]
    pub struct StageProgress {
        /// The request.
        pub req: RequestId,
        /// The attempt that the question named.
        pub attempt: Attempt,
        /// Whether the stage is open in this attempt.
        pub open: bool,
        /// Whether the engine has inputs of the stage whose outputs it has not returned yet.
        pub running: bool,
        /// Next position whose output the stage sends.
        pub next_out: Position,
    }

    /// Why a stage cannot continue.
    #[derive(Copy, Eq)]
    pub enum StageFailureReason {
        /// The target is leaving and accepts no new work.
        Leaving,
        /// The agent is at its limit of streams.
        Overloaded,
        /// The engine cannot be reached or its answer is invalid.
        Engine,
        /// The engine no longer has the KV state that the attempt continues from.
        StateLost,
        /// The retained outputs no longer reach back far enough to replay them to a rebuilt stage.
        ReplayUnavailable,
        /// The next stage cannot be reached.
        NextStage,
        /// The engine has no memory for the sequence.
        OutOfMemory,
        /// The engine does not hold the layers.
        LayerNotHeld,
        /// The drain deadline has passed, so the stream has to move to another chain.
        Drained,
    }

    /// A call to a plain service.
    pub struct Call {
        /// The request.
        pub req: RequestId,
        /// Client account of the caller.
        pub account: AccountId,
        /// Permission to run the call once; present if the call must not be repeated.
        pub ticket: Option<Ticket>,
        /// Name of the service.
        pub service: String,
        /// HTTP method.
        pub method: String,
        /// Path and query.
        pub path: String,
        /// Headers to pass to the service.
        pub headers: Vec<(String, String)>,
        /// Body of the request.
        pub body: Bytes,
        /// Time left until the deadline of the request, when the frame was sent.
        pub deadline: Duration,
    }

    /// Answer to a [`Call`].
    pub struct CallReply {
        /// The request.
        pub req: RequestId,
        /// Outcome of the call.
        pub outcome: CallOutcome,
    }

    /// Outcome of a call.
    pub enum CallOutcome {
        /// The service answered.
        Answer {
            /// HTTP status.
            status: u16,
            /// Headers to pass to the caller.
            headers: Vec<(String, String)>,
            /// Body of the answer.
            body: Bytes,
        },
        /// The call did not run and never will under this ticket.
        Refused {
            /// Stable name of the reason.
            reason: String,
        },
        /// The call may have run.
        Unknown {
            /// Stable name of the reason.
            reason: String,
        },
    }
}

impl StageFailureReason {
    /// Returns the stable name of the reason, which is used as a metric label.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Overloaded => "overloaded",
            Self::Engine => "engine",
            Self::StateLost => "state_lost",
            Self::ReplayUnavailable => "replay_unavailable",
            Self::NextStage => "next_stage",
            Self::OutOfMemory => "out_of_memory",
            Self::LayerNotHeld => "layer_not_held",
            Self::Drained => "drained",
        }
    }
}

impl OpenStage {
    /// Returns whether the layers of the chain start at 0 and have no gap or overlap, and `stage`
    /// is an index in it.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let mut layer = 0;
        for hop in &self.chain {
            if hop.first_layer != layer || hop.end_layer <= layer {
                return false;
            }
            layer = hop.end_layer;
        }
        usize::from(self.stage) < self.chain.len()
    }
}

/// Returns the address of a node on the loopback interface, for tests, examples and measurements.
#[must_use]
pub fn loopback(node: &str, port: u16) -> Address {
    Address {
        node: node.into(),
        addr: SocketAddr::from(([127, 0, 0, 1], port)),
    }
}

#[cfg(test)]
mod tests;
