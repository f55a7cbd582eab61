//! Client accounts.

use coriandercove_base::{AccountId, data};

use super::Pipeline;

data! {
    /// A client account: its share of the capacity, its quota and its keys.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Account {
        /// Name of the account.
        pub name: AccountId,
        /// Share of the capacity under contention, relative to other accounts; from 1.
        pub weight: u32,
        /// Sustained quota in tokens per second, prompt and answer together.
        pub quota_tokens_per_second: u64,
        /// Tokens that may be used at once beyond the sustained quota.
        pub burst_tokens: u64,
        /// Requests in progress at one time, over all entries.
        pub concurrency: u32,
        /// Priority of the account's requests, 0 to 9; lower values run first.
        pub priority: u8,
        /// Keys that are valid now. Two keys at one time let an account rotate without a break.
        pub keys: Vec<KeyHash>,
    }

    /// A key of a client account, without the key itself.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct KeyHash {
        /// Public id of the key, 12 hexadecimal digits; part of the key.
        pub id: String,
        /// BLAKE3 hash of the secret part, 64 hexadecimal digits.
        pub hash: String,
    }
}

impl Account {
    /// Priority of a request for `pipeline`, 0 to 99; lower values run first.
    ///
    /// The account's priority counts first, because it says how urgently a person waits; that of
    /// the model decides between requests of equal accounts.
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
