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

coriandercove_base::fault_switch!(Fault);
