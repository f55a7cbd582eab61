//! Tracks the work in flight at each target: this entry's own and what the other entries report.
//!
//! The engines' own reports lag by some hundred milliseconds, and all entries would act on the same
//! stale value. Paths are therefore chosen by the work that the entries themselves have in flight.

use std::net::SocketAddr;
use std::time::Duration;

use coriandercove_base::{NodeId, SortedMap, Time, ZoneId, data};

use crate::fleet::LayerRange;
use crate::path::Demand;

/// Time for which a peer's digest counts, so that the work of a dead peer is dropped.
pub const DIGEST_LIFETIME: Duration = Duration::from_millis(1500);

/// Two availability zones, sorted by name.
pub type ZonePair = (ZoneId, ZoneId);

/// The pair of two zones, the same for both directions of a transfer.
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
        /// Number of requests that pass through the target.
        pub requests: u32,
        /// Number of requests of which the target is the first hop.
        #[serde(rename = "first_parts")]
        pub first_hops: u32,
        /// Reserved KV cache, in tokens x layers.
        pub kv: u64,
        /// Prompts that still have to be prefilled, in tokens x layers; those of requests without
        /// an event so far.
        #[serde(rename = "unread")]
        pub pending_prefill: u64,
    }

    /// Work in flight of one entry, as sent to its peers.
    #[derive(Default)]
    pub struct Digest {
        /// Work by target address.
        pub work: Vec<(SocketAddr, Work)>,
        /// Prompt tokens that cross between two zones, of requests without an event so far.
        pub links: Vec<(ZonePair, u64)>,
    }
}

impl Work {
    /// Work of one request at a hop that runs these layers and does not hold its prompt yet.
    #[must_use]
    pub fn of_hop(demand: Demand, layers: LayerRange, is_first: bool) -> Self {
        let layers = layers.len();
        Self {
            requests: 1,
            first_hops: u32::from(is_first),
            kv: demand.kv(layers),
            pending_prefill: u64::from(demand.prompt) * u64::from(layers),
        }
    }

    /// The same work of `n` requests.
    #[must_use]
    pub fn times(self, n: u32) -> Self {
        Self {
            requests: self.requests * n,
            first_hops: self.first_hops * n,
            kv: self.kv * u64::from(n),
            pending_prefill: self.pending_prefill * u64::from(n),
        }
    }

    /// Adds work.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.first_hops += other.first_hops;
        self.kv += other.kv;
        self.pending_prefill += other.pending_prefill;
    }

    fn subtract(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.first_hops = self.first_hops.saturating_sub(other.first_hops);
        self.kv = self.kv.saturating_sub(other.kv);
        self.pending_prefill = self.pending_prefill.saturating_sub(other.pending_prefill);
    }

    /// Whether nothing is in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        *self == Self::default()
    }
}

/// Work in flight of all entries, by target, and prompt transfers by pair of zones.
#[derive(Debug, Default)]
pub struct Load {
    own: SortedMap<SocketAddr, Work>,
    /// Number of this entry's prompts that still have to be prefilled, by target, prompt tokens, and
    /// tokens x layers.
    own_prompts: SortedMap<(SocketAddr, u32, u64), u32>,
    own_links: SortedMap<ZonePair, u64>,
    /// Last digest of each peer, with the time of its arrival.
    peers: SortedMap<NodeId, (Time, Digest)>,
    /// Sums over the peers' last digests; targets and links without work are left out.
    others: SortedMap<SocketAddr, Work>,
    other_links: SortedMap<ZonePair, u64>,
}

impl Load {
    /// Adds work of one of this entry's requests, with this number of prompt tokens, at a target.
    pub fn begin(&mut self, target: SocketAddr, work: Work, prompt: u32) {
        add_work(&mut self.own, target, work);
        if work.pending_prefill > 0 {
            let prompt = (target, prompt, work.pending_prefill);
            *self.own_prompts.get_or_insert_with(prompt, || 0) += 1;
        }
    }

    /// Removes work of this entry that was added with [`Self::begin`].
    pub fn end(&mut self, target: SocketAddr, work: Work, prompt: u32) {
        remove_work(&mut self.own, target, work);
        let prompt = (target, prompt, work.pending_prefill);
        if let Some(count) = self.own_prompts.get_mut(&prompt) {
            *count -= 1;
            if *count == 0 {
                self.own_prompts.remove(&prompt);
            }
        }
    }

