//! Fault injection: deliberate faults, switched on at run time in builds with the feature
//! `faults`.
//!
//! The fuzz tests switch on one fault at a time and check that they detect it. Without the
//! feature, [`is_on`] is constant and the faulty branches are compiled out.

/// A deliberate fault that a test can switch on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The entry dispatches a call while the write of its claim is still in flight.
    DispatchBeforeDurable,
    /// The agent accepts a ticket that was issued for another incarnation.
    AcceptOtherIncarnation,
    /// A probe reports a ticket as burned, but the agent does not record that.
    ProbeDoesNotBurn,
    /// The entry treats a refused conditional write as successful.
    IgnoreConflict,
    /// The entry treats a store write whose answer was lost as failed.
    LostWriteIsFailure,
    /// The entry reports a call whose answer was lost as not run.
    LostAnswerIsNotRun,
    /// The fence gate of a restarted agent starts at zero instead of refusing orders until the
    /// lease object was read from the store.
    FenceGateNotRead,
    /// A writer appends to a segment that it created without listing the shard again to check
    /// that the segment has the highest number.
    CreateNotConfirmed,
    /// A writer appends to a sealed segment.
    WriteToSealed,
    /// The agent refuses a ticket without burning it.
    RefusalDoesNotBurn,
    /// The agent runs a ticket that is so old that it may have been evicted from its table.
    RunForgotten,
}

coriandercove_base::fault_switch!(Fault);
