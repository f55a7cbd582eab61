//! Limits of stages, work for the engine and actions for the runtime.

use std::time::Duration;

use coriandercove_base::{Attempt, Position, RequestId, Token};
use coriandercove_peer::{Address, Frame};
use coriandercove_target::ItemError;

/// Limits of an agent.
#[derive(Debug, Clone, Copy)]
pub struct StageLimits {
    /// Streams with a stage here.
    pub max_streams: usize,
    /// Bytes of outputs retained for the replay to a rebuilt next stage.
    pub max_retained_bytes: usize,
    /// Positions of a prompt that enter the engine at a time. Smaller chunks let the next stage
    /// start earlier, larger ones cost fewer frames.
    pub prefill_chunk: usize,
    /// Time after which the streams of an entry whose link closed are freed.
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

/// Work for the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// The request.
    pub req: RequestId,
    /// The attempt; the engine's epoch.
    pub attempt: Attempt,
    /// Position of the first input.
    pub position: Position,
    /// Layer that the inputs enter.
    pub first_layer: u16,
    /// Inputs.
    pub inputs: Vec<u64>,
    /// Lower values run first.
    pub priority: u8,
    /// Whether the last position yields a token.
    pub sample: bool,
}

/// What the engine made of a [`Job`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobOutcome {
    /// It ran.
    Done {
        /// One output for each input.
        outputs: Vec<u64>,
        /// The sampled token.
        token: Option<Token>,
    },
    /// The engine refused it.
    Refused(ItemError),
    /// The engine cannot be reached or answered nonsense.
    Failed,
}

/// What the runtime has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum StageAction {
    /// Send a frame.
    Send(Address, Frame),
    /// Give the engine work.
    Run(Job),
    /// Free the engine's state for a request.
    Free(RequestId),
}

/// Why a frame was dropped; a label of the counter of dropped frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dropped {
    /// It belongs to an attempt that has been replaced or cancelled.
    OldAttempt,
    /// Its position has been accepted already.
    Duplicate,
    /// It enters another layer than the stage's first one.
    WrongLayer,
    /// Positions before it are missing.
    Gap,
    /// No stage is open for it.
    NoStage,
    /// The chain is not valid.
    InvalidChain,
}

impl Dropped {
    /// Stable name, used as a label.
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
