//! Limits of stages, jobs for the engine and actions for the runtime.

use std::time::Duration;

use coriandercove_base::{Attempt, Position, RequestId, Token};
use coriandercove_peer::{Address, Frame};
use coriandercove_target::ItemError;

/// Limits of the stages of an agent.
#[derive(Debug, Clone, Copy)]
pub struct StageLimits {
    /// Maximum number of streams with an open stage; further ones are refused.
    pub max_streams: usize,
    /// Maximum number of bytes of outputs retained for the replay to rebuilt next stages, over all
    /// streams.
    pub max_retained_bytes: usize,
    /// Number of prompt positions in one prefill job. Smaller chunks let the next stage start
    /// earlier; larger ones need fewer frames.
    pub prefill_chunk: usize,
    /// Time after which a stream is freed if the link to its entry has closed and neither credit
    /// nor a progress query has come for the stream since. Also the time that a stage is kept
    /// beyond the deadline of its request.
    pub entry_grace: Duration,
}

impl Default for StageLimits {
    fn default() -> Self {
        Self {
            max_streams: 4096,
            max_retained_bytes: 64 << 20,
            prefill_chunk: 128,
            entry_grace: Duration::from_secs(5),
        }
    }
}

/// Inputs of consecutive positions of one stream for the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Request that the stream answers.
    pub req: RequestId,
    /// Attempt that the job belongs to; sent to the engine as its epoch.
    pub attempt: Attempt,
    /// Position of the first input.
    pub position: Position,
    /// First layer that processes the inputs.
    pub first_layer: u16,
    /// One input for each position.
    pub inputs: Vec<u64>,
    /// Lower values run first.
    pub priority: u8,
    /// Whether the engine samples a token after the last position.
    pub sample: bool,
}

/// Result of a [`Job`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobOutcome {
    /// The engine ran the job.
    Done {
        /// One output for each input.
        outputs: Vec<u64>,
        /// The sampled token, if the job asked for one.
        token: Option<Token>,
    },
    /// The engine refused the job.
    Refused(ItemError),
    /// The engine cannot be reached, did not answer in time, or its reply does not match the call.
    Failed,
}

/// An action that the runtime has to execute.
#[derive(Debug, Clone, PartialEq)]
pub enum StageAction {
    /// Send a frame to a peer.
    Send(Address, Frame),
    /// Queue a job for the engine.
    Run(Job),
    /// Drop the queued jobs of a request and free the engine's state for it.
    Free(RequestId),
}

/// Reason why a frame was dropped; a label value of the counter of dropped frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// The frame belongs to an attempt that has been replaced or has ended.
    OldAttempt,
    /// Its position has been accepted before.
    Duplicate,
    /// It is meant for another layer than the first one of this stage.
    WrongLayer,
    /// Positions before its own have not arrived.
    Gap,
    /// No stage is open for its request and attempt.
    NoStage,
    /// The chain of an `OpenStage` is not valid.
    InvalidChain,
}

impl DropReason {
    /// Label value in the metrics; operators' queries depend on it.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::OldAttempt => "old_attempt",
            Self::Duplicate => "duplicate",
            Self::WrongLayer => "wrong_layer",
            Self::Gap => "gap",
            Self::NoStage => "no_stage",
            Self::InvalidChain => "invalid_chain",
        }
    }
}
