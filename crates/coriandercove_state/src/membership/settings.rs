//! Settings of membership.

use super::record::MemberInfo;
use coriandercove_base::Incarnation;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of one node's membership.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// What this node says of itself.
    pub me: MemberInfo,
    /// This run.
    pub incarnation: Incarnation,
    /// Membership addresses of entries to start from.
    pub seeds: Vec<SocketAddr>,
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// Silence after which a member is suspect.
    pub suspect_after: Duration,
    /// Further silence after which it is dead.
    pub dead_after: Duration,
    /// Window in which most of a zone must become suspect for it to count as partitioned.
    pub partition_window: Duration,
    /// Time after which a dead member is no longer listed.
    pub forget_dead: Duration,
    /// Time after which an unreachable member is no longer listed.
    pub forget_unreachable: Duration,
    /// Time for which a forgotten incarnation is not listed again.
    pub remember_forgotten: Duration,
    /// Time after start within which a higher known incarnation is taken for the effect of a wall
    /// clock that stepped back; later it means that another run has taken over.
    pub adopt_window: Duration,
    /// Largest encoded digest, in bytes.
    pub digest_bytes: usize,
    /// Largest encoded datagram that carries whole records, which are needed after starts and
    /// changes only; below the usual MTU.
    pub datagram_bytes: usize,
    /// Bytes a second that the machine may send, overhead included.
    pub budget: usize,
    /// Bytes that headers and authentication add to each datagram.
    pub overhead: usize,
}

impl MembershipSettings {
    /// Default settings of a node.
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
            digest_bytes: 120,
            datagram_bytes: 1200,
            budget: 1300,
            overhead: 28,
        }
    }
}
