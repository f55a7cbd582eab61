//! What is known of one member, and how two records of it merge.

use super::faults::{Faults, MembershipFault};
use coriandercove_base::hash::hash64;
use coriandercove_base::{Incarnation, NodeId, ZoneId, data};
use std::net::SocketAddr;

/// Stable hash of a node's name, which keeps datagrams small.
pub type MemberKey = u64;

/// The key of a node.
#[must_use]
pub fn member_key(node: &str) -> MemberKey {
    hash64(&[node.as_bytes()])
}

data! {
    /// What a node does.
    #[derive(Copy, Eq)]
    pub enum Role {
        /// Accepts callers' requests.
        Entry,
        /// Runs beside a target.
        Agent,
    }

    /// What a member says of itself.
    #[derive(Eq)]
    pub struct MemberInfo {
        /// Its name.
        pub node: NodeId,
        /// Its zone.
        pub zone: ZoneId,
        /// Its role.
        pub role: Role,
        /// Where it takes membership datagrams.
        pub udp: SocketAddr,
        /// Where it takes links of other nodes.
        pub tcp: SocketAddr,
        /// What it offers, opaque to membership; at most 400 bytes.
        pub detail: String,
        /// Rises with each change of `detail` in one incarnation.
        pub detail_version: u32,
    }

    /// Load of a member, coarse enough for a datagram.
    #[derive(Copy, Eq, Default)]
    pub struct LoadReport {
        /// Work that waits.
        pub queued: u16,
        /// Work in progress.
        pub running: u16,
        /// Memory or slots in use, in hundredths.
        pub used: u8,
    }

    /// Whether a member is heard, in the order in which records of the same heartbeat merge.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub enum Liveness {
        /// Heard of late.
        Alive,
        /// Missed heartbeats.
        Suspect,
        /// Silent for so long that it is given up.
        Dead,
        /// Silent together with most of its zone. Above `Dead`, so that one entry that sees the
        /// partition keeps the zone from being emptied at all of them.
        Unreachable,
    }

    /// State of a member as the other parts see it.
    #[derive(Copy, Eq)]
    pub enum State {
        /// Takes work.
        Alive,
        /// Missed heartbeats.
        Suspect,
        /// Its zone is silent.
        Unreachable,
        /// Given up.
        Dead,
        /// Takes no new work in this incarnation.
        Leaving,
    }

    /// All that is known of a member.
    #[derive(Eq)]
    pub struct MemberRecord {
        /// What it says of itself.
        pub info: MemberInfo,
        /// Its run.
        pub incarnation: Incarnation,
        /// Highest heartbeat known, of this incarnation.
        pub beat: u64,
        /// Whether it is heard, as of `beat`.
        pub liveness: Liveness,
        /// Whether it leaves; never taken back in one incarnation.
        pub leaving: bool,
    }
}

impl MemberRecord {
    /// State as the other parts see it.
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

/// What a merge changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Merge {
    /// The other record is older or equal.
    Nothing,
    /// Heartbeat, liveness or leaving.
    State,
    /// The run or what the member says of itself.
    Info,
}

impl MemberRecord {
    /// Merges state of the same or a higher incarnation, without info.
    ///
    /// The order is total for each incarnation: the higher heartbeat wins, and for the same
    /// heartbeat the higher liveness. Leaving is kept. So the result does not depend on the order
    /// in which datagrams arrive, nor on doubled ones.
    pub(crate) fn merge_state(
        &mut self,
        (beat, liveness): (u64, Liveness),
        leaving: bool,
        faults: Faults,
    ) -> Merge {
        let revives = liveness == Liveness::Alive && self.liveness != Liveness::Alive;
        let newer = (beat, liveness) > (self.beat, self.liveness)
            && !(revives && faults.has(MembershipFault::NoRefutation));
        let leaves = leaving && !self.leaving;
        let news = (newer && liveness != self.liveness) || leaves;
        if newer {
            (self.beat, self.liveness) = (beat, liveness);
        }
        if faults.has(MembershipFault::LeavingOverwritten) {
            self.leaving = leaving;
        } else {
            self.leaving |= leaving;
        }
        if news { Merge::State } else { Merge::Nothing }
    }

    /// Merges a whole record of the same member.
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
