//! Requests, decisions and settings of admission control.

use std::sync::Arc;
use std::time::Duration;

use coriandercove_base::{AccountId, NodeId, RequestId, Time, data};

use crate::explain::Refusal;

data! {
    /// A request that arrives at admission control.
    #[derive(Eq)]
    pub struct Arrival {
        /// Id of the request. A request whose id is already queued or running at this entry is
        /// refused.
        pub req: RequestId,
        /// Client account that the cost is charged to.
        pub account: AccountId,
        /// Pool that serves the request: the model or the plain service.
        pub pool: Arc<str>,
        /// Cost in tokens: prompt plus expected output; at least 1.
        pub cost: u64,
        /// Priority within the account; lower values are served first.
        pub priority: u8,
        /// Time by which the answer must be complete, or its first token for a stream.
        pub deadline: Time,
        /// Expected time from dispatch to the event that `deadline` bounds.
        pub service_time: Duration,
    }

    /// Decision about an arriving request.
    #[derive(Eq)]
    pub enum Admitted {
        /// Dispatch at once; the request holds a slot until [`super::Admission::release`].
        Dispatch,
        /// The request is queued; [`super::Admission::poll`] dispatches or refuses it later.
        Queued {
            /// Estimated time until dispatch.
            estimated_wait: Duration,
        },
        /// Refused; it did not run.
        Refused(Refusal),
    }

    /// Decision about a queued request.
    #[derive(Eq)]
    pub enum AdmissionAction {
        /// Dispatch now; the request holds a slot until [`super::Admission::release`].
        Dispatch {
            /// Id of the request to dispatch.
            req: RequestId,
        },
        /// Refuse now; it did not run.
        Refuse {
            /// Id of the request that is refused.
            req: RequestId,
            /// Reason of the refusal, and when to retry.
            refusal: Refusal,
        },
    }

    /// Quota and weight of a client account.
    pub struct AccountLimits {
        /// Weight in the fair queue; above 0.
        pub weight: f64,
        /// Tokens per second over all entries; no quota if absent.
        pub tokens_per_second: Option<f64>,
        /// Tokens that may be saved up for a burst, over all entries.
        pub burst: f64,
    }

    /// Demand of one account at one entry.
    pub struct Demand {
        /// Name of the account.
        pub account: AccountId,
        /// Tokens per second requested, including those of refused requests.
        pub tokens_per_second: f64,
    }

    /// Demand of the accounts of an entry that have a quota. Entries exchange it to divide the
    /// quotas.
    #[derive(Default)]
    pub struct DemandDigest {
        /// Demand by account, largest first.
        pub accounts: Vec<Demand>,
        /// Whether all accounts with demand are listed; false if the list was truncated.
        pub is_complete: bool,
    }
}

/// Settings of [`super::Admission`].
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionConfig {
    /// Node name of this entry.
    pub node: NodeId,
    /// Maximum number of queued requests of one account.
    pub account_queue: usize,
    /// Maximum number of queued requests at this entry.
    pub entry_queue: usize,
    /// Limits of accounts that have none of their own.
    pub default_limits: AccountLimits,
}

impl AdmissionConfig {
    /// Default settings: 256 queued requests per account, 4096 at the entry, and accounts of weight
    /// 1 without a quota.
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
