//! Leases: a job held by one node, taken by conditional write.
//!
//! The version of the object that an acquiring write produced is the fencing number of the
//! tenure. A renewal raises the version but keeps the number, which the record then carries.
//! Lease objects are never deleted, so that numbers never fall.

use std::sync::Arc;
use std::time::Duration;

use coriandercove_base::rng::{Rng, random_id};
use coriandercove_base::{Fence, Incarnation, NodeId, Time, data};

use crate::store_call::{StoreCall, StoreReply, Version};

/// Largest lease object that is read, in bytes.
const MAX_LEASE_BYTES: usize = 4096;

data! {
    /// Content of the object `leases/{job}`.
    #[derive(Eq)]
    pub struct LeaseRecord {
        /// The node that holds the job, or held it last.
        pub holder: NodeId,
        /// The holder's incarnation.
        pub incarnation: Incarnation,
        /// Unique for each write; settles writes whose answer was lost.
        pub write_id: u128,
        /// Number of renewals in this tenure.
        pub renewals: u64,
        /// Fencing number of the tenure; zero in the acquiring write, whose own version it is.
        pub fence: Fence,
        /// Whether the holder gave the job up.
        pub released: bool,
    }
}

/// The fencing number of a lease object, as read by holders and by agents.
#[must_use]
pub const fn fence_of(version: Version, record: &LeaseRecord) -> Fence {
    if record.fence == 0 {
        version
    } else {
        record.fence
    }
}

/// Reads a lease object. `None` if it is malformed or too large.
#[must_use]
pub fn decode(value: &[u8]) -> Option<LeaseRecord> {
    if value.len() > MAX_LEASE_BYTES {
        return None;
    }
    serde_json::from_slice(value).ok()
}

/// Name of the lease object of `job`.
#[must_use]
pub fn object_name(job: &str) -> String {
    format!("leases/{job}")
}

/// Periods of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseTimes {
    /// A lease that was not renewed for this long may be taken.
    pub ttl: Duration,
    /// Time between renewals, and between the reads of a candidate.
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
    /// The job is held under this fencing number.
    Acquired(Fence),
    /// The job is no longer held; stop its work.
    Lost,
    /// The lease object is malformed; nothing was written.
    Malformed,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Seen {
    version: Version,
    /// When this version was first seen by the own clock.
    since: Time,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Pending {
    Read,
    /// Reads the object back after a write that was refused or whose answer was lost.
    Settle {
        record: LeaseRecord,
        sent: Time,
    },
    Write {
        record: LeaseRecord,
        sent: Time,
    },
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Tenure {
    fence: Fence,
    /// Version of the object after the last own write.
    version: Version,
    record: LeaseRecord,
    /// When the last successful write was sent; the lease is valid for `ttl` from then.
    renewed: Time,
}

/// One node's view of one lease: candidate or holder.
///
/// Whether the node believes to hold the job is an optimisation only. Safety comes from the
/// fencing number that goes with every order.
pub struct Lease {
    job: Arc<str>,
    node: NodeId,
    incarnation: Incarnation,
    times: LeaseTimes,
    rng: Rng,
    wanted: bool,
    seen: Option<Seen>,
    tenure: Option<Tenure>,
    pending: Option<Pending>,
    next: Time,
}

impl Lease {
    /// A candidate for `job`. `rng` must be seeded differently for each run.
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
            seen: None,
            tenure: None,
            pending: None,
            next: Time::ZERO,
        }
    }

    /// The fencing number for orders at `now`, while the node believes to hold the job.
    #[must_use]
    pub fn held(&self, now: Time) -> Option<Fence> {
        let tenure = self.tenure.as_ref()?;
        (now < tenure.renewed + self.times.ttl).then_some(tenure.fence)
    }

    /// Whether the node wants to hold the job. A holder that no longer wants it releases it.
    pub const fn set_wanted(&mut self, wanted: bool) {
        self.wanted = wanted;
    }

    /// The time at which [`Lease::tick`] next has something to do.
    #[must_use]
    pub const fn next_wake(&self) -> Time {
        self.next
    }

    /// Starts a read, a renewal, a release or an attempt to take the lease if one is due.
    pub fn tick(&mut self, now: Time) -> Vec<LeaseAction> {
        let mut actions = Vec::new();
        if self.tenure.is_some() && self.held(now).is_none() {
            self.tenure = None;
            self.seen = None;
            actions.push(LeaseAction::Lost);
        }
        if self.pending.is_none() && now >= self.next {
            self.next = now + self.times.renew;
            actions.extend(self.step(now));
        }
        actions
    }

    fn step(&mut self, now: Time) -> Option<LeaseAction> {
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

    /// Takes the result of the last store call.
    pub fn on_store(&mut self, now: Time, reply: &StoreReply) -> Vec<LeaseAction> {
        match self.pending.take() {
            None => Vec::new(),
            Some(Pending::Read) => self.on_read(now, reply),
            Some(Pending::Settle { record, sent }) => self.on_settle(now, reply, &record, sent),
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
        let since = match &self.seen {
            Some(seen) if seen.version == version => seen.since,
            _ => now,
        };
        let own_old = record.holder == self.node && record.incarnation <= self.incarnation;
        let free = record.released || own_old || now >= since + self.times.ttl;
        self.seen = Some(Seen { version, since });
        if free && self.wanted && self.tenure.is_none() {
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
            // Nothing was written and the object is as it was; the next tick tries again.
            StoreReply::Unavailable => Vec::new(),
            // A refused write may have met an own earlier write whose answer was lost.
            _ => {
                self.pending = Some(Pending::Settle { record, sent });
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
        self.seen = None;
        let ended = self.tenure.take().is_some();
        ended.then_some(LeaseAction::Lost).into_iter().collect()
    }

    fn on_settle(
        &mut self,
        now: Time,
        reply: &StoreReply,
        written: &LeaseRecord,
        sent: Time,
    ) -> Vec<LeaseAction> {
        let StoreReply::Value { version, value } = reply else {
            // Still unsettled; the next tick writes or reads again.
            return Vec::new();
        };
        let version = *version;
        let Some(record) = decode(value) else {
            return vec![LeaseAction::Malformed];
        };
        if record.write_id == written.write_id {
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
