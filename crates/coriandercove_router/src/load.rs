//! Work in flight at each target: this entry's own, and what the other entries report.
//!
//! Reports of the engines lag by some hundred milliseconds and every entry would act on the same
//! stale figure, so paths are chosen by what the entries themselves have in flight.

use std::net::SocketAddr;
use std::time::Duration;

use coriandercove_base::{NodeId, SortedMap, Time, ZoneId, data};

/// A peer's digest counts for this long, so that a dead peer's work is forgotten.
pub const DIGEST_LIFETIME: Duration = Duration::from_millis(1500);

/// Two availability zones, in the order of their names.
pub type ZonePair = (ZoneId, ZoneId);

/// The pair of two zones, whichever way a transfer goes.
#[must_use]
pub fn zone_pair(a: &ZoneId, b: &ZoneId) -> ZonePair {
    if a <= b {
        (a.clone(), b.clone())
    } else {
        (b.clone(), a.clone())
    }
}

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
        /// Prompt tokens, of requests without an event so far, that cross from one zone to another.
        pub links: Vec<(ZonePair, u64)>,
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
    own_links: SortedMap<ZonePair, u64>,
    /// Each peer's last digest with the time of its arrival.
    peers: SortedMap<NodeId, (Time, Digest)>,
    /// Sums over the peers' last digests, without targets and links that they do not use.
    others: SortedMap<SocketAddr, Work>,
    other_links: SortedMap<ZonePair, u64>,
}

impl Load {
    /// Adds work of this entry.
    pub fn begin(&mut self, target: SocketAddr, work: Work) {
        add_work(&mut self.own, target, work);
    }

    /// Removes work of this entry that was added before.
    pub fn end(&mut self, target: SocketAddr, work: Work) {
        remove_work(&mut self.own, target, work);
    }

    /// Adds prompt tokens that cross between two zones.
    pub fn begin_transfer(&mut self, link: ZonePair, tokens: u64) {
        add_tokens(&mut self.own_links, link, tokens);
    }

    /// Removes prompt tokens that were added before.
    pub fn end_transfer(&mut self, link: &ZonePair, tokens: u64) {
        remove_tokens(&mut self.own_links, link, tokens);
    }

    /// Prompt tokens of all entries that cross between two zones now.
    #[must_use]
    pub fn transfers(&self, link: &ZonePair) -> u64 {
        let own = self.own_links.get(link).copied().unwrap_or(0);
        own + self.other_links.get(link).copied().unwrap_or(0)
    }

    /// Takes a peer's digest in.
    pub fn on_digest(&mut self, from: NodeId, digest: Digest, now: Time) {
        for (target, work) in &digest.work {
            add_work(&mut self.others, *target, *work);
        }
        for (link, tokens) in &digest.links {
            add_tokens(&mut self.other_links, link.clone(), *tokens);
        }
        if let Some((_, old)) = self.peers.insert(from, (now, digest)) {
            self.forget(&old);
        }
    }

    /// Forgets digests that are too old.
    pub fn expire(&mut self, now: Time) {
        let mut expired = Vec::new();
        self.peers.retain(|_, (at, digest)| {
            let is_recent = now.saturating_sub(*at) < DIGEST_LIFETIME;
            if !is_recent {
                expired.push(std::mem::take(digest));
            }
            is_recent
        });
        for digest in expired {
            self.forget(&digest);
        }
    }

    /// Takes a digest out of the sums.
    fn forget(&mut self, digest: &Digest) {
        for (target, work) in &digest.work {
            remove_work(&mut self.others, *target, *work);
        }
        for (link, tokens) in &digest.links {
            remove_tokens(&mut self.other_links, link, *tokens);
        }
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
        let links = self.own_links.iter();
        Digest {
            work,
            links: links.map(|(l, t)| (l.clone(), *t)).collect(),
        }
    }

    /// Peers whose digest is recent.
    #[must_use]
    pub fn peers(&self) -> usize {
        self.peers.len()
    }
}

fn add_work(sums: &mut SortedMap<SocketAddr, Work>, target: SocketAddr, work: Work) {
    sums.get_or_insert_with(target, Work::default).add(work);
}

fn remove_work(sums: &mut SortedMap<SocketAddr, Work>, target: SocketAddr, work: Work) {
    if let Some(sum) = sums.get_mut(&target) {
        sum.subtract(work);
        if sum.is_idle() {
            sums.remove(&target);
        }
    }
}

fn add_tokens(sums: &mut SortedMap<ZonePair, u64>, link: ZonePair, tokens: u64) {
    *sums.get_or_insert_with(link, || 0) += tokens;
}

fn remove_tokens(sums: &mut SortedMap<ZonePair, u64>, link: &ZonePair, tokens: u64) {
    if let Some(sum) = sums.get_mut(link) {
        *sum = sum.saturating_sub(tokens);
        if *sum == 0 {
            sums.remove(link);
        }
    }
}

#[cfg(test)]
mod tests;
