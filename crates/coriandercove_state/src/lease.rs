//! Leases: a node acquires a job with a conditional write and holds it while it renews the lease.
//!
//! A tenure is the time from acquiring a lease to losing or releasing it. Its fencing token is
//! the version that the acquiring write gave to the lease object. A renewal raises the version but
//! keeps the fencing token, which the record carries from then on. Lease objects are never
//! deleted, so fencing tokens never fall.

use std::sync::Arc;
use std::time::Duration;

use coriandercove_base::rng::{Rng, random_id};
use coriandercove_base::{Fence, Incarnation, NodeId, Time, data};

use crate::store_call::{StoreCall, StoreReply, Version};

/// Largest lease object that is decoded, in bytes.
const MAX_LEASE_BYTES: usize = 4096;

data! {
    /// Content of the object `leases/{job}`.
    #[derive(Eq)]
    pub struct LeaseRecord {
        /// The node that holds the lease, or held it last.
        pub holder: NodeId,
        /// The holder's incarnation.
        pub incarnation: Incarnation,
        /// Random and unique for each write. Reading it back tells whether a write took effect
        /// whose answer was lost.
        pub write_id: u128,
        /// Number of renewals in this tenure, zero in the acquiring write.
        pub renewals: u64,
        /// Fencing token of the tenure. Zero in the acquiring write, whose version is the fencing
        /// token.
        pub fence: Fence,
        /// Whether the holder released the lease.
        pub released: bool,
    }
}

/// Returns the fencing token of a lease object that has this version and content.
#[must_use]
pub const fn fence_of(version: Version, record: &LeaseRecord) -> Fence {
    if record.fence == 0 {
        version
    } else {
        record.fence
    }
}

/// Decodes a lease object. Returns `None` if it is malformed or larger than 4096 bytes.
#[must_use]
pub fn decode(value: &[u8]) -> Option<LeaseRecord> {
    if value.len() > MAX_LEASE_BYTES {
        return None;
    }
    serde_json::from_slice(value).ok()
}

/// Returns the name of the lease object of `job`.
#[must_use]
pub fn object_name(job: &str) -> String {
    format!("leases/{job}")
}

/// Timing of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Time after which a lease that was not renewed may be acquired by another node.
    pub ttl: Duration,
    /// Time between two renewals by the holder, and between two reads by a candidate.
    pub renew: Duration,
}

impl Default for LeaseTimes {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(15),
            renew: Duration::from_secs(4),
        }
    }
}

