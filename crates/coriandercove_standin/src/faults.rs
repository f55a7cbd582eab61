//! Fault injection: faults that a test switches on and off while a stand-in runs.

use std::sync::Arc;

use tokio::sync::watch;

/// The injected faults of one stand-in, shared between its thread and its handle.
#[derive(Debug)]
pub struct Faults<T>(Arc<watch::Sender<T>>);

impl<T> Clone for Faults<T> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<T: Default> Default for Faults<T> {
    fn default() -> Self {
        Self(Arc::new(watch::Sender::new(T::default())))
    }
}

impl<T: Clone> Faults<T> {
    /// Changes the faults and wakes all callers of [`Faults::wait_for`].
    pub fn update(&self, change: impl FnOnce(&mut T)) {
        self.0.send_modify(change);
    }

    /// Returns a copy of the current faults.
    #[must_use]
    pub fn get(&self) -> T {
        self.0.borrow().clone()
    }

    /// Calls `f` with the current faults and returns its result.
    pub fn read<R>(&self, f: impl FnOnce(&T) -> R) -> R {
        f(&self.0.borrow())
    }

    /// Waits until `condition` holds for the faults; returns at once if it holds already.
    pub async fn wait_for(&self, mut condition: impl FnMut(&T) -> bool) {
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = self.0.subscribe().wait_for(|t| condition(t)).await;
    }
}
