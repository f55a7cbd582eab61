//! Deliberate faults, chosen at run time in builds with the feature `faults`.
//!
//! The fuzz tests switch them on to show that they find each one. Without the feature,
//! [`is_on`] is constant and the faulty branches are compiled out.

/// A deliberate fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The entry dispatches a call while the write of its claim is still under way.
    DispatchBeforeDurable,
    /// The agent accepts a ticket that was made for another incarnation.
    AcceptOtherIncarnation,
    /// A probe reports a ticket as burned but does not remember it.
    ProbeDoesNotBurn,
    /// The entry takes a refused conditional update for a successful one.
    IgnoreConflict,
    /// The entry takes a store write whose answer was lost for a failed one.
    LostWriteIsFailure,
    /// The entry takes a call whose answer was lost for a call that did not run.
    LostAnswerIsNotRun,
    /// The fence gate of a restarted agent starts at zero instead of reading the store.
    FenceGateNotRead,
    /// A writer appends to a segment that it created without checking that it is the newest.
    CreateNotConfirmed,
    /// A writer appends to a sealed segment.
    WriteToSealed,
    /// The agent forgets a ticket that it refused.
    RefusalDoesNotBurn,
    /// The agent runs a ticket that is older than its memory.
    RunForgotten,
}

coriandercove_base::fault_switch!(Fault);
