//! Types of admission.

use std::sync::Arc;
use std::time::Duration;

use coriandercove_base::{AccountId, NodeId, RequestId, Time, data};

use crate::explain::Refusal;

data! {
    /// A request that asks for admission.
    #[derive(Eq)]
    pub struct Arrival {
        /// Identifies the request.
        pub req: RequestId,
        /// Account that pays.
        pub account: AccountId,
        /// Pool that serves the request: the model or the plain service.
        pub pool: Arc<str>,
        /// Cost in tokens: prompt plus expected output; at least 1.
        pub cost: u64,
        /// Lower values go first within the account.
        pub priority: u8,
        /// Time by which the answer must be complete, or its first token for a stream.
        pub deadline: Time,
        /// Expected time from dispatch to what the deadline asks for.
        pub service_time: Duration,
    }

    /// Decision at the door.
    #[derive(Eq)]
    pub enum Admitted {
        /// Dispatch at once; the request holds a slot until [`super::Admission::release`].
        Dispatch,
        /// Waits; [`super::Admission::poll`] yields it later.
        Queued {
            /// Estimated wait.
            estimated_wait: Duration,
        },
        /// Refused; it did not run.
        Refused(Refusal),
    }

    /// Decision about a waiting request.
    #[derive(Eq)]
    pub enum AdmissionAction {
        /// Dispatch now; the request holds a slot until [`super::Admission::release`].
        Dispatch {
            /// The request.
            req: RequestId,
        },
        /// Refuse now; it did not run.
        Refuse {
            /// The request.
            req: RequestId,
            /// Why.
            refusal: Refusal,
        },
    }

    /// Quota and weight of a client account.
    pub struct AccountLimits {
        /// Weight in the fair queue; above 0.
        pub weight: f64,
        /// Tokens per second over all entries; no quota if absent.
        pub tokens_per_second: Option<f64>,
        /// Tokens of burst over all entries.
        pub burst: f64,
    }

    /// Demand of one account at one entry.
    pub struct Demand {
        /// The account.
        pub account: AccountId,
        /// Tokens per second asked for, refused ones included.
        pub tokens_per_second: f64,
    }

    /// Demand of an entry's busiest accounts with a quota.
    #[derive(Default)]
    pub struct DemandDigest {
        /// Accounts, largest demand first.
        pub accounts: Vec<Demand>,
        /// Whether all accounts with demand are listed.
        pub is_complete: bool,
    }
}

/// Settings of admission.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionConfig {
    /// This entry.
    pub node: NodeId,
    /// Waiting requests allowed for one account.
    pub account_queue: usize,
    /// Waiting requests allowed at the entry.
    pub entry_queue: usize,
    /// Limits of accounts that have none of their own.
    pub default_limits: AccountLimits,
}

impl AdmissionConfig {
    /// The usual bounds, and accounts of weight 1 without a quota.
    #[must_use]
    pub fn new(node: NodeId) -> Self {
        Self {
            node,
            account_queue: 256,
            entry_queue: 4096,
            default_limits: AccountLimits {
                weight: 1.0,
                tokens_per_second: None,
                burst: 0.0,
            },
        }
    }
}
