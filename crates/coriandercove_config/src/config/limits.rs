//! Limits and the record of claims.

use std::time::Duration;

use coriandercove_base::data;

data! {
    /// Limits on queues, retries and rates that hold at every node.
    #[derive(Eq)]
    #[serde(deny_unknown_fields, default)]
    pub struct Limits {
        /// Requests that wait at one entry for one account.
        pub queue_per_account: u32,
        /// Requests that wait at one entry.
        pub queue_per_entry: u32,
        /// Requests in progress at one replica.
        pub replica_concurrency: u32,
        /// Retries allowed, in percent of requests.
        pub retry_budget_percent: u32,
        /// Retries per second of one entry that are allowed beyond the percentage.
        pub retry_floor_per_second: u32,
        /// First delay before a retry.
        #[serde(with = "crate::duration")]
        pub retry_backoff_first: Duration,
        /// Longest delay before a retry.
        #[serde(with = "crate::duration")]
        pub retry_backoff_max: Duration,
        /// Time in which the weight of a new target rises to its full value.
        #[serde(with = "crate::duration")]
        pub slow_start: Duration,
        /// Share of the capacity of a layer range that ejection leaves in use, in percent.
        pub ejection_floor_percent: u32,
        /// How much worse a link must be before running chains leave it, in percent of its usual cost.
        pub replan_percent: u32,
        /// How long a link must be worse before running chains leave it.
        #[serde(with = "crate::duration")]
        pub replan_after: Duration,
        /// Weight loads from the weight store that run at one time, over all targets.
        pub weight_loads: u32,
    }

    /// How keyed calls that must not repeat are recorded in the store.
    #[derive(Eq)]
    #[serde(deny_unknown_fields, default)]
    pub struct Claims {
        /// Number of claim shards.
        pub shards: u16,
        /// How long a key is kept; afterwards a repeat is a new request.
        #[serde(with = "crate::duration")]
        pub retention: Duration,
        /// Writes to one shard per second at the most.
        pub writes_per_second: u32,
        /// Size at which a segment of a shard is sealed, in bytes.
        pub segment_bytes: u32,
        /// Largest answer that is kept with a claim, in bytes.
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

impl Default for Claims {
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
