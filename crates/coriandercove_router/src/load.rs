//! Work in flight at each target: this entry's own, and what the other entries report.
//!
//! Reports of the engines lag by some hundred milliseconds and every entry would act on the same
//! stale figure, so paths are chosen by what the entries themselves have in flight.

use std::net::SocketAddr;
use std::time::Duration;

use coriandercove_base::{NodeId, SortedMap, Time, data};

/// A peer's digest counts for this long, so that a dead peer's work is forgotten.
pub const DIGEST_LIFETIME: Duration = Duration::from_millis(1500);

data! {
    /// Work in flight at one target.
    #[derive(Copy, Default)]
    pub struct Work {
        /// Requests that pass through the target.
        pub requests: u32,
        /// Requests of which it is the first part.
        pub first_parts: u32,
        /// Reserved KV cache, in tokens x layers.
        pub kv: u64,
        /// Prompt tokens x layers of requests without an event so far.
        pub unread: u64,
    }

    /// The work of one entry, for its peers.
    #[derive(Default)]
    pub struct Digest {
        /// Work by target address.
        pub work: Vec<(SocketAddr, Work)>,
    }
}

impl Work {
    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.first_parts += other.first_parts;
        self.kv += other.kv;
        self.unread += other.unread;
    }

    fn subtract(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.first_parts = self.first_parts.saturating_sub(other.first_parts);
        self.kv = self.kv.saturating_sub(other.kv);
        self.unread = self.unread.saturating_sub(other.unread);
    }

    /// Whether nothing is in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        *self == Self::default()
    }
}

/// Work in flight by target.
#[derive(Debug, Default)]
pub struct Load {
    own: SortedMap<SocketAddr, Work>,
    /// Each peer's last digest with the time of its arrival.
    peers: SortedMap<NodeId, (Time, Digest)>,
    /// Sum over the peers, kept up to date by [`Load::on_digest`] and [`Load::expire`].
    others: SortedMap<SocketAddr, Work>,
}

impl Load {
    /// Adds work of this entry.
    pub fn begin(&mut self, target: SocketAddr, work: Work) {
        self.own
            .get_or_insert_with(target, Work::default)
            .add(work);
    }

    /// Removes work of this entry that was added before.
    pub fn end(&mut self, target: SocketAddr, work: Work) {
        if let Some(own) = self.own.get_mut(&target) {
            own.subtract(work);
            if own.is_idle() {
                self.own.remove(&target);
            }
        }
    }

    /// Takes a peer's digest in.
    pub fn on_digest(&mut self, from: NodeId, digest: Digest, now: Time) {
        self.peers.insert(from, (now, digest));
        self.sum();
    }

    /// Forgets digests that are too old.
    pub fn expire(&mut self, now: Time) {
        let before = self.peers.keys().count();
        self.peers
            .retain(|_, (at, _)| now.saturating_sub(*at) < DIGEST_LIFETIME);
        if self.peers.keys().count() != before {
            self.sum();
        }
    }

    fn sum(&mut self) {
        let mut others = SortedMap::default();
        for (_, digest) in self.peers.values() {
            for (target, work) in &digest.work {
                others
                    .get_or_insert_with(*target, Work::default)
                    .add(*work);
            }
        }
        self.others = others;
    }

    /// Work of all entries at a target.
    #[must_use]
    pub fn total(&self, target: SocketAddr) -> Work {
        let mut work = self.own(target);
        if let Some(others) = self.others.get(&target) {
            work.add(*others);
        }
        work
    }

    /// Work of this entry at a target.
    #[must_use]
    pub fn own(&self, target: SocketAddr) -> Work {
        self.own.get(&target).copied().unwrap_or_default()
    }

    /// Own work, for the peers.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let work = self.own.iter().map(|(a, w)| (*a, *w)).collect();
        Digest { work }
    }

    /// Peers whose digest is recent.
    #[must_use]
    pub fn peers(&self) -> usize {
        self.peers.keys().count()
    }
}
