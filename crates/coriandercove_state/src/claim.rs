//! Claims: durable records that an idempotency key is in use.
//!
//! The claims of a service are spread over shards by their key. A shard keeps its claims in
//! numbered objects of the store, called segments. Several entries may write the same shard.

mod loader;
mod segment;
mod shard;
mod store_reply;
mod view;

use coriandercove_base::hash::{hash64, hash128};
use coriandercove_base::{RequestId, TicketId, data};

use crate::ticket::Ticket;

pub use segment::{MAX_SEGMENT_BYTES, Segment, SegmentError};
pub use shard::{Shard, ShardAction, ShardSettings};

/// Largest answer body that a claim keeps, in bytes. A claim of a larger answer has no body.
pub const MAX_CLAIM_BODY: usize = 4096;

/// 128-bit hash of an idempotency key and its client account; see [`key_hash`].
pub type KeyHash = u128;

data! {
    /// What is known about the call of a claim.
    #[derive(Eq)]
    pub enum ClaimState {
        /// The call may run, or may have run, under the claim's ticket.
        Open,
        /// The call was answered.
        Done {
            /// HTTP status code of the answer.
            status: u16,
            /// Body of the answer, absent if it was larger than [`MAX_CLAIM_BODY`] bytes or was not
            /// kept.
            body: Option<Vec<u8>>,
        },
        /// The call may have run, and its agent can no longer tell whether it did.
        Unknown,
        /// The call provably did not run; a repeat of the request may replace the claim.
        NotRun,
    }

    /// Record that an idempotency key is in use.
    #[derive(Eq)]
    pub struct Claim {
        /// Hash of the idempotency key and its client account.
        pub key: KeyHash,
        /// Hash of method, path and body of the request; see [`fingerprint`].
        pub fingerprint: u128,
        /// The request that made the claim.
        pub req: RequestId,
        /// The ticket under which the call runs or ran.
        pub ticket: Ticket,
        /// What is known about the call.
        pub state: ClaimState,
        /// Wall clock of the writing entry in ms since 1970, for diagnosis only; no decision
        /// depends on it.
        pub at_ms: u64,
    }

    /// A change to the claims of one shard. Changes are idempotent.
    #[derive(Eq)]
    pub enum Change {
        /// Adds the claim if its key has no claim, or one in state `NotRun` with the same
        /// fingerprint.
        Claim(Claim),
        /// Replaces the claim of a ticket that provably did not run, if that claim is `Open` or
        /// `NotRun`. Adds the claim if the key has none.
        Replace {
            /// Ticket of the claim that is replaced.
            old: TicketId,
            /// The new claim.
            new: Claim,
        },
        /// Sets the state of an open claim if it still has this ticket. `Done` also replaces
        /// `Unknown`.
        Record {
            /// Key of the claim.
            key: KeyHash,
            /// The ticket that the claim must have.
            ticket: TicketId,
            /// The new state.
            state: ClaimState,
            /// Wall clock of the entry in ms since 1970, for [`Claim::at_ms`].
            at_ms: u64,
        },
    }

    /// Result of a [`Change`].
    #[derive(Eq)]
    pub enum ChangeResult {
        /// The change is durable in the store.
        Written,
        /// The change contradicts this current claim of the key, or needs a claim and the key has
        /// none.
        Refused(Option<Box<Claim>>),
        /// The store cannot be reached. The change was not written and never will be.
        Unavailable,
        /// Too many changes are queued, or the claim or its body is too large. The change was not
        /// written and never will be.
        Overloaded,
    }
}

impl ClaimState {
    fn is_too_large(&self) -> bool {
        matches!(self, Self::Done { body: Some(body), .. } if body.len() > MAX_CLAIM_BODY)
    }
}

impl Change {
    /// Returns whether the answer body of the change exceeds [`MAX_CLAIM_BODY`]. Readers reject
    /// a whole segment that contains such a body.
    #[must_use]
    pub fn is_too_large(&self) -> bool {
        let state = match self {
            Self::Claim(claim) | Self::Replace { new: claim, .. } => &claim.state,
            Self::Record { state, .. } => state,
        };
        state.is_too_large()
    }

    /// Returns the key whose claim is changed.
    #[must_use]
    pub const fn key(&self) -> KeyHash {
        match self {
            Self::Claim(claim) | Self::Replace { new: claim, .. } => claim.key,
            Self::Record { key, .. } => *key,
        }
    }
}

/// Returns the hash of an idempotency key and its client account.
#[must_use]
pub fn key_hash(account: &str, key: &str) -> KeyHash {
    hash128(&[b"key", account.as_bytes(), key.as_bytes()])
}

/// Returns the hash that tells whether two requests with the same key are the same request.
#[must_use]
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> u128 {
    hash128(&[b"request", method.as_bytes(), path.as_bytes(), body])
}

/// Returns the shard of a key, below `shards`.
#[must_use]
pub fn shard_of(key: KeyHash, shards: u16) -> u16 {
    let hash = hash64(&[b"shard", &key.to_le_bytes()]);
    u16::try_from(hash % u64::from(shards.max(1))).unwrap_or(0)
}

/// Returns the prefix of the object names of a shard's segments.
#[must_use]
pub fn shard_prefix(service: &str, shard: u16) -> String {
    format!("claims/{service}/{shard:03}/")
}

#[cfg(test)]
mod tests;
