//! Deliberate faults of stages, chosen at run time in builds with the feature `faults`.
//!
//! The fuzz test of the data path switches them on to show that it finds each one. Without the
//! feature, [`is_on`] is constant and the faulty branches are compiled out.

/// A deliberate fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A stage runs inputs that it has accepted before.
    RunDuplicates,
    /// A stage skips positions that have not arrived.
    SkipGaps,
    /// An agent gives inputs to another stream than theirs.
    CrossActivations,
    /// The replay to a rebuilt stage is out of order.
    ReplayOutOfOrder,
    /// An agent that leaves opens new stages.
    OpenWhileLeaving,
    /// An agent that leaves frees its streams without a word to their entries.
    CutAtLeave,
    /// The head runs on without credit.
    IgnoreCredit,
}

coriandercove_base::fault_switch!(Fault);
