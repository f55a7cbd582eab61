//! Injected faults of stages, selected at run time in builds with the feature `faults`.
//!
//! The fuzz test of streams switches them on to show that it detects each one. Without the
//! feature, [`is_on`] is constant and the faulty branches are compiled out.

/// An injected fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A stage runs inputs that it has accepted before.
    RunDuplicates,
    /// A stage skips positions that have not arrived.
    SkipGaps,
    /// An agent passes inputs to a stream that they do not belong to.
    CrossActivations,
    /// An agent replays outputs to a rebuilt stage in reverse order.
    ReplayOutOfOrder,
    /// An agent that leaves opens new stages.
    OpenWhileLeaving,
    /// An agent that leaves drops its streams without notifying their entries.
    CutAtLeave,
    /// The head runs positions beyond its credit.
    IgnoreCredit,
}

coriandercove_base::fault_switch!(Fault);
