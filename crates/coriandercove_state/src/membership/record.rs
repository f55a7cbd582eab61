//! The record of one member, and how two records of the same member merge.

use super::faults::{Faults, MembershipFault};
use coriandercove_base::hash::hash64;
use coriandercove_base::{Incarnation, NodeId, ZoneId, data};
use std::net::SocketAddr;

/// Stable hash of a node's name; stands for the name in datagrams to keep them small.
pub type MemberKey = u64;

/// Returns the key of the node with this name.
#[must_use]
pub fn member_key(node: &str) -> MemberKey {
    hash64(&[node.as_bytes()])
}

data! {
    /// Role of a node in the cluster.
    #[derive(Copy, Eq)]
    pub enum Role {
        /// Accepts callers' requests and routes them.
        Entry,
        /// Runs beside a target and connects it to the entries.
        Agent,
    }

    /// A member's description of itself.
    #[derive(Eq)]
    pub struct MemberInfo {
        /// Name of the node, unique in the cluster.
        pub node: NodeId,
        /// Availability zone in which the node runs.
        pub zone: ZoneId,
        /// Role of the node.
        pub role: Role,
        /// Address on which the node receives membership datagrams.
        pub udp: SocketAddr,
        /// Address on which the node accepts links from other nodes.
        pub tcp: SocketAddr,
        /// What the node offers to the router, opaque to membership; at most 400 bytes.
        pub detail: String,
        /// Rises with each change of `detail` in one incarnation.
        pub detail_version: u32,
    }

    /// Load of a member, coarse enough to fit into each heartbeat.
    #[derive(Copy, Eq, Default)]
    pub struct LoadReport {
        /// Number of requests that wait.
        pub queued: u16,
        /// Number of requests in progress.
        pub running: u16,
        /// Share of memory or slots in use, in hundredths.
        pub used: u8,
    }

    /// Whether a member's heartbeats arrive. For records of the same heartbeat the higher value
    /// wins the merge.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub enum Liveness {
        /// Heartbeats arrive, or no observer has missed them yet.
        Alive,
        /// Heartbeats are missing.
        Suspect,
        /// Silent for so long that the member is given up.
        Dead,
        /// Silent together with most of its zone, or while its observer was isolated. Above `Dead`,
        /// so that one entry that detects the partition prevents all entries from removing the
        /// zone.
        Unreachable,
    }

    /// State of a member as the router sees it, from its liveness and whether it is leaving.
    #[derive(Copy, Eq)]
    pub enum State {
        /// Accepts work.
        Alive,
        /// Heartbeats are missing.
        Suspect,
        /// The member's zone is silent.
        Unreachable,
        /// Silent for so long that the member is given up.
        Dead,
        /// Accepts no new work in this incarnation.
        Leaving,
    }

    /// All that entries know of a member.
    #[derive(Eq)]
    pub struct MemberRecord {
        /// The member's description of itself.
        pub info: MemberInfo,
        /// Incarnation (run) of the member that the record describes.
        pub incarnation: Incarnation,
        /// Highest sequence number known of this incarnation, from a heartbeat or, for an entry,
        /// from any of its digests and queries.
        pub beat: u64,
        /// Liveness as of `beat`.
        pub liveness: Liveness,
        /// Whether the member is leaving; never reset in one incarnation.
        pub leaving: bool,
    }
}

impl MemberRecord {
    /// Returns the state that the router sees.
    #[must_use]
    pub const fn state(&self) -> State {
        match (self.liveness, self.leaving) {
            (Liveness::Dead, _) => State::Dead,
            (_, true) => State::Leaving,
            (Liveness::Alive, _) => State::Alive,
            (Liveness::Suspect, _) => State::Suspect,
            (Liveness::Unreachable, _) => State::Unreachable,
        }
    }
}

/// What a merge changed in a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Merge {
    /// Nothing that others need to learn: at most the heartbeat number rose.
    Nothing,
    /// The liveness or whether the member is leaving.
    State,
    /// The incarnation or the member's description of itself.
    Info,
}

impl MemberRecord {
    /// Merges a state of the same incarnation, without info.
    ///
    /// The order is total for each incarnation: the higher heartbeat number wins, and for the same
    /// number the higher liveness. A member once marked as leaving stays so. The result therefore
    /// depends neither on the order in which datagrams arrive nor on duplicates.
    pub(crate) fn merge_state(
        &mut self,
        (beat, liveness): (u64, Liveness),
        leaving: bool,
        faults: Faults,
    ) -> Merge {
        let revives = liveness == Liveness::Alive && self.liveness != Liveness::Alive;
        let newer = (beat, liveness) > (self.beat, self.liveness)
            && !(revives && faults.has(MembershipFault::NoRefutation));
        let begins_leaving = leaving && !self.leaving;
        let changed = (newer && liveness != self.liveness) || begins_leaving;
        if newer {
            (self.beat, self.liveness) = (beat, liveness);
        }
        if faults.has(MembershipFault::LeavingOverwritten) {
            self.leaving = leaving;
        } else {
            self.leaving |= leaving;
        }
        if changed {
            Merge::State
        } else {
            Merge::Nothing
        }
    }

    /// Merges a whole record of the same member; a higher incarnation replaces the record.
    pub(crate) fn merge(&mut self, other: Self, faults: Faults) -> Merge {
        if other.incarnation < self.incarnation {
            return Merge::Nothing;
        }
        if other.incarnation > self.incarnation {
            *self = other;
            return Merge::Info;
        }
        let state = (other.beat, other.liveness);
        let merge = self.merge_state(state, other.leaving, faults);
        if other.info.detail_version > self.info.detail_version {
            self.info = other.info;
            return Merge::Info;
        }
        merge
    }
}
