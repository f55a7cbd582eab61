//! Bounded prefix cache, and its events.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use coriandercove_base::Time;
use coriandercove_base::rng::{Rng, seeded};
use coriandercove_target::{CACHE_BLOCK, CacheChange, CacheEvent, CacheEvents};
use rand::Rng as _;

/// Events kept for readers; older ones are lost.
const MAX_EVENTS: usize = 10_000;

/// Blocks of inputs whose KV state is in memory. The block used least recently is dropped first.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    /// Last use of each block.
    blocks: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    events: VecDeque<(Time, CacheEvent)>,
    next_event: u64,
    delay: Duration,
    loss: f64,
    rng: Rng,
}

impl PrefixCache {
    /// A cache for `tokens` positions whose events are readable after `delay`; a share `loss` of them
    /// never is.
    #[must_use]
    pub fn new(tokens: u64, delay: Duration, loss: f64, seed: u64) -> Self {
        Self {
            capacity: tokens as usize / CACHE_BLOCK,
            blocks: HashMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            events: VecDeque::new(),
            next_event: 1,
            delay,
            loss,
            rng: seeded(seed),
        }
    }

    /// How many of the first `hashes` are in the cache without a gap.
    #[must_use]
    pub fn hits(&self, hashes: &[u64]) -> usize {
        let hit = |h: &&u64| self.blocks.contains_key(h);
        hashes.iter().take_while(hit).count()
    }

    /// Adds blocks or marks them as used.
    pub fn touch(&mut self, now: Time, hashes: &[u64]) {
        for hash in hashes {
            self.uses += 1;
            match self.blocks.insert(*hash, self.uses) {
                Some(used) => {
                    self.by_use.remove(&used);
                }
                None => self.record(now, *hash, CacheChange::Stored),
            }
            self.by_use.insert(self.uses, *hash);
            self.evict(now);
        }
    }

    fn evict(&mut self, now: Time) {
        while self.blocks.len() > self.capacity {
            let Some((_, hash)) = self.by_use.pop_first() else {
                return;
            };
            self.blocks.remove(&hash);
            self.record(now, hash, CacheChange::Evicted);
        }
    }

    /// Drops all blocks, for example when other weights are loaded.
    pub fn clear(&mut self, now: Time) {
        self.by_use.clear();
        let mut hashes: Vec<u64> = self.blocks.drain().map(|(hash, _)| hash).collect();
        hashes.sort_unstable();
        for hash in hashes {
            self.record(now, hash, CacheChange::Evicted);
        }
    }

    /// Blocks in the cache.
    #[must_use]
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether the cache holds no block.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    fn record(&mut self, now: Time, prefix: u64, change: CacheChange) {
        let number = self.next_event;
        self.next_event += 1;
        if self.loss > 0.0 && self.rng.random::<f64>() < self.loss {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent {
            number,
            prefix,
            change,
        };
        self.events.push_back((now + self.delay, event));
    }

    /// Events above `after` that are readable by now.
    #[must_use]
    pub fn events(&self, now: Time, after: u64) -> CacheEvents {
        let readable = |(at, e): &&(Time, CacheEvent)| *at <= now && e.number > after;
        let events = self.events.iter().filter(readable);
        CacheEvents {
            events: events.map(|(_, e)| *e).collect(),
        }
    }
}

#[cfg(test)]
mod tests;
