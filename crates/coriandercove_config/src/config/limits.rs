//! Limits, and how claims are recorded.

use std::time::Duration;

use coriandercove_base::data;

data! {
    /// Limits on queues, retries and rates, the same at every node.
    ///
    /// At present the entries read only `replica_concurrency`. The other values are checked and
    /// distributed, and the processes use built-in defaults in their place.
    #[derive(Eq)]
    #[serde(deny_unknown_fields, default)]
    pub struct Limits {
        /// Maximum number of requests that one account may have queued at one entry.
        pub queue_per_account: u32,
        /// Maximum number of requests queued at one entry.
        pub queue_per_entry: u32,
        /// Maximum number of requests in flight at one replica.
        pub replica_concurrency: u32,
        /// Retry budget, in percent of requests.
        pub retry_budget_percent: u32,
        /// Retries per second that one entry may make in addition to the percentage.
        pub retry_floor_per_second: u32,
        /// Backoff before the first retry.
        #[serde(with = "crate::duration")]
        pub retry_backoff_first: Duration,
        /// Longest backoff before a retry.
        #[serde(with = "crate::duration")]
        pub retry_backoff_max: Duration,
        /// Time in which the load-balancing weight of a new target rises to its full value.
        #[serde(with = "crate::duration")]
        pub slow_start: Duration,
        /// Least share of the capacity of a layer range that outlier ejection leaves in use, in
        /// percent.
        pub ejection_floor_percent: u32,
        /// Cost of a link at which running chains are moved off it, in percent of its usual cost.
        pub replan_percent: u32,
        /// How long the cost of a link must stay that high before running chains are moved off it.
        #[serde(with = "crate::duration")]
        pub replan_after: Duration,
        /// Maximum number of concurrent loads of model weights from the weight store, over all
        /// targets.
        pub weight_loads: u32,
    }

    /// How calls with an idempotency key that must not repeat are recorded in the store, as claims.
    ///
    /// The values are checked and distributed, but entries do not read them at present: they use
    /// `OnceSettings::default` of the state crate.
    #[derive(Eq)]
    #[serde(deny_unknown_fields, default)]
    pub struct ClaimSettings {
        /// Number of shards over which the claims are spread.
        pub shards: u16,
        /// How long an idempotency key is kept. After that, a repeated call counts as a new one.
        #[serde(with = "crate::duration")]
        pub retention: Duration,
        /// Maximum number of writes to one shard per second.
        pub writes_per_second: u32,
        /// Size at which a segment of a shard is sealed and a new one begins, in bytes.
        pub segment_bytes: u32,
        /// Largest response that is stored with a claim, in bytes.
        pub answer_bytes: u32,
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            queue_per_account: 256,
            queue_per_entry: 4096,
            replica_concurrency: 64,
            retry_budget_percent: 10,
            retry_floor_per_second: 3,
            retry_backoff_first: Duration::from_millis(10),
            retry_backoff_max: Duration::from_millis(500),
            slow_start: Duration::from_secs(10),
            ejection_floor_percent: 50,
            replan_percent: 150,
            replan_after: Duration::from_secs(5),
            weight_loads: 4,
        }
    }
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            shards: 16,
            retention: Duration::from_secs(24 * 3600),
            writes_per_second: 10,
            segment_bytes: 256 * 1024,
            answer_bytes: 4096,
        }
    }
}
