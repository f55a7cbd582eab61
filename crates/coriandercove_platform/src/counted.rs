//! Counts calls to the store and limits the rate at which this process makes them.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use coriandercove_base::Clock;
use coriandercove_base::telemetry::{CounterFamily, Metrics, count};

use crate::rate::RateLimit;
use crate::store::{Listing, Object, Store, StoreError, StoreResult, Version, WatchBatch};

/// Limits on the calls that a process makes to the store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallRates {
    /// Reads, listings and watches per second.
    pub reads: f64,
    /// Writes per second.
    pub writes: f64,
    /// Calls that may be made at once, for reads and for writes separately.
    pub burst: f64,
}

/// Store client that counts its calls by kind. A call above the limits of this process fails with
/// [`StoreError::RateLimited`] and is not sent.
#[derive(Clone)]
pub struct CountedStore {
    inner: Rc<dyn Store>,
    clock: Rc<dyn Clock>,
    reads: Rc<RefCell<RateLimit>>,
    writes: Rc<RefCell<RateLimit>>,
    calls: CounterFamily,
    failures: CounterFamily,
}

impl CountedStore {
    /// Wraps `inner`. The counters are `store_calls_total{kind}`, by kind of call, and
    /// `store_failures_total{kind}`, by kind of error.
    #[must_use]
    pub fn new(
        inner: Rc<dyn Store>,
        clock: Rc<dyn Clock>,
        rates: CallRates,
        metrics: &Metrics,
    ) -> Self {
        let limit = |rate| Rc::new(RefCell::new(RateLimit::new(rate, rates.burst)));
        Self {
            inner,
            clock,
            reads: limit(rates.reads),
            writes: limit(rates.writes),
            calls: metrics.counters("store_calls", "Calls sent to the store by kind"),
            failures: metrics.counters("store_failures", "Failed calls to the store by error"),
        }
    }

    /// Returns the number of calls of a kind sent so far: `get`, `list`, `put`, `create`, `delete`
    /// or `watch`.
    #[must_use]
    pub fn calls(&self, kind: &str) -> u64 {
        self.calls.get_or_create(&[("kind", kind.to_owned())]).get()
    }

    /// Returns the number of calls that failed with a kind of error, named in snake case. Calls
    /// that were not sent because of the limits are included.
    #[must_use]
    pub fn failures(&self, kind: &str) -> u64 {
        self.failures
            .get_or_create(&[("kind", kind.to_owned())])
            .get()
    }

    /// Counts and makes a call of `kind` if `limit` allows it, and counts its failure.
    fn run<T: 'static>(
        &self,
        kind: &'static str,
        limit: &RefCell<RateLimit>,
        call: impl FnOnce(&dyn Store) -> StoreResult<T>,
    ) -> StoreResult<T> {
        let allowed = limit.borrow_mut().try_acquire(self.clock.now());
        let failures = self.failures.clone();
        let call = match allowed {
            Ok(()) => {
                count(&self.calls, "kind", kind);
                call(&*self.inner)
            }
            Err(retry_after) => {
                Box::pin(async move { Err(StoreError::RateLimited { retry_after }) })
            }
        };
        Box::pin(async move {
            let result = call.await;
            if let Err(e) = &result {
                count(&failures, "kind", error_kind(e));
            }
            result
        })
    }
}

const fn error_kind(e: &StoreError) -> &'static str {
    match e {
        StoreError::Conflict { .. } => "conflict",
        StoreError::NotFound => "not_found",
        StoreError::Unavailable { .. } => "unavailable",
        StoreError::RateLimited { .. } => "rate_limited",
        StoreError::Unknown { .. } => "unknown",
        StoreError::TooLarge { .. } => "too_large",
        StoreError::InvalidKey { .. } => "invalid_key",
        StoreError::Compacted { .. } => "compacted",
    }
}

impl Store for CountedStore {
    fn get(&self, key: &str) -> StoreResult<Object> {
        self.run("get", &self.reads, |s| s.get(key))
    }

    fn list(&self, prefix: &str, start_after: &str) -> StoreResult<Listing> {
        self.run("list", &self.reads, |s| s.list(prefix, start_after))
    }

    fn put_if(&self, key: &str, version: Version, value: Bytes) -> StoreResult<Version> {
        self.run("put", &self.writes, |s| s.put_if(key, version, value))
    }

    fn create(&self, key: &str, value: Bytes) -> StoreResult<Version> {
        self.run("create", &self.writes, |s| s.create(key, value))
    }

    fn delete_if(&self, key: &str, version: Version) -> StoreResult<()> {
        self.run("delete", &self.writes, |s| s.delete_if(key, version))
    }

    fn watch(&self, prefix: &str, after: Version, wait: Duration) -> StoreResult<WatchBatch> {
        self.run("watch", &self.reads, |s| s.watch(prefix, after, wait))
    }
}

#[cfg(test)]
mod tests;
