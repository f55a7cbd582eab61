//! Deliberate faults, by which the fuzz tests prove that they detect real ones.

/// A deliberate fault of placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementFault {
    /// A target is reassigned although it holds the last replica of a range.
    LastReplicaTaken,
    /// A new holder relies on reports that orders of an earlier holder may have made obsolete.
    ConfirmSkipped,
    /// Several targets of a range load at the same time.
    LoadsTogether,
}

/// The fault that is switched on, if any. Always none without the feature `faults`.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Faults {
    #[cfg(feature = "faults")]
    on: Option<PlacementFault>,
}

impl Faults {
    #[cfg(feature = "faults")]
    pub(crate) const fn only(fault: PlacementFault) -> Self {
        Self { on: Some(fault) }
    }

    #[cfg(feature = "faults")]
    pub(crate) fn has(self, fault: PlacementFault) -> bool {
        self.on == Some(fault)
    }

    #[cfg(not(feature = "faults"))]
    #[expect(clippy::unused_self, reason = "same signature as with the feature")]
    pub(crate) const fn has(self, _fault: PlacementFault) -> bool {
        false
    }
}
