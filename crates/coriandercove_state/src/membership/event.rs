//! Input events and output actions of the membership state machines.

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
    /// The version of the configuration in force at this node changed.
    ConfigVersion(ConfigVersion),
    /// This node's load changed.
    Load(LoadReport),
    /// This node's [`MemberInfo::detail`] changed. A text above 400 bytes is ignored and counted as
    /// malformed.
    Detail(String),
    /// This node begins to leave and accepts no new work.
    Leave,
    /// The platform's VM list as this node sees it. The list lags, so it only adds members and
    /// marks them as leaving; it never removes one.
    VmList(Vec<VmListed>),
    /// A peer's whole table arrived, the answer to [`MembershipAction::PullTable`].
    Table(Vec<MemberRecord>),
}

/// A VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmListed {
    /// The node that runs on the VM.
    pub info: MemberInfo,
    /// Whether the platform is about to take the VM away.
    pub leaving: bool,
}

/// Output of the membership state machines.
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipAction {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// Postcard encoding of a [`super::Message`].
        bytes: Vec<u8>,
    },
    /// Report a change of the member table to the router.
    Event(MemberEvent),
    /// Report a peer with a later configuration to [`crate::config_log`].
    PeerConfig {
        /// Name of the peer.
        peer: NodeId,
        /// Address of its TCP port.
        tcp: SocketAddr,
        /// Version in force at the peer, above the one in force at this node.
        version: ConfigVersion,
    },
    /// Fetch the whole table from a peer over TCP, see [`super::EntryMembership::table`].
    PullTable {
        /// Address of the peer's TCP port.
        tcp: SocketAddr,
    },
    /// Use the given incarnation from now on. Sent when the cluster knows a higher incarnation of
    /// this node soon after its start, because the wall clock stepped back.
    AdoptIncarnation(Incarnation),
    /// Stop this process: a later run of this node, with the given incarnation, has taken over. The
    /// state machine sends nothing more.
    Superseded(Incarnation),
}

/// A change of the member table.
#[derive(Debug, Clone, PartialEq)]
pub enum MemberEvent {
    /// A member is available: it is new, has restarted, or sends heartbeats again after a silence.
    Up {
        /// The member's description of itself.
        info: MemberInfo,
        /// Incarnation of the member.
        incarnation: Incarnation,
    },
    /// The [`MemberInfo::detail`] of a member changed. The state machines do not produce this event
    /// at present.
    Detail {
        /// The member's description of itself.
        info: MemberInfo,
    },
    /// The load of a member changed.
    Load {
        /// Name of the member.
        node: NodeId,
        /// Load as of a recent heartbeat.
        load: LoadReport,
    },
    /// A member's heartbeats are missing.
    Suspect {
        /// Name of the member.
        node: NodeId,
    },
    /// A member accepts no new work in this incarnation.
    Leaving {
        /// Name of the member.
        node: NodeId,
    },
    /// A member is silent together with most of its zone. Whether it is usable is decided by the
    /// connections of the data path.
    Unreachable {
        /// Name of the member.
        node: NodeId,
    },
    /// A member was silent for so long that it is given up.
    Dead {
        /// Name of the member.
        node: NodeId,
    },
    /// A member that was dead or unreachable for long has been removed from the table.
    Forgotten {
        /// Name of the member.
        node: NodeId,
    },
}

/// Counters of a membership state machine since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MembershipCounters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of datagrams sent, including the overhead set in [`super::MembershipSettings`].
    pub bytes_sent: u64,
    /// Datagrams received.
    pub received: u64,
    /// Bytes of datagrams received, including the overhead set in [`super::MembershipSettings`].
    pub bytes_received: u64,
    /// Datagrams that could not be decoded or, at an agent, are no acks; and details of this node
    /// that were too long.
    pub malformed: u64,
    /// Datagrams that are older than one already received from the same sender, or duplicates.
    pub stale: u64,
    /// Records and states that are older than the known ones or describe a dead or forgotten member
    /// that is not in the table.
    pub stale_records: u64,
    /// Members that this node itself gave up as dead.
    pub deaths: u64,
    /// Suspicions and other failure states withdrawn because a higher heartbeat number proved the
    /// member alive.
    pub refuted: u64,
    /// Digests and requested records not sent because the byte budget was used up. Unsent answers
    /// to queries are not counted.
    pub over_budget: u64,
}
