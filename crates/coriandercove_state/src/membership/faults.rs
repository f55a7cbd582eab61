//! Deliberate faults, by which the fuzz tests prove that they detect real ones.

/// A deliberate fault of the membership protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipFault {
    /// The datagram that arrives last sets the leaving state, even an older heartbeat.
    LeavingOverwritten,
    /// Members of a partitioned zone are given up as dead, like single members.
    PartitionRuleOff,
    /// Stale digests add removed members again.
    ForgottenComeBack,
    /// A higher heartbeat number does not withdraw a suspicion.
    NoRefutation,
}

/// The fault that is switched on, if any. Always none without the feature `faults`.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Faults {
    #[cfg(feature = "faults")]
    on: Option<MembershipFault>,
}

impl Faults {
    #[cfg(feature = "faults")]
    pub(crate) const fn only(fault: MembershipFault) -> Self {
        Self { on: Some(fault) }
    }

    #[cfg(feature = "faults")]
    pub(crate) fn has(self, fault: MembershipFault) -> bool {
        self.on == Some(fault)
    }

    #[cfg(not(feature = "faults"))]
    #[expect(clippy::unused_self, reason = "same signature as with the feature")]
    pub(crate) const fn has(self, _fault: MembershipFault) -> bool {
        false
    }
}
