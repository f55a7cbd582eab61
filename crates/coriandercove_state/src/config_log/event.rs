//! Events into and actions out of the configuration log.

use super::change::{Change, Difference, Edit};
use super::snapshot::{Manifest, SnapshotPart};
use coriandercove_base::{ConfigVersion, NodeId, data};
use snafu::Snafu;

/// Identifies a store call or an accept of one node, so that its answer finds it.
pub type OpId = u64;

data! {
    /// Asks a peer for the changes after a version.
    #[derive(Eq, Copy)]
    pub struct PullConfig {
        /// Version in force at the sender.
        pub after: ConfigVersion,
    }

    /// Answer to [`PullConfig`]; a snapshot comes as several answers over the same ordered link.
    #[derive(Eq)]
    pub enum PullReply {
        /// Consecutive changes from `after + 1`; empty if the peer has none.
        Changes(Vec<Change>),
        /// One part of a snapshot, sent when the peer no longer holds the changes.
        Snapshot {
            /// Describes the whole snapshot.
            manifest: Manifest,
            /// This part.
            part: SnapshotPart,
        },
    }
}

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads an object; answered by [`StoreAnswer::Object`].
    Get {
        /// Name of the object.
        name: String,
    },
    /// Lists names; answered by [`StoreAnswer::Names`] in ascending order.
    List {
        /// Prefix of the names.
        prefix: String,
    },
    /// Creates an object if it is absent; answered by [`StoreAnswer::Created`] or `Exists`.
    Create {
        /// Name of the object.
        name: String,
        /// Its value, at most 1 MB.
        body: Vec<u8>,
    },
    /// Deletes an object; answered by [`StoreAnswer::Deleted`], also if it was absent.
    Delete {
        /// Name of the object.
        name: String,
    },
    /// Waits until an object with the prefix and a name above `after` exists; answered by
    /// [`StoreAnswer::Names`], which may be empty when the wait ends without one.
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
    /// Value of the object, `None` if it is absent.
    Object(Option<Vec<u8>>),
    /// Names in ascending order.
    Names(Vec<String>),
    /// The object was absent and has been created.
    Created,
    /// The object exists already and is unchanged.
    Exists,
    /// The object is absent now.
    Deleted,
    /// No answer came; the call may have taken effect.
    Lost,
    /// The call was refused or not sent, and had no effect.
    Unavailable,
}

/// Input of [`super::ConfigLog::on_event`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigEvent {
    /// Time has passed.
    Tick,
    /// The live entries, as membership sees them.
    Entries(Vec<NodeId>),
    /// A peer reported its version, in a heartbeat or a digest.
    PeerVersion {
        /// The peer.
        peer: NodeId,
        /// Version in force there.
        version: ConfigVersion,
    },
    /// An operator accepts a change. Answered by `Accepted` or `Refused` with the same `op`.
    Accept {
        /// Chosen by the caller; unique among its open accepts.
        op: OpId,
        /// Version that the operator has seen; must be the latest one.
        expected: ConfigVersion,
        /// Random and unique for each accept.
        write_id: u128,
        /// Who accepts the change.
        author: String,
        /// What changes.
        edit: Edit,
    },
    /// The store answered a call.
    Store {
        /// Of the call.
        id: OpId,
        /// The answer.
        answer: StoreAnswer,
    },
    /// A peer asked for changes.
    Pull {
        /// The peer.
        peer: NodeId,
        /// Its request.
        req: PullConfig,
    },
    /// A peer answered a pull.
    Pulled {
        /// The peer.
        peer: NodeId,
        /// Its answer.
        reply: PullReply,
    },
    /// A pull failed: no connection, or the link closed before the answer.
    PullFailed {
        /// The peer.
        peer: NodeId,
    },
}

/// Output of [`super::ConfigLog::on_event`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigAction {
    /// Call the store and report the answer with the same id. Calls may run in parallel.
    Store {
        /// Identifies the call.
        id: OpId,
        /// The call.
        call: StoreCall,
    },
    /// Ask a peer over TCP.
    Pull {
        /// The peer.
        peer: NodeId,
        /// The request.
        req: PullConfig,
    },
    /// Answer a peer's pull, in order, over the same link.
    Reply {
        /// The peer.
        peer: NodeId,
        /// The answer.
        reply: PullReply,
    },
    /// A version is in force.
    InForce {
        /// The version.
        version: ConfigVersion,
        /// Keys that were set or removed since the last version in force.
        changed: Vec<String>,
    },
    /// The accept is durable and in force here.
    Accepted {
        /// Of the accept.
        op: OpId,
        /// Version that the change became.
        version: ConfigVersion,
    },
    /// The accept did not take effect, or is unsettled.
    Refused {
        /// Of the accept.
        op: OpId,
        /// Why.
        error: AcceptError,
    },
}

/// Why a change was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum AcceptError {
    /// Another version is the latest; the difference shows what it changed.
    #[snafu(display(
        "version {} is the latest, not {}; look at the difference and accept again",
        difference.to, difference.from
    ))]
    Conflict {
        /// From the expected version to the latest one.
        difference: Difference,
    },
    /// The encoded change is above the store's limit.
    #[snafu(display("the change takes {size} bytes; at most {limit} are allowed"))]
    TooLarge {
        /// Encoded size in bytes.
        size: usize,
        /// Largest size allowed, in bytes.
        limit: usize,
    },
    /// The change sets or removes nothing, or has an invalid key.
    #[snafu(display("the change is invalid at `{place}`: {problem}"))]
    Invalid {
        /// Key concerned.
        place: String,
        /// What is wrong and what is allowed.
        problem: String,
    },
    /// The store did not settle the accept in time. It may still take effect.
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
    /// This node does not accept changes, or another accept is open here.
    #[snafu(display("this node cannot accept a change now: {problem}"))]
    NotNow {
        /// What prevents it.
        problem: String,
    },
}

/// Counters of the configuration log.
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
    /// Accepts that lost to another one.
    pub conflicts: u64,
    /// Creates without an answer that were settled by reading back.
    pub settled: u64,
    /// Snapshots written.
    pub snapshots_written: u64,
    /// Snapshots loaded from the store or a peer.
    pub snapshots_loaded: u64,
    /// Log objects deleted by compaction.
    pub compacted: u64,
    /// Store calls without a useful answer.
    pub store_failures: u64,
}
