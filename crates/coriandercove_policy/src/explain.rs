//! Why a chain was chosen or a request refused, for operators and counters.

use std::time::Duration;

use coriandercove_base::{AccountId, Layer, TargetId, ZoneId, data};

use crate::chain::Chain;

data! {
    /// Why a request was refused. The names are stable: counters and callers use them.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum RefusalReason {
        /// The account's token bucket is empty.
        QuotaExceeded,
        /// The account has its limit of waiting requests.
        AccountQueueFull,
        /// The entry has its limit of waiting requests.
        EntryQueueFull,
        /// The deadline would pass before the answer.
        DeadlineTooShort,
        /// The deadline passed while the request waited.
        DeadlinePassed,
        /// No target holds some layer of the model, or no replica of the service is known.
        NoTarget,
        /// Targets exist, but all of some layer are at their concurrency limit.
        NoCapacity,
        /// Targets exist, but those of some layer lack KV memory for the request.
        KvExhausted,
        /// The model or service is not configured.
        UnknownModel,
        /// The target or this entry is leaving.
        Leaving,
        /// The store is needed and does not answer.
        StoreUnavailable,
        /// The retry budget is spent.
        RetryBudget,
        /// All attempts failed.
        AttemptsFailed,
        /// The request's outcome cannot be known and it must not repeat.
        OutcomeUnknown,
        /// The caller went away.
        Cancelled,
        /// A request with the same id is in progress at this entry.
        DuplicateRequest,
    }

    /// A refusal with what the caller needs to try again.
    #[derive(Eq)]
    pub struct Refusal {
        /// Reason for the counters and the caller.
        pub reason: RefusalReason,
        /// Earliest time that a new try makes sense.
        pub retry_after: Duration,
    }

    /// One target as seen by a choice.
    pub struct CandidateView {
        /// Name of the target.
        pub target: TargetId,
        /// Its zone.
        pub zone: ZoneId,
        /// First layer held.
        pub first_layer: Layer,
        /// Layer after the last one held.
        pub end_layer: Layer,
        /// Own outstanding work plus the load reported for others, in sequences.
        pub outstanding: u32,
        /// Share of its usual load that the target gets.
        pub weight: f64,
        /// Prompt tokens expected in its prefix cache.
        pub cached_tokens: u32,
        /// Expected compute time of the whole request, queueing included, cache savings deducted.
        pub compute: Duration,
        /// What became of the candidate.
        pub verdict: CandidateVerdict,
    }

    /// What became of a candidate in a choice.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum CandidateVerdict {
        /// Part of the chain.
        Chosen,
        /// Sampled, but another chain is faster.
        Slower,
        /// Usable, but not in the random sample.
        NotSampled,
        /// The request excludes it, usually because it failed an earlier attempt.
        Excluded,
        /// Its state forbids new work.
        NotReady,
        /// At its concurrency limit.
        AtLimit,
        /// Not enough KV memory.
        NoKvMemory,
    }

    /// Why a chain was chosen, or why there is none.
    pub struct ChainExplanation {
        /// The chosen chain.
        pub chain: Option<Chain>,
        /// Why there is none.
        pub refusal: Option<RefusalReason>,
        /// First layer that no usable target covers.
        pub uncovered: Option<Layer>,
        /// All targets of the model, in the order of layers, zones and names.
        pub candidates: Vec<CandidateView>,
    }

    /// Why a request was admitted or refused at the door.
    pub struct AdmissionExplanation {
        /// Account of the request.
        pub account: AccountId,
        /// Reason, if it was refused.
        pub refusal: Option<Refusal>,
        /// Estimated wait in the queue.
        pub estimated_wait: Duration,
        /// Requests of the account that wait.
        pub account_queue: usize,
        /// Requests of all accounts that wait.
        pub entry_queue: usize,
        /// Share of the entry's rate that the account gets now, from 0 to 1.
        pub share: f64,
        /// Tokens left in the account's bucket at this entry, if it has a quota.
        pub quota_left: Option<f64>,
    }
}

impl RefusalReason {
    /// Every reason, for registering counters.
    pub const ALL: [Self; 16] = [
        Self::QuotaExceeded,
        Self::AccountQueueFull,
        Self::EntryQueueFull,
        Self::DeadlineTooShort,
        Self::DeadlinePassed,
        Self::NoTarget,
        Self::NoCapacity,
        Self::KvExhausted,
        Self::UnknownModel,
        Self::Leaving,
        Self::StoreUnavailable,
        Self::RetryBudget,
        Self::AttemptsFailed,
        Self::OutcomeUnknown,
        Self::Cancelled,
        Self::DuplicateRequest,
    ];

    /// Stable name for counters, logs and callers.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::QuotaExceeded => "quota_exceeded",
            Self::AccountQueueFull => "account_queue_full",
            Self::EntryQueueFull => "entry_queue_full",
            Self::DeadlineTooShort => "deadline_too_short",
            Self::DeadlinePassed => "deadline_passed",
            Self::NoTarget => "no_target",
            Self::NoCapacity => "no_capacity",
            Self::KvExhausted => "kv_exhausted",
            Self::UnknownModel => "unknown_model",
            Self::Leaving => "leaving",
            Self::StoreUnavailable => "store_unavailable",
            Self::RetryBudget => "retry_budget",
            Self::AttemptsFailed => "attempts_failed",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::Cancelled => "cancelled",
            Self::DuplicateRequest => "duplicate_request",
        }
    }
}
