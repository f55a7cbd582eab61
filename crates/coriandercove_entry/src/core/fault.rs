//! Deliberate faults of the entry, which tests switch on in builds with the feature `faults`.
//!
//! The tests in `tests/streams/faults.rs` check that the fuzz test of streams detects each of them.
//! Without the feature, [`is_on`] is constant and the faulty branches are compiled out.

/// A deliberate fault of the entry's decisions about streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The entry accepts tokens of the current attempt at any position.
    AcceptAnyPosition,
    /// The entry takes each token for one of the stream with the lowest request id.
    CrossRequests,
    /// The entry reports each refused request as not run.
    RefuseAsNotRun,
    /// The entry gives new work to a target that is leaving.
    UseLeaving,
    /// The entry aborts a stream, instead of moving it, when an agent reports its drain deadline.
    GiveUpDrained,
}

coriandercove_base::fault_switch!(Fault);