/// What the runtime does for a [`Lease`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Make this call and report its result with [`Lease::on_store`].
    Store(StoreCall),
    /// The lease was acquired with this fencing token.
    Acquired(Fence),
    /// The lease is no longer held; stop the work of the job.
    Lost,
    /// The lease object is malformed or too large; nothing was written.
    Malformed,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct ObservedVersion {
    version: Version,
    /// When this node first read this version, by its own monotonic clock.
    first_seen: Time,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Pending {
    /// Reads the object to find out whether the lease can be acquired.
    Read,
    /// Reads the object back after a write that was refused or whose answer was lost.
    ReadBack { record: LeaseRecord, sent: Time },
    /// Acquires, renews or releases the lease.
    Write { record: LeaseRecord, sent: Time },
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Tenure {
    fence: Fence,
    /// Version of the object after the last write of this node.
    version: Version,
    record: LeaseRecord,
    /// When the last successful write was sent; the lease is valid for `ttl` from then on.
    renewed: Time,
}

/// One node's state for one lease, as a candidate or as the holder.
///
/// A node may still consider itself the holder after another node acquired the lease. Safety
/// comes from the fencing token that goes with every order.
pub struct Lease {
    job: Arc<str>,
    node: NodeId,
    incarnation: Incarnation,
    times: LeaseTimes,
    rng: Rng,
    wanted: bool,
    observed: Option<ObservedVersion>,
    tenure: Option<Tenure>,
    pending: Option<Pending>,
    next_call: Time,
}

impl Lease {
    /// Creates a candidate for the lease of `job`. `rng` must be seeded differently for each run of
    /// the node, because it makes the write ids.
    #[must_use]
    pub const fn new(
        job: Arc<str>,
        node: NodeId,
        incarnation: Incarnation,
        times: LeaseTimes,
        rng: Rng,
    ) -> Self {
        Self {
            job,
            node,
            incarnation,
            times,
            rng,
            wanted: true,
            observed: None,
            tenure: None,
            pending: None,
            next_call: Time::ZERO,
        }
    }

    /// Returns the fencing token for orders at `now`, or `None` if the node does not hold the
    /// lease or has not renewed it for `ttl`.
    #[must_use]
    pub fn held_fence(&self, now: Time) -> Option<Fence> {
        let tenure = self.tenure.as_ref()?;
        (now < tenure.renewed + self.times.ttl).then_some(tenure.fence)
    }

    /// Sets whether the node wants to hold the lease. A holder that no longer wants it releases it
    /// with the next renewal.
    pub const fn set_wanted(&mut self, wanted: bool) {
        self.wanted = wanted;
    }

    /// The time at which [`Lease::tick`] next has something to do.
    #[must_use]
    pub const fn next_wake(&self) -> Time {
        self.next_call
    }

    /// Starts a read, a renewal or a release if one is due, and reports a lease that was not
    /// renewed for `ttl` as lost.
    pub fn tick(&mut self, now: Time) -> Vec<LeaseAction> {
        let mut actions = Vec::new();
        if self.tenure.is_some() && self.held_fence(now).is_none() {
            self.tenure = None;
            self.observed = None;
            actions.push(LeaseAction::Lost);
        }
        if self.pending.is_none() && now >= self.next_call {
            self.next_call = now + self.times.renew;
            actions.extend(self.start_call(now));
        }
        actions
    }

    fn start_call(&mut self, now: Time) -> Option<LeaseAction> {
        if let Some(tenure) = &self.tenure {
            let mut record = tenure.record.clone();
            record.renewals += 1;
            record.fence = tenure.fence;
            record.released = !self.wanted;
            return Some(self.write(now, Some(tenure.version), record));
        }
        self.wanted.then(|| self.read())
    }

    fn read(&mut self) -> LeaseAction {
        self.pending = Some(Pending::Read);
        LeaseAction::Store(StoreCall::Get {
            name: object_name(&self.job),
        })
    }

    fn write(
        &mut self,
        now: Time,
        version: Option<Version>,
        mut record: LeaseRecord,
    ) -> LeaseAction {
        record.write_id = random_id(&mut self.rng);
        let name = object_name(&self.job);
        let value = serde_json::to_vec(&record).unwrap_or_default();
        self.pending = Some(Pending::Write { record, sent: now });
        LeaseAction::Store(match version {
            Some(version) => StoreCall::PutIf {
                name,
                version,
                value,
            },
            None => StoreCall::Create { name, value },
        })
    }

    fn acquire(&mut self, now: Time, version: Option<Version>) -> LeaseAction {
        let record = LeaseRecord {
            holder: self.node.clone(),
            incarnation: self.incarnation,
            write_id: 0,
            renewals: 0,
            fence: 0,
            released: false,
        };
        self.write(now, version, record)
    }

    /// Handles the result of the store call in flight.
    pub fn on_store(&mut self, now: Time, reply: &StoreReply) -> Vec<LeaseAction> {
        match self.pending.take() {
            None => Vec::new(),
            Some(Pending::Read) => self.on_read(now, reply),
            Some(Pending::ReadBack { record, sent }) => {
                self.on_read_back(now, reply, &record, sent)
            }
            Some(Pending::Write { record, sent }) => self.on_write(now, reply, record, sent),
        }
    }

    fn on_read(&mut self, now: Time, reply: &StoreReply) -> Vec<LeaseAction> {
        match reply {
            StoreReply::Absent if self.wanted => vec![self.acquire(now, None)],
            StoreReply::Value { version, value } => match decode(value) {
                Some(record) => self.on_record(now, *version, &record),
                None => vec![LeaseAction::Malformed],
            },
            _ => Vec::new(),
        }
    }

    fn on_record(&mut self, now: Time, version: Version, record: &LeaseRecord) -> Vec<LeaseAction> {
        let first_seen = match &self.observed {
            Some(observed) if observed.version == version => observed.first_seen,
            _ => now,
        };
        let is_own = record.holder == self.node && record.incarnation <= self.incarnation;
        let is_free = record.released || is_own || now >= first_seen + self.times.ttl;
        self.observed = Some(ObservedVersion {
            version,
            first_seen,
        });
        if is_free && self.wanted && self.tenure.is_none() {
            vec![self.acquire(now, Some(version))]
        } else {
            Vec::new()
        }
    }

    fn on_write(
        &mut self,
        now: Time,
        reply: &StoreReply,
        record: LeaseRecord,
        sent: Time,
    ) -> Vec<LeaseAction> {
        match reply {
            StoreReply::Written(version) => self.on_written(now, *version, record, sent),
            // Nothing was written; the next due tick tries again.
            StoreReply::Unavailable => Vec::new(),
            // The write may have taken effect although its answer was lost, or a conflict may come
            // from an earlier write of this node whose answer was lost.
            _ => {
                self.pending = Some(Pending::ReadBack { record, sent });
                vec![LeaseAction::Store(StoreCall::Get {
                    name: object_name(&self.job),
                })]
            }
        }
    }

    fn on_written(
        &mut self,
        now: Time,
        version: Version,
        record: LeaseRecord,
        sent: Time,
    ) -> Vec<LeaseAction> {
        if record.released || now >= sent + self.times.ttl {
            return self.end_tenure();
        }
        let fence = fence_of(version, &record);
        let is_new = self.tenure.is_none();
        self.tenure = Some(Tenure {
            fence,
            version,
            record,
            renewed: sent,
        });
        is_new
            .then_some(LeaseAction::Acquired(fence))
            .into_iter()
            .collect()
    }

    fn end_tenure(&mut self) -> Vec<LeaseAction> {
        self.observed = None;
        let ended = self.tenure.take().is_some();
        ended.then_some(LeaseAction::Lost).into_iter().collect()
    }

    fn on_read_back(
        &mut self,
        now: Time,
        reply: &StoreReply,
        expected: &LeaseRecord,
        sent: Time,
    ) -> Vec<LeaseAction> {
        let StoreReply::Value { version, value } = reply else {
            // Still unknown whether the write took effect; the next due tick writes or reads.
            return Vec::new();
        };
        let version = *version;
        let Some(record) = decode(value) else {
            return vec![LeaseAction::Malformed];
        };
        if record.write_id == expected.write_id {
            return self.on_written(now, version, record, sent);
        }
        match &mut self.tenure {
            Some(tenure) if fence_of(version, &record) == tenure.fence => {
                tenure.version = version;
                Vec::new()
            }
            _ => {
                let mut actions = self.end_tenure();
                actions.extend(self.on_record(now, version, &record));
                actions
            }
        }
    }
}

#[cfg(test)]
mod tests;
