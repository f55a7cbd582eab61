//! Demand digests of client accounts, by which entries split the accounts' quotas.

use coriandercove_base::{NodeId, Time};
use coriandercove_policy::admission::DemandDigest;

use super::Core;

impl Core {
    /// Returns this entry's demand digest with at most `accounts` accounts.
    #[must_use]
    pub fn demand(&self, now: Time, accounts: usize) -> DemandDigest {
        self.admission.digest(now, accounts)
    }

    /// Handles the demand digest of another entry.
    pub fn on_demand(&mut self, now: Time, from: &NodeId, digest: &DemandDigest) {
        self.admission.on_digest(from, digest, now);
    }
}

#[cfg(test)]
mod tests;
