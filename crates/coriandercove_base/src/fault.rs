//! Fault injection, with which fuzz tests verify that they detect faults.

/// Declares the function `is_on` for an enum of injected faults and, with the feature `faults` of
/// the calling crate, the function `set`.
///
/// A test enables one fault at a time for its own thread. Without the feature, `is_on` is constant
/// and the faulty branches are compiled out.
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

            /// Enables one fault in this thread, or disables all of them.
            pub fn set(fault: Option<$fault>) {
                CURRENT.set(fault);
            }

            /// Whether a fault is enabled in this thread.
            #[must_use]
            pub fn is_on(fault: $fault) -> bool {
                CURRENT.get() == Some(fault)
            }
        }

        #[cfg(feature = "faults")]
        pub use switch::{is_on, set};

        /// Whether a fault is enabled; always false without the feature `faults`.
        #[cfg(not(feature = "faults"))]
        #[must_use]
        pub const fn is_on(_fault: $fault) -> bool {
            false
        }
    };
}
