//! Refusal reasons, and explanations of chain choice and admission for operators.

use std::time::Duration;

use coriandercove_base::{AccountId, Layer, TargetId, ZoneId, data};

use crate::chain::Chain;

data! {
    /// Why a request was refused. The names are stable, because metrics and callers use them.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum RefusalReason {
        /// The account's token bucket does not cover the cost of the request.
        QuotaExceeded,
        /// The account has reached its limit of queued requests.
        AccountQueueFull,
        /// The entry has reached its limit of queued requests.
        EntryQueueFull,
        /// The deadline would probably pass before the answer.
        DeadlineTooShort,
        /// The request waited in the queue until its deadline could no longer be met.
        DeadlinePassed,
        /// No target holds some layer of the model, or no replica of the service is known.
        NoTarget,
        /// All targets of some layer are at their concurrency limit, or the pool has no slots.
        NoCapacity,
        /// All targets of some layer lack KV memory for the request.
        KvExhausted,
        /// The model or service is not configured.
        UnknownModel,
        /// The target or this entry is leaving.
        Leaving,
        /// The request needs the store, which does not respond.
        StoreUnavailable,
        /// The retry budget is spent.
        RetryBudget,
        /// All attempts failed.
        AttemptsFailed,
        /// Whether the request ran cannot be determined, and it must not be repeated.
        OutcomeUnknown,
        /// The caller went away.
        Cancelled,
        /// A request with the same id is queued or running at this entry.
        DuplicateRequest,
    }

    /// A refusal, with the time after which the caller may retry.
    #[derive(Eq)]
    pub struct Refusal {
        /// Reason that is counted and returned to the caller.
        pub reason: RefusalReason,
        /// Delay after which a retry may succeed.
        pub retry_after: Duration,
    }

    /// One target as it was considered in a choice.
    pub struct CandidateView {
        /// Name of the target.
        pub target: TargetId,
        /// Zone of the target's VM.
        pub zone: ZoneId,
        /// First layer held.
        pub first_layer: Layer,
        /// Layer after the last one held.
        pub end_layer: Layer,
        /// Sequences in progress: this entry's own, plus those reported for other entries.
        pub outstanding: u32,
        /// Slow-start weight: share of its usual load that the target gets, up to 1.
        pub weight: f64,
        /// Prompt tokens expected in its prefix cache.
        pub cached_tokens: u32,
        /// Expected compute time of the whole request, queueing included, cache savings deducted.
        pub compute: Duration,
        /// Whether the candidate was chosen, or why not.
        pub verdict: CandidateVerdict,
    }

    /// Whether a candidate was chosen, or why not.
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
        /// Its state is not `Ready`.
        NotReady,
        /// At its concurrency limit.
        AtLimit,
        /// Not enough KV memory.
        NoKvMemory,
    }

    /// Result of a choice, with a verdict on every target.
    pub struct ChainExplanation {
        /// The chosen chain, if there is one.
        pub chain: Option<Chain>,
        /// Reason why there is no chain.
        pub refusal: Option<RefusalReason>,
        /// First layer that no usable target covers, if a gap is the reason.
        pub uncovered: Option<Layer>,
        /// All targets of the model, in the order of layers, zones and names.
        pub candidates: Vec<CandidateView>,
    }

    /// Decision about an arriving request, with the figures behind it.
    pub struct AdmissionExplanation {
        /// Account of the request.
        pub account: AccountId,
        /// Reason, if it was refused.
        pub refusal: Option<Refusal>,
        /// Estimated time in the queue.
        pub estimated_wait: Duration,
        /// Number of the account's queued requests.
        pub account_queue: usize,
        /// Number of queued requests of all accounts.
        pub entry_queue: usize,
        /// Share of the pool, from 0 to 1, that the account gets while it always has requests
        /// waiting.
        pub share: f64,
        /// Tokens left in the account's bucket at this entry, if it has a quota.
        pub quota_left: Option<f64>,
    }
}

impl RefusalReason {
    /// All reasons, for registering counters.
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
