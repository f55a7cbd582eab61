//! Claims: durable records that a key is in use, kept in sharded segments in the store.

mod index;
mod load;
mod reply;
mod segment;
mod shard;

use coriandercove_base::hash::{hash64, hash128};
use coriandercove_base::{RequestId, TicketId, data};

use crate::ticket::Ticket;

pub use segment::{MAX_SEGMENT_BYTES, Segment, SegmentError};
pub use shard::{Shard, ShardAction, ShardSettings};

/// Largest answer body that a claim keeps, in bytes.
pub const MAX_CLAIM_BODY: usize = 4096;

/// 128-bit hash that identifies a key within its client account.
pub type KeyHash = u128;

data! {
    /// State of a claim.
    #[derive(Eq)]
    pub enum ClaimState {
        /// The call may run under the claim's ticket.
        Open,
        /// The call was answered.
        Done {
            /// HTTP status of the answer.
            status: u16,
            /// Body of the answer if it has at most [`MAX_CLAIM_BODY`] bytes.
            body: Option<Vec<u8>>,
        },
        /// The call may or may not have run, and its agent can no longer tell.
        Unknown,
        /// The call provably did not run; a repeat may take the claim over.
        NotRun,
    }

    /// Record that a key is in use.
    #[derive(Eq)]
    pub struct Claim {
        /// The key.
        pub key: KeyHash,
        /// Hash of method, path and body of the request.
        pub fingerprint: u128,
        /// The request that made the claim.
        pub req: RequestId,
        /// The ticket under which the call runs or ran.
        pub ticket: Ticket,
        /// What is known of the call.
        pub state: ClaimState,
        /// Wall clock of the writing entry in ms since 1970, for people; nothing depends on it.
        pub at_ms: u64,
    }

    /// A change to the claims of one shard. Applying a change twice has no further effect.
    #[derive(Eq)]
    pub enum Change {
        /// Adds the claim if its key has none, or one in state `NotRun`.
        Claim(Claim),
        /// Replaces the open claim of a ticket that provably did not run.
        Replace {
            /// Ticket of the claim that is replaced.
            old: TicketId,
            /// The new claim.
            new: Claim,
        },
        /// Sets the state of an open claim if it still has this ticket.
        Record {
            /// The key of the claim.
            key: KeyHash,
            /// The ticket that the claim must have.
            ticket: TicketId,
            /// The new state.
            state: ClaimState,
            /// Wall clock of the entry in ms since 1970.
            at_ms: u64,
        },
    }

    /// Result of a [`Change`].
    #[derive(Eq)]
    pub enum ChangeResult {
        /// The change is durable.
        Written,
        /// The change cannot be applied, because this is the claim of the key now.
        Refused(Option<Box<Claim>>),
        /// The store cannot be reached. The change was certainly not written and will not be.
        Unavailable,
        /// Too many changes wait, or the claim is larger than a segment. The change was
        /// certainly not written and will not be.
        Overloaded,
    }
}

impl ClaimState {
    fn is_too_large(&self) -> bool {
        matches!(self, Self::Done { body: Some(body), .. } if body.len() > MAX_CLAIM_BODY)
    }
}

impl Change {
    /// Whether the change carries an answer body that no reader of the segment would accept.
    #[must_use]
    pub fn is_too_large(&self) -> bool {
        let state = match self {
            Self::Claim(claim) | Self::Replace { new: claim, .. } => &claim.state,
            Self::Record { state, .. } => state,
        };
        state.is_too_large()
    }

    /// The key that the change is about.
    #[must_use]
    pub const fn key(&self) -> KeyHash {
        match self {
            Self::Claim(claim) | Self::Replace { new: claim, .. } => claim.key,
            Self::Record { key, .. } => *key,
        }
    }
}

/// Hash of an idempotency key within its client account.
#[must_use]
pub fn key_hash(account: &str, key: &str) -> KeyHash {
    hash128(&[b"key", account.as_bytes(), key.as_bytes()])
}

/// Hash that tells whether a repeat carries the same request.
#[must_use]
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> u128 {
    hash128(&[b"request", method.as_bytes(), path.as_bytes(), body])
}

/// The shard of a key among `shards`.
#[must_use]
pub fn shard_of(key: KeyHash, shards: u16) -> u16 {
    let hash = hash64(&[b"shard", &key.to_le_bytes()]);
    u16::try_from(hash % u64::from(shards.max(1))).unwrap_or(0)
}

/// Start of the names of a shard's segments.
#[must_use]
pub fn shard_prefix(service: &str, shard: u16) -> String {
    format!("claims/{service}/{shard:03}/")
}

#[cfg(test)]
mod tests;
