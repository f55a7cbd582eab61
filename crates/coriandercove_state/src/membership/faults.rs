//! Deliberate faults, with which the fuzz runs prove that they can fail.

/// A deliberate fault of membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipFault {
    /// The leaving state is overwritten by what arrives last, such as an older heartbeat.
    LeavingOverwritten,
    /// A silent zone is given up like a single member.
    PartitionRuleOff,
    /// Dead members come back by stale digests after they were forgotten.
    ForgottenComeBack,
    /// A higher heartbeat does not withdraw a suspicion.
    NoRefutation,
}

/// The fault that is switched on; none unless the crate is built with the feature `faults`.
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
