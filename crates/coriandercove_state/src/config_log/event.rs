//! Input events and output actions of the configuration log, and its messages between nodes.

use super::change::{Change, Difference, Edit};
use super::snapshot::{Manifest, SnapshotPart};
use coriandercove_base::{ConfigVersion, NodeId, data};
use snafu::Snafu;

/// Identifier of a store call or an accept at one node, which the answer repeats.
pub type OpId = u64;

data! {
    /// Asks a peer for the changes after a version.
    #[derive(Eq, Copy)]
    pub struct PullConfig {
        /// Version in force at the sender; the changes after it are wanted.
        pub after: ConfigVersion,
    }

    /// Answer to [`PullConfig`]. A snapshot is sent as several answers over the same ordered link.
    #[derive(Eq)]
    pub enum PullReply {
        /// Consecutive changes from `after + 1`; empty if the peer has no later version. The last
        /// of many changes may be left out to limit the size.
        Changes(Vec<Change>),
        /// One part of a snapshot, sent when the peer no longer holds the changes.
        Snapshot {
            /// Manifest of the whole snapshot, the same in each answer.
            manifest: Manifest,
            /// One of its parts.
            part: SnapshotPart,
        },
    }
}

/// A call of the configuration log to the store. Unlike [`crate::store_call::StoreCall`] it has a
/// watch and a delete without a version, but no replacing write: objects of the log never change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Read an object; answered by [`StoreAnswer::Object`].
    Get {
        /// Name of the object.
        name: String,
    },
    /// List names; answered by [`StoreAnswer::Names`] in ascending order.
    List {
        /// Prefix of the names.
        prefix: String,
    },
    /// Create an object if it is absent; answered by [`StoreAnswer::Created`] or
    /// [`StoreAnswer::Exists`].
    Create {
        /// Name of the object.
        name: String,
        /// Value of the object, at most [`super::MAX_OBJECT_BYTES`].
        body: Vec<u8>,
    },
    /// Delete an object; answered by [`StoreAnswer::Deleted`], also if it was absent.
    Delete {
        /// Name of the object.
        name: String,
    },
    /// Wait until an object with the prefix and a name above `after` exists; answered by
    /// [`StoreAnswer::Names`], which may be empty if the wait ends without one.
    Watch {
        /// Prefix of the names.
        prefix: String,
        /// Highest name known.
        after: String,
    },
}

/// Answer to a [`StoreCall`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreAnswer {
    /// Value of the object; `None` if it is absent.
    Object(Option<Vec<u8>>),
    /// Names in ascending order.
    Names(Vec<String>),
    /// The object was absent and has been created.
    Created,
    /// The object exists already and is unchanged.
    Exists,
    /// The object is absent now.
    Deleted,
    /// No answer came. The call may have taken effect or may still take effect.
    Lost,
    /// The call was refused or not sent, and had no effect.
    Unavailable,
}

/// Input of [`super::ConfigLog::on_event`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigEvent {
    /// Time has passed.
    Tick,
    /// The live entries according to membership, in place of the previous ones.
    Entries(Vec<NodeId>),
    /// A peer reported the version that is in force at it, in a membership datagram.
    PeerVersion {
        /// Name of the peer.
        peer: NodeId,
        /// Version in force at the peer.
        version: ConfigVersion,
    },
    /// An operator accepts a change, that is, asks to make it the next version. Answered by
    /// [`ConfigAction::Accepted`] or [`ConfigAction::Refused`] with the same `op`.
    Accept {
        /// Identifier chosen by the caller, unique among its open accepts.
        op: OpId,
        /// Version on which the operator bases the change; must be the latest one.
        expected: ConfigVersion,
        /// Random and unique for each accept.
        write_id: u128,
        /// Operator who accepts the change.
        author: String,
        /// Objects to set and remove.
        edit: Edit,
    },
    /// The store answered a call.
    Store {
        /// Identifier of the call.
        id: OpId,
        /// Answer of the store.
        answer: StoreAnswer,
    },
    /// A peer asked for changes.
    Pull {
        /// Name of the peer.
        peer: NodeId,
        /// Request of the peer.
        req: PullConfig,
    },
    /// A peer answered a pull.
    Pulled {
        /// Name of the peer.
        peer: NodeId,
        /// Answer of the peer.
        reply: PullReply,
    },
    /// A pull failed: no connection, or the link closed before the answer.
    PullFailed {
        /// Name of the peer.
        peer: NodeId,
    },
}

