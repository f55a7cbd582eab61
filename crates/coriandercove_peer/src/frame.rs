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
        /// Opens a stage; sent by the entry to the head and by each stage to the next.
        OpenStage(Box<OpenStage>),
        /// Tokens for the head to run.
        Feed(Feed),
        /// Output of a stage for the next one, or a sampled token for the head.
        Activation(Activation),
        /// A sampled token for the entry.
        Token(TokenFrame),
        /// A stage cannot go on.
        StageFailed(StageFailure),
        /// Lets the head run positions below `up_to`.
        Credit {
            /// The request.
            req: RequestId,
            /// The attempt.
            attempt: Attempt,
            /// First position that may not run yet.
            up_to: Position,
        },
        /// Frees the stages of an attempt and of earlier ones.
        CancelStage {
            /// The request.
            req: RequestId,
            /// The attempt.
            attempt: Attempt,
        },
        /// A call for the plain service beside the agent.
        Call(Box<Call>),
        /// Answer to a call.
        CallReply(Box<CallReply>),
        /// What an agent says about a call that must not repeat.
        TicketReply {
            /// The request of the call or of the probe.
            req: RequestId,
            /// The ticket.
            ticket: TicketId,
            /// What this answers.
            asked: Asked,
            /// What the agent says.
            reply: TicketReply,
        },
        /// Asks what became of a ticket and burns it if it has never been seen.
        Probe {
            /// The request that asks.
            req: RequestId,
            /// The ticket in question.
            ticket: Ticket,
        },
        /// Asks what became of a ticket and leaves it as it is.
        Peek {
            /// The request that asks.
            req: RequestId,
            /// The ticket in question.
            ticket: Ticket,
        },
        /// The sender leaves and takes no new work.
        Leaving,
        /// Asks for configuration changes after a version.
        PullConfig {
            /// Version that the sender has in force.
            after: ConfigVersion,
        },
        /// Encoded configuration changes, in order.
        ConfigChanges(Vec<Bytes>),
        /// A change of a claim for the usual writer of its shard, from one entry to another.
        ForwardClaim {
            /// Number of the change at the sender.
            id: ForwardId,
            /// Name of the plain service.
            service: String,
            /// The change.
            change: Box<Change>,
        },
        /// Result of [`Frame::ForwardClaim`].
        ClaimResult {
            /// Number of the change at the entry that asked.
            id: ForwardId,
            /// The result.
            result: Box<ChangeResult>,
        },
        /// An order for the engine beside the agent, or an answer to one, encoded by its owner.
        Order(Bytes),
        /// Asks for a [`Frame::Pong`], to learn that the link still works.
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
        /// How far a stage has come.
        Progress(StageProgress),
        /// Demand of client accounts at an entry, for the split of quotas, encoded by its owner.
        Demand(Bytes),
        /// Asks an entry for its whole member table.
        PullMembers,
        /// Answer to [`Frame::PullMembers`], encoded by membership.
        Members(Bytes),
    }

    /// What an agent was asked about a ticket.
    #[derive(Copy, Eq)]
    pub enum Asked {
        /// To run its call.
        Dispatch,
        /// What became of it; see [`Frame::Probe`].
        Probe,
        /// What became of it; see [`Frame::Peek`].
        Peek,
    }

    /// One stage of a chain.
    pub struct Hop {
        /// The agent and where it listens.
        pub agent: Address,
        /// First layer that the stage runs.
        pub first_layer: Layer,
        /// Layer after the last one that the stage runs.
        pub end_layer: Layer,
        /// Positions whose KV state the stage still holds from an earlier attempt.
        pub held: Position,
    }

    /// Opens a stage of an attempt.
    pub struct OpenStage {
        /// The request.
        pub req: RequestId,
        /// The attempt; replaces earlier ones.
        pub attempt: Attempt,
        /// The entry that owns the request.
        pub entry: Address,
        /// All stages; the layers follow one another without a gap.
        pub chain: Vec<Hop>,
        /// Index of the receiver in `chain`.
        pub stage: u16,
        /// Position at which the answer ends at the latest.
        pub end_position: Position,
        /// Lower values run first.
        pub priority: u8,
        /// Time that is left for the request.
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
        /// Layer that the items enter.
        pub next_layer: Layer,
        /// One item for each position.
        pub items: Vec<u64>,
        /// Whether the last position yields a token.
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
        /// Whether the answer ends here.
        pub finished: bool,
    }

    /// A stage that cannot go on.
    pub struct StageFailure {
        /// The request.
        pub req: RequestId,
        /// The attempt.
        pub attempt: Attempt,
        /// Index of the stage that failed; it may not be the sender.
        pub stage: u16,
        /// Why.
        pub reason: StageFailureReason,
    }

    /// How far a stage has come; answer to [`Frame::AskProgress`].
    #[derive(Copy, Eq)]
    pub struct StageProgress {
        /// The request.
        pub req: RequestId,
        /// The attempt that was asked for.
        pub attempt: Attempt,
        /// Whether the stage is open in this attempt.
        pub open: bool,
        /// Whether the engine has inputs of the stage that it has not answered.
        pub running: bool,
        /// Next position that the stage gives out.
        pub next_out: Position,
    }

    /// Why a stage cannot go on.
    #[derive(Copy, Eq)]
    pub enum StageFailureReason {
        /// The target leaves and takes no new work.
        Leaving,
        /// The agent has as many streams as it may have.
        Overloaded,
        /// The engine cannot be reached or answers nonsense.
        Engine,
        /// The engine no longer has the state that the attempt builds on.
        StateLost,
        /// The outputs that a rebuilt stage needs are no longer retained.
        ReplayUnavailable,
        /// The next stage cannot be reached.
        NextStage,
        /// The engine has no memory for the sequence.
        OutOfMemory,
        /// The engine does not hold the layers.
        LayerNotHeld,
        /// The drain deadline has passed and the stream has to move.
        Drained,
    }

    /// A call for a plain service.
    pub struct Call {
        /// The request.
        pub req: RequestId,
        /// Client account of the caller.
        pub account: AccountId,
        /// Present if the call must not repeat.
        pub ticket: Option<Ticket>,
        /// Name of the service.
        pub service: String,
        /// HTTP method.
        pub method: String,
        /// Path and query.
        pub path: String,
        /// Headers to pass on.
        pub headers: Vec<(String, String)>,
        /// Body.
        pub body: Bytes,
        /// Time that is left for the request.
        pub deadline: Duration,
    }

    /// Answer to a [`Call`].
    pub struct CallReply {
        /// The request.
        pub req: RequestId,
        /// What happened.
        pub outcome: CallOutcome,
    }

    /// What became of a call.
    pub enum CallOutcome {
        /// The service answered.
        Answer {
            /// HTTP status.
            status: u16,
            /// Headers to pass on.
            headers: Vec<(String, String)>,
            /// Body.
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
    /// Stable name, used as a label of counters.
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
    /// Whether the chain covers layers `0..total` without gap or overlap and `stage` lies in it.
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

/// Address of a node on the loopback interface, for tests and the single-process mode.
#[must_use]
pub fn loopback(node: &str, port: u16) -> Address {
    Address {
        node: node.into(),
        addr: SocketAddr::from(([127, 0, 0, 1], port)),
    }
}

#[cfg(test)]
mod tests;
