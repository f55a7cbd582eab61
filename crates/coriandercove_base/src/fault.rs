//! The switch for deliberate faults, with which fuzz tests show that they can fail.

/// Declares `is_on` and, with the feature `faults` of the calling crate, `set` for an enum of
/// deliberate faults.
///
/// A test switches one fault on for its own thread. Without the feature, `is_on` is constant and
/// the faulty branches are compiled out.
#[macro_export]
macro_rules! fault_switch {
    ($fault:ident) => {
        #[cfg(feature = "faults")]
        mod switch {
            use super::$fault;
            use std::cell::Cell;

            thread_local! {
                static CURRENT: Cell<Option<$fault>> = const { Cell::new(None) };
            }

            /// Switches a fault on in this thread, or all faults off.
            pub fn set(fault: Option<$fault>) {
                CURRENT.set(fault);
            }

            /// Whether a fault is on in this thread.
            #[must_use]
            pub fn is_on(fault: $fault) -> bool {
                CURRENT.get() == Some(fault)
            }
        }

        #[cfg(feature = "faults")]
        pub use switch::{is_on, set};

        /// Whether a fault is on; always false without the feature `faults`.
        #[cfg(not(feature = "faults"))]
        #[must_use]
        pub const fn is_on(_fault: $fault) -> bool {
            false
        }
    };
}
