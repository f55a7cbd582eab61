//! Client accounts.

use coriandercove_base::{AccountId, data};

use super::Pipeline;

data! {
    /// A client account: its share of the capacity, its quota and its API keys.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Account {
        /// Name of the account.
        pub name: AccountId,
        /// Relative share of the capacity under contention, from 1.
        pub weight: u32,
        /// Sustained quota in tokens per second, prompt and answer together.
        pub quota_tokens_per_second: u64,
        /// Tokens that may be used in one burst beyond the sustained quota.
        pub burst_tokens: u64,
        /// Maximum number of requests in flight, over all entries.
        pub concurrency: u32,
        /// Priority of the account's requests, 0 to 9; lower values run first.
        pub priority: u8,
        /// Valid API keys. With two valid keys at a time, an account can rotate keys without
        /// interruption.
        pub keys: Vec<KeyHash>,
    }

    /// Id and hash of an API key of a client account, without its secret.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct KeyHash {
        /// Key id, 12 hexadecimal digits. It is part of the key and not secret.
        pub id: String,
        /// BLAKE3 hash of the secret part of the key, 64 hexadecimal digits.
        pub hash: String,
    }
}

impl Account {
    /// Priority of a request for `pipeline`, 0 to 99; lower values run first.
    ///
    /// The priority of the account comes first, because it says how urgently a person needs the
    /// answer. The priority of the model decides between requests of accounts with equal priority.
    #[must_use]
    pub const fn request_priority(&self, pipeline: &Pipeline) -> u8 {
        let account = if self.priority > 9 { 9 } else { self.priority };
        let model = if pipeline.priority > 9 {
            9
        } else {
            pipeline.priority
        };
        account * 10 + model
    }
}
