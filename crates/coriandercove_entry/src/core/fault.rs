//! Deliberate faults of the entry, chosen at run time in builds with the feature `faults`.
//!
//! The fuzz test of the data path switches them on to show that it finds each one. Without the
//! feature, [`is_on`] is constant and the faulty branches are compiled out.

/// A deliberate fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The entry accepts the tokens of its attempt in any order.
    AcceptAnyPosition,
    /// The entry accepts a token of any request as one of the request that it is dealing with.
    CrossRequests,
    /// Each refusal claims that the request did not run.
    RefuseAsNotRun,
    /// The entry gives new streams to a target that leaves.
    UseLeaving,
    /// The entry gives a stream up when its agent asks to move it at the drain deadline.
    GiveUpDrained,
}

#[cfg(feature = "faults")]
mod switch {
    use super::Fault;
    use std::cell::Cell;

    thread_local! {
        static CURRENT: Cell<Option<Fault>> = const { Cell::new(None) };
    }

    /// Switches `fault` on in this thread, or all faults off.
    pub fn set(fault: Option<Fault>) {
        CURRENT.set(fault);
    }

    /// Whether `fault` is on in this thread.
    #[must_use]
    pub fn is_on(fault: Fault) -> bool {
        CURRENT.get() == Some(fault)
    }
}

#[cfg(feature = "faults")]
pub use switch::{is_on, set};

/// Whether `fault` is on; always false without the feature `faults`.
#[cfg(not(feature = "faults"))]
#[must_use]
pub const fn is_on(_fault: Fault) -> bool {
    false
}
