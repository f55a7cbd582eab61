//! An in-memory object store with simulated faults, for tests.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;

use crate::store::{Listing, Object, Store, StoreError, StoreResult, Version, WatchBatch};
use crate::table::ObjectTable;

/// An in-memory object store. Clones share the objects and the simulated faults.
#[derive(Debug, Clone, Default)]
pub struct MemoryStore {
    inner: Rc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    table: RefCell<ObjectTable>,
    changed: Notify,
    unavailable: Cell<bool>,
    lose_answers: Cell<u32>,
    lose_writes: Cell<u32>,
}

impl MemoryStore {
    /// Starts or ends an outage: all calls fail with [`StoreError::Unavailable`].
    pub fn set_unavailable(&self, unavailable: bool) {
        self.inner.unavailable.set(unavailable);
        self.inner.changed.notify_waiters();
    }

    /// The next `n` writes take effect but fail with [`StoreError::Unknown`].
    pub fn lose_answers(&self, n: u32) {
        self.inner.lose_answers.set(n);
    }

    /// The next `n` writes take no effect and fail with [`StoreError::Unknown`].
    pub fn lose_writes(&self, n: u32) {
        self.inner.lose_writes.set(n);
    }

    /// Calls `f` with the objects; simulated faults do not apply.
    pub fn with_table<R>(&self, f: impl FnOnce(&ObjectTable) -> R) -> R {
        f(&self.inner.table.borrow())
    }

    fn read<T: 'static>(
        &self,
        f: impl FnOnce(&ObjectTable) -> Result<T, StoreError>,
    ) -> StoreResult<T> {
        let result = self
            .inner
            .check_available()
            .and_then(|()| f(&self.inner.table.borrow()));
        Box::pin(async move { result })
    }

    fn write<T: 'static>(
        &self,
        f: impl FnOnce(&mut ObjectTable) -> Result<T, StoreError>,
    ) -> StoreResult<T> {
        let result = self.inner.write(f);
        Box::pin(async move { result })
    }
}

/// Decrements `counter` unless it is zero; returns whether it was above zero.
fn decrement(counter: &Cell<u32>) -> bool {
    let n = counter.get();
    counter.set(n.saturating_sub(1));
    n > 0
}

impl Inner {
    /// Fails during a simulated outage.
    fn check_available(&self) -> Result<(), StoreError> {
        if self.unavailable.get() {
            let message = "outage".to_owned();
            return Err(StoreError::Unavailable { message });
        }
        Ok(())
    }

    fn write<T>(
        &self,
        f: impl FnOnce(&mut ObjectTable) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        self.check_available()?;
        let lost = || StoreError::Unknown {
            message: "answer lost".to_owned(),
        };
        if decrement(&self.lose_writes) {
            return Err(lost());
        }
        let result = f(&mut self.table.borrow_mut());
        self.changed.notify_waiters();
        if decrement(&self.lose_answers) {
            return Err(lost());
        }
        result
    }

    /// Waits until there are changes after `after`. No change can be missed between reading the
    /// table and starting to wait, because nothing else runs on the thread in between.
    async fn watch(&self, prefix: &str, after: Version) -> Result<WatchBatch, StoreError> {
        loop {
            self.check_available()?;
            let batch = self.table.borrow().changes(prefix, after)?;
            if !batch.changes.is_empty() {
                return Ok(batch);
            }
            self.changed.notified().await;
        }
    }
}

impl Store for MemoryStore {
    fn get(&self, key: &str) -> StoreResult<Object> {
        self.read(|t| t.get(key))
    }

    fn list(&self, prefix: &str, start_after: &str) -> StoreResult<Listing> {
        self.read(|t| t.list(prefix, start_after))
    }

    fn put_if(&self, key: &str, version: Version, value: Bytes) -> StoreResult<Version> {
        self.write(|t| t.put(key, Some(version), value))
    }

    fn create(&self, key: &str, value: Bytes) -> StoreResult<Version> {
        self.write(|t| t.put(key, None, value))
    }

    fn delete_if(&self, key: &str, version: Version) -> StoreResult<()> {
        self.write(|t| t.delete(key, version))
    }

    fn watch(&self, prefix: &str, after: Version, wait: Duration) -> StoreResult<WatchBatch> {
        let (inner, prefix) = (Rc::clone(&self.inner), prefix.to_owned());
        Box::pin(async move {
            match tokio::time::timeout(wait, inner.watch(&prefix, after)).await {
                Ok(result) => result,
                Err(_) => inner.table.borrow().changes(&prefix, after),
            }
        })
    }
}

#[cfg(test)]
mod tests;