    /// Adds prompt tokens of this entry that cross between two zones.
    pub fn begin_transfer(&mut self, link: ZonePair, tokens: u64) {
        add_tokens(&mut self.own_links, link, tokens);
    }

    /// Removes prompt tokens that were added with [`Self::begin_transfer`].
    pub fn end_transfer(&mut self, link: &ZonePair, tokens: u64) {
        remove_tokens(&mut self.own_links, link, tokens);
    }

    /// Prompt tokens of all entries that currently cross between two zones.
    #[must_use]
    pub fn transfers(&self, link: &ZonePair) -> u64 {
        let own = self.own_links.get(link).copied().unwrap_or(0);
        own + self.other_links.get(link).copied().unwrap_or(0)
    }

    /// Replaces a peer's digest.
    pub fn on_digest(&mut self, from: NodeId, digest: Digest, now: Time) {
        for (target, work) in &digest.work {
            add_work(&mut self.others, *target, *work);
        }
        for (link, tokens) in &digest.links {
            add_tokens(&mut self.other_links, link.clone(), *tokens);
        }
        if let Some((_, old)) = self.peers.insert(from, (now, digest)) {
            self.subtract_digest(&old);
        }
    }

    /// Drops digests that are older than [`DIGEST_LIFETIME`].
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
            self.subtract_digest(&digest);
        }
    }

    /// Subtracts a digest from the sums.
    fn subtract_digest(&mut self, digest: &Digest) {
        for (target, work) in &digest.work {
            remove_work(&mut self.others, *target, *work);
        }
        for (link, tokens) in &digest.links {
            remove_tokens(&mut self.other_links, link, *tokens);
        }
    }

    /// Work in flight of all entries at a target.
    #[must_use]
    pub fn total(&self, target: SocketAddr) -> Work {
        let mut work = self.own(target);
        if let Some(others) = self.others.get(&target) {
            work.add(*others);
        }
        work
    }

    /// Work in flight of all entries at a target, of which the peers' part was known when its
    /// digests were sent. `left` is the share of the requests that have not ended since; prompts
    /// count in full, because those that were prefilled made way for others.
    #[must_use]
    pub fn total_after(&self, target: SocketAddr, left: f64) -> Work {
        let mut work = self.own(target);
        if let Some(others) = self.others.get(&target) {
            work.add(Work {
                requests: (f64::from(others.requests) * left).round() as u32,
                first_hops: (f64::from(others.first_hops) * left).round() as u32,
                kv: (others.kv as f64 * left) as u64,
                pending_prefill: others.pending_prefill,
            });
        }
        work
    }

    /// Work in flight of this entry at a target.
    #[must_use]
    pub fn own(&self, target: SocketAddr) -> Work {
        self.own.get(&target).copied().unwrap_or_default()
    }

    /// Prompts of more than `limit` tokens that still have to be prefilled at targets with these
    /// numbers of layers, in tokens x layers.
    ///
    /// Digests carry one sum for each peer and target. It counts as one prompt over all layers of the
    /// target; several short prompts of one peer may so count as a long one, and a long one over few
    /// of the layers may be missed.
    pub fn pending_over(
        &self,
        limit: f64,
        layers: impl Fn(SocketAddr) -> u16,
    ) -> impl Iterator<Item = (SocketAddr, u64)> {
        let own = self.own_prompts.iter();
        let own = own.filter(move |((_, prompt, _), _)| f64::from(*prompt) > limit);
        let own = own.map(|((target, _, pending), count)| (*target, pending * u64::from(*count)));
        let peers = self.peers.iter().flat_map(|(_, (_, digest))| &digest.work);
        let peers = peers.map(|(target, work)| (*target, work.pending_prefill));
        // Most sums are below the limit of a single layer, so that few targets are looked up.
        let peers = peers.filter(move |(target, pending)| {
            let pending = *pending as f64;
            pending > limit && pending > limit * f64::from(layers(*target))
        });
        own.chain(peers)
    }

    /// Work in flight of this entry, to be sent to the peers.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let work = self.own.iter().map(|(a, w)| (*a, *w)).collect();
        let links = self.own_links.iter();
        Digest {
            work,
            links: links.map(|(l, t)| (l.clone(), *t)).collect(),
        }
    }

    /// Number of peers with a lower name than `node` whose digest has not expired.
    #[must_use]
    pub fn peers_before(&self, node: &NodeId) -> usize {
        self.peers.keys().filter(|peer| *peer < node).count()
    }

    /// Number of peers whose digest has not expired.
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
