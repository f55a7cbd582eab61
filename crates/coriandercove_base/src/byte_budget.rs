//! Bounds the bytes that all requests of a process hold together: bodies of callers, answers that are
//! collected, and events that have not arrived completely.
//!
//! Load pattern: many targets send without end at the same time, or many callers send large bodies.
//! Each stays below the limit of its kind, and all together exceed the memory of the process, so that
//! the platform ends it with the requests of everybody else. A new request is refused if it does not
//! fit. What has been admitted may grow as long as it is not larger than what is left: many that grow
//! without end are held to equal shares, and one that comes later has room for half of such a share. A
//! part is kept for new requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use prometheus_client::metrics::gauge::Gauge;

use crate::telemetry::Metrics;

/// Part of a process's memory that requests may hold. The rest is for connections, the platform's
/// objects and the program itself.
const SHARE_OF_MEMORY: f64 = 0.5;
/// Part of what requests may hold up to which they may grow. The rest is for new requests.
const SHARE_TO_GROW: f64 = 0.75;
/// Part of what requests may hold up to which callers that are behind are waited for. The rest is for
/// the requests of others.
const SHARE_TO_WAIT: f64 = 0.5;
const BYTES_PER_MB: usize = 1024 * 1024;

/// Bytes of every admitted request: its head, a small answer or the event that is arriving, and the
/// buffers of its connections as they usually are.
pub const BASE_BYTES: usize = 32 * 1024;

/// Bytes that requests hold and may hold.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    /// Bytes up to which shares may grow; at most `limit`.
    growth_limit: usize,
    /// Bytes up to which callers that are behind are waited for; at most `growth_limit`.
    wait_limit: usize,
    /// Sum over all shares; at most `limit`. Shares end wherever the last copy of their bytes does, so
    /// that the sum is atomic.
    held: AtomicUsize,
    /// Shows `held`.
    gauge: Gauge,
}

impl ByteBudget {
    /// Creates the budget of a process with `memory_mb` MB of memory. `gauge` shows the bytes held.
    #[must_use]
    pub fn new(memory_mb: usize, gauge: Gauge) -> Arc<Self> {
        let memory = memory_mb.saturating_mul(BYTES_PER_MB);
        let limit = memory as f64 * SHARE_OF_MEMORY;
        Arc::new(Self {
            limit: limit as usize,
            growth_limit: (limit * SHARE_TO_GROW) as usize,
            wait_limit: (limit * SHARE_TO_WAIT) as usize,
            held: AtomicUsize::new(0),
            gauge,
        })
    }

    /// Creates the budget of a process with `memory_mb` MB of memory, with a gauge in its registry.
    #[must_use]
    pub fn registered(memory_mb: usize, metrics: &Metrics) -> Arc<Self> {
        let help = "Bytes that bodies, answers and prompts of requests hold";
        Self::new(memory_mb, metrics.gauge("held_bytes", help))
    }

    /// Bytes that requests hold.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Bytes that are left.
    #[must_use]
    pub fn left(&self) -> usize {
        self.limit.saturating_sub(self.held())
    }

    /// Takes a share for a new request; none if it does not fit.
    #[must_use]
    pub fn admit(self: &Arc<Self>, bytes: usize) -> Option<ByteShare> {
        self.take(bytes, self.limit)
    }

    /// Takes a share for what waits for a caller that is behind; none if too little would be left for
    /// others.
    #[must_use]
    pub fn admit_waiting(self: &Arc<Self>, bytes: usize) -> Option<ByteShare> {
        self.take(bytes, self.wait_limit)
    }

    /// Takes a share, unless the bytes held would exceed `limit`.
    fn take(self: &Arc<Self>, bytes: usize, limit: usize) -> Option<ByteShare> {
        self.change(|held| Some(held + bytes).filter(|sum| *sum <= limit))
            .then(|| ByteShare {
                budget: Arc::clone(self),
                bytes,
            })
    }

    /// Changes the bytes held, unless `change` returns none. Returns whether it did.
    fn change(&self, change: impl Fn(usize) -> Option<usize>) -> bool {
        let order = Ordering::Relaxed;
        let is_changed = self.held.fetch_update(order, order, change).is_ok();
        self.gauge.set(self.held().cast_signed() as i64);
        is_changed
    }
}

/// Bytes that one request holds; they are given back when this is dropped.
#[derive(Debug)]
pub struct ByteShare {
    budget: Arc<ByteBudget>,
    bytes: usize,
}

impl ByteShare {
    /// Size of the share.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the size of the share. Returns false, and changes nothing, if it would grow beyond what
    /// would be left for all shares to grow.
    #[must_use]
    pub fn resize(&mut self, bytes: usize) -> bool {
        let (limit, before) = (self.budget.growth_limit, self.bytes);
        let is_changed = self.budget.change(|held| {
            let sum = held - before + bytes;
            let fits = bytes <= before || bytes <= limit.saturating_sub(sum);
            fits.then_some(sum)
        });
        if is_changed {
            self.bytes = bytes;
        }
        is_changed
    }

    /// Gives a part of the share back.
    pub fn shrink_to(&mut self, bytes: usize) {
        if bytes < self.bytes {
            // A share can always shrink.
            let _ = self.resize(bytes);
        }
    }

    /// As [`Self::resize`] to `bytes`, unless the share is at least as large.
    #[must_use]
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        bytes <= self.bytes || self.resize(bytes)
    }

    /// Moves `bytes` of this share, or what it has, to a share of their own.
    #[must_use]
    pub fn split(&mut self, bytes: usize) -> Self {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Self {
            budget: Arc::clone(&self.budget),
            bytes,
        }
    }
}

impl Drop for ByteShare {
    fn drop(&mut self) {
        let bytes = self.bytes;
        self.budget.change(|held| Some(held - bytes));
    }
}

/// Bytes with the share that accounts for them.
struct Accounted {
    bytes: Bytes,
    _share: ByteShare,
}

impl AsRef<[u8]> for Accounted {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Keeps a share until the last copy of `bytes` is dropped, as a slow caller may take them late.
#[must_use]
pub fn accounted(bytes: Bytes, share: ByteShare) -> Bytes {
    Bytes::from_owner(Accounted {
        bytes,
        _share: share,
    })
}

#[cfg(test)]
mod tests;
