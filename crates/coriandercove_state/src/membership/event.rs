//! Events into and actions out of the membership machines.

use super::record::{LoadReport, MemberInfo, MemberRecord};
use coriandercove_base::{ConfigVersion, Incarnation, NodeId};
use std::net::SocketAddr;

/// Input of [`super::EntryMembership::on_event`] and [`super::AgentMembership::on_event`].
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipEvent {
    /// Time has passed; expected about every 200 ms.
    Tick,
    /// A datagram arrived. Malformed ones are counted and dropped.
    Received {
        /// Address of the sender; acks go back there.
        from: SocketAddr,
        /// Postcard encoding of a [`super::Message`].
        bytes: Vec<u8>,
    },
    /// Version of the configuration in force at this node.
    ConfigVersion(ConfigVersion),
    /// This node's load changed.
    Load(LoadReport),
    /// What this node offers changed; see [`MemberInfo::detail`].
    Detail(String),
    /// This node begins to leave.
    Leave,
    /// A view of the platform's VM list. It lags, so it adds members and marks them as leaving,
    /// and never removes one.
    VmList(Vec<VmListed>),
    /// A peer's whole table, the answer to [`MembershipAction::PullTable`].
    Table(Vec<MemberRecord>),
}

/// A VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmListed {
    /// The member on the VM.
    pub info: MemberInfo,
    /// Whether the platform is about to take the VM away.
    pub leaving: bool,
}

/// Output of the membership machines.
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipAction {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// Postcard encoding of a [`super::Message`].
        bytes: Vec<u8>,
    },
    /// Tell the router and the other parts.
    Event(MemberEvent),
    /// Give [`crate::config_log`] the version that a peer reported.
    PeerConfig {
        /// The peer.
        peer: NodeId,
        /// Address of its TCP port.
        tcp: SocketAddr,
        /// Version in force there.
        version: ConfigVersion,
    },
    /// Fetch the whole table from a peer over TCP, see [`super::EntryMembership::table`].
    PullTable {
        /// Address of the peer's TCP port.
        tcp: SocketAddr,
    },
    /// A higher incarnation of this node was known soon after its start, because the wall clock
    /// stepped back, so this run takes the given number.
    AdoptIncarnation(Incarnation),
    /// A later run of this node has taken over, so this one must stop. It sends nothing more.
    Superseded(Incarnation),
}

/// What changed in the member table.
#[derive(Debug, Clone, PartialEq)]
pub enum MemberEvent {
    /// A member is available: new, restarted, or silent before and heard again.
    Up {
        /// The member.
        info: MemberInfo,
        /// Its run.
        incarnation: Incarnation,
    },
    /// What a member offers changed.
    Detail {
        /// The member.
        info: MemberInfo,
    },
    /// The load of a member changed.
    Load {
        /// The member.
        node: NodeId,
        /// The load, which lags.
        load: LoadReport,
    },
    /// A member missed heartbeats.
    Suspect {
        /// The member.
        node: NodeId,
    },
    /// A member takes no new work in this incarnation.
    Leaving {
        /// The member.
        node: NodeId,
    },
    /// A member's zone is silent; the data path's own connections decide whether it is usable.
    Unreachable {
        /// The member.
        node: NodeId,
    },
    /// A member is dead.
    Dead {
        /// The member.
        node: NodeId,
    },
    /// A member that was dead or unreachable for long is no longer listed.
    Forgotten {
        /// The member.
        node: NodeId,
    },
}

/// Counters of a membership machine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MembershipCounters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of datagrams sent, with the overhead set in [`super::MembershipSettings`].
    pub bytes_sent: u64,
    /// Datagrams received.
    pub received: u64,
    /// Bytes of datagrams received, with the overhead set in [`super::MembershipSettings`].
    pub bytes_received: u64,
    /// Datagrams that could not be decoded.
    pub malformed: u64,
    /// Datagrams older than one already seen from the same sender, or doubled.
    pub stale: u64,
    /// Records ignored because they are older than what is known.
    pub stale_records: u64,
    /// Members found dead by this node.
    pub deaths: u64,
    /// Suspicions withdrawn because the member was heard again.
    pub refuted: u64,
    /// Digests held back or shortened because the byte budget was used up.
    pub over_budget: u64,
}
