//! Settings of the membership protocol.

use super::record::MemberInfo;
use coriandercove_base::Incarnation;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of one node's membership state machine, fixed when it is created.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// Description of this node.
    pub me: MemberInfo,
    /// Incarnation (run) of this node; a restart must have a higher one.
    pub incarnation: Incarnation,
    /// Membership addresses of entries that the node contacts first.
    pub seeds: Vec<SocketAddr>,
    /// Interval between heartbeats, and between regular rounds of gossip.
    pub heartbeat: Duration,
    /// Time since the last heartbeat after which a member is suspect.
    pub suspect_after: Duration,
    /// Further silence after which a suspect member is dead or unreachable.
    pub dead_after: Duration,
    /// Window in which most of a zone must become suspect for it to count as partitioned.
    pub partition_window: Duration,
    /// Time after which a dead member is removed from the table.
    pub forget_dead: Duration,
    /// Time after which an unreachable member is removed from the table.
    pub forget_unreachable: Duration,
    /// Time for which stale records cannot add a removed incarnation again.
    pub remember_forgotten: Duration,
    /// Time after the start within which a higher incarnation known to others is attributed to a
    /// wall clock that stepped back, and adopted. Later it means that another run has taken over.
    pub adopt_window: Duration,
    /// Largest encoded digest without whole records, in bytes.
    pub max_digest_bytes: usize,
    /// Largest encoded digest with whole records, in bytes; below the usual MTU. Whole records are
    /// needed only after starts and changes.
    pub max_datagram_bytes: usize,
    /// Bytes per second that the entry may send, overhead included. Digests beyond it are withheld;
    /// heartbeats and acks are not.
    pub budget_bytes_per_s: usize,
    /// Bytes that headers and authentication add to each datagram.
    pub overhead_bytes: usize,
}

impl MembershipSettings {
    /// Returns the default settings of a node.
    #[must_use]
    pub const fn new(me: MemberInfo, incarnation: Incarnation, seeds: Vec<SocketAddr>) -> Self {
        Self {
            me,
            incarnation,
            seeds,
            heartbeat: Duration::from_secs(1),
            suspect_after: Duration::from_secs(3),
            dead_after: Duration::from_secs(5),
            partition_window: Duration::from_secs(5),
            forget_dead: Duration::from_secs(600),
            forget_unreachable: Duration::from_secs(24 * 3600),
            remember_forgotten: Duration::from_secs(24 * 3600),
            adopt_window: Duration::from_secs(60),
            max_digest_bytes: 120,
            max_datagram_bytes: 1200,
            budget_bytes_per_s: 1300,
            overhead_bytes: 28,
        }
    }
}
