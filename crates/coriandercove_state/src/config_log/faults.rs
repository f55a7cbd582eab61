//! Deliberate faults, by which the fuzz tests prove that they detect real ones.

/// A deliberate fault of the configuration log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigFault {
    /// A change or snapshot of a lower version is applied.
    LowerVersionApplied,
    /// A create that finds the object present counts as successful.
    ConditionalCreateIgnored,
    /// A create whose answer was lost counts as failed.
    LostAnswerIsFailure,
    /// Digests are not checked.
    DigestIgnored,
    /// Log objects are used without a check whether a snapshot has replaced them.
    CompactionIgnored,
}

/// The fault that is switched on, if any. Always none without the feature `faults`.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Faults {
    #[cfg(feature = "faults")]
    on: Option<ConfigFault>,
}

impl Faults {
    #[cfg(feature = "faults")]
    pub(crate) const fn only(fault: ConfigFault) -> Self {
        Self { on: Some(fault) }
    }

    #[cfg(feature = "faults")]
    pub(crate) fn has(self, fault: ConfigFault) -> bool {
        self.on == Some(fault)
    }

    #[cfg(not(feature = "faults"))]
    #[expect(clippy::unused_self, reason = "same signature as with the feature")]
    pub(crate) const fn has(self, _fault: ConfigFault) -> bool {
        false
    }
}