/// Output of [`super::ConfigLog::on_event`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigAction {
    /// Call the store, and return its answer as [`ConfigEvent::Store`] with the same id. Calls may
    /// run in parallel.
    Store {
        /// Identifier of the call.
        id: OpId,
        /// Call to the store.
        call: StoreCall,
    },
    /// Send a pull to a peer over TCP.
    Pull {
        /// Name of the peer.
        peer: NodeId,
        /// Request to the peer.
        req: PullConfig,
    },
    /// Answer a peer's pull. Several answers are sent in order over the same link.
    Reply {
        /// Name of the peer.
        peer: NodeId,
        /// Answer to the peer.
        reply: PullReply,
    },
    /// Report that a version is now in force at this node.
    InForce {
        /// Version in force.
        version: ConfigVersion,
        /// Keys that were set or removed since the last version in force.
        changed: Vec<String>,
    },
    /// Report that an accept took effect: the change is durable in the store.
    Accepted {
        /// Identifier of the accept.
        op: OpId,
        /// Version that the change became.
        version: ConfigVersion,
    },
    /// Report that an accept did not take effect, or that its result is unknown.
    Refused {
        /// Identifier of the accept.
        op: OpId,
        /// Cause of the refusal.
        error: AcceptError,
    },
}

/// Why a change was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum AcceptError {
    /// The expected version is not the latest one.
    #[snafu(display(
        "version {} is the latest, not {}; look at the difference and accept again",
        difference.to, difference.from
    ))]
    Conflict {
        /// Changes from the expected version to the latest one.
        difference: Difference,
    },
    /// The encoded change is larger than [`super::MAX_OBJECT_BYTES`].
    #[snafu(display("the change takes {size} bytes; at most {limit} are allowed"))]
    TooLarge {
        /// Encoded size in bytes.
        size: usize,
        /// Largest size allowed, in bytes.
        limit: usize,
    },
    /// The change sets and removes nothing, or has an invalid key or value.
    #[snafu(display("the change is invalid at `{place}`: {problem}"))]
    Invalid {
        /// Key concerned; empty if the whole change is concerned.
        place: String,
        /// What is wrong and what is allowed.
        problem: String,
    },
    /// The store did not show the result of the accept in time. The change may still take effect.
    #[snafu(display("the store did not settle version {version}; it may still take effect"))]
    Unsettled {
        /// Version that the change would become.
        version: ConfigVersion,
    },
    /// The store holds an invalid change at the next version.
    #[snafu(display("the store holds an invalid change as version {version}"))]
    Corrupt {
        /// Version of the invalid change.
        version: ConfigVersion,
    },
    /// This node cannot accept the change now, and the change has not taken effect.
    #[snafu(display("this node cannot accept a change now: {problem}"))]
    NotNow {
        /// What prevents it.
        problem: String,
    },
}

/// Counters of the configuration log since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfigCounters {
    /// Changes applied.
    pub applied: u64,
    /// Changes or snapshots refused because they do not match their digest or version.
    pub rejected: u64,
    /// Changes ignored because their version is not above the one in force.
    pub stale: u64,
    /// Accepts that took effect.
    pub accepted: u64,
    /// Accepts refused because another version is the latest.
    pub conflicts: u64,
    /// Creates whose answer was lost, so that the log object was read back.
    pub settled: u64,
    /// Snapshots written.
    pub snapshots_written: u64,
    /// Snapshots loaded from the store or a peer.
    pub snapshots_loaded: u64,
    /// Log objects and objects of old snapshots deleted by compaction.
    pub compacted: u64,
    /// Store calls without a usable answer.
    pub store_failures: u64,
}
