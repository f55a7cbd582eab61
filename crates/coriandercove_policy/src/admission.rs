//! Admission at the door and the fair order of waiting requests.

use std::time::Duration;

use coriandercove_base::{AccountId, NodeId, RequestId, Time, data};

use crate::explain::{AdmissionExplanation, Refusal};

data! {
    /// A request that asks for admission.
    #[derive(Eq)]
    pub struct Arrival {
        /// Identifies the request.
        pub req: RequestId,
        /// Account that pays.
        pub account: AccountId,
        /// Pool that serves the request: the model or the plain service.
        pub pool: std::sync::Arc<str>,
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
        /// Dispatch at once; the request holds a slot until [`Admission::release`].
        Dispatch,
        /// Waits; [`Admission::poll`] yields it later.
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
        /// Dispatch now; the request holds a slot until [`Admission::release`].
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

    /// Demand of one account at one entry, for digests between entries.
    pub struct Demand {
        /// The account.
        pub account: AccountId,
        /// Tokens per second asked for, refused ones included.
        pub tokens_per_second: f64,
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

/// Admission of one entry.
#[derive(Debug)]
pub struct Admission {}

impl Admission {
    /// Admission without accounts or pools.
    #[must_use]
    pub fn new(cfg: AdmissionConfig) -> Self {
        unimplemented!()
    }

    /// Sets the limits of an account.
    pub fn set_limits(&mut self, account: &AccountId, limits: AccountLimits, now: Time) {
        unimplemented!()
    }

    /// Sets the requests that a pool takes at once from this entry.
    pub fn set_slots(&mut self, pool: &str, slots: u32) {
        unimplemented!()
    }

    /// Sets the live entries, this one included; quotas are split among them.
    pub fn set_entries(&mut self, entries: &[NodeId], now: Time) {
        unimplemented!()
    }

    /// Takes another entry's demand digest in.
    pub fn on_digest(&mut self, from: &NodeId, demand: &[Demand], now: Time) {
        unimplemented!()
    }

    /// This entry's demand, for its next digest; largest first, at most `max` accounts.
    #[must_use]
    pub fn demand(&self, now: Time, max: usize) -> Vec<Demand> {
        unimplemented!()
    }

    /// Decides on a new request.
    pub fn offer(&mut self, now: Time, arrival: Arrival) -> Admitted {
        unimplemented!()
    }

    /// What [`Admission::offer`] would decide, with the figures behind it; changes nothing.
    #[must_use]
    pub fn explain(&self, now: Time, arrival: &Arrival) -> AdmissionExplanation {
        unimplemented!()
    }

    /// Dispatches and refuses waiting requests; called after a release and at least every 100 ms.
    pub fn poll(&mut self, now: Time) -> Vec<AdmissionAction> {
        unimplemented!()
    }

    /// Puts a dispatched request that could not start (no chain) back at the head of its account.
    pub fn requeue(&mut self, now: Time, arrival: Arrival) {
        unimplemented!()
    }

    /// Frees the slot of a dispatched request; `actual_cost` corrects the account's quota.
    pub fn release(&mut self, now: Time, req: RequestId, actual_cost: u64) {
        unimplemented!()
    }

    /// Removes a waiting request whose caller went away; false if it does not wait.
    pub fn cancel(&mut self, req: RequestId) -> bool {
        unimplemented!()
    }

    /// Waiting requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        unimplemented!()
    }

    /// Dispatched requests that hold a slot.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        unimplemented!()
    }
}
