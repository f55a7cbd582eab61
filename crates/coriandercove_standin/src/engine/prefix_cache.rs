//! Bounded prefix cache and the events that report its changes.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use coriandercove_base::Time;
use coriandercove_base::rng::{Rng, seeded};
use coriandercove_target::{CACHE_BLOCK, CacheChange, CacheEvent, CacheEvents};
use rand::Rng as _;

/// Largest number of events kept for readers; the oldest ones are dropped.
const MAX_EVENTS: usize = 10_000;

/// Blocks of inputs whose KV state is in memory, each identified by its prefix hash. The least
/// recently used block is evicted first.
#[derive(Debug)]
pub struct PrefixCache {
    /// Largest number of blocks.
    capacity: usize,
    /// Number of the last use of each block.
    blocks: HashMap<u64, u64>,
    /// Blocks by the number of their last use.
    blocks_by_use: BTreeMap<u64, u64>,
    /// Number of uses so far.
    uses: u64,
    /// Events with the time from which they are readable.
    events: VecDeque<(Time, CacheEvent)>,
    /// Number of the next event. Lost events use a number too.
    next_event: u64,
    /// Time from a change until its event is readable.
    delay: Duration,
    /// Share of events that are lost, from 0 to 1.
    loss: f64,
    rng: Rng,
}

impl PrefixCache {
    /// Creates a cache for `tokens` positions. Its events are readable after `delay`, except for a
    /// share `loss` of them, from 0 to 1, which are lost.
    #[must_use]
    pub fn new(tokens: u64, delay: Duration, loss: f64, seed: u64) -> Self {
        Self {
            capacity: tokens as usize / CACHE_BLOCK,
            blocks: HashMap::new(),
            blocks_by_use: BTreeMap::new(),
            uses: 0,
            events: VecDeque::new(),
            next_event: 1,
            delay,
            loss,
            rng: seeded(seed),
        }
    }

    /// Returns the number of leading `hashes` that are in the cache without a gap.
    #[must_use]
    pub fn hits(&self, hashes: &[u64]) -> usize {
        let hit = |h: &&u64| self.blocks.contains_key(h);
        hashes.iter().take_while(hit).count()
    }

    /// Marks blocks as just used and adds those that are not in the cache.
    pub fn touch(&mut self, now: Time, hashes: &[u64]) {
        for hash in hashes {
            self.uses += 1;
            match self.blocks.insert(*hash, self.uses) {
                Some(used) => {
                    self.blocks_by_use.remove(&used);
                }
                None => self.record_event(now, *hash, CacheChange::Stored),
            }
            self.blocks_by_use.insert(self.uses, *hash);
            self.evict(now);
        }
    }

    fn evict(&mut self, now: Time) {
        while self.blocks.len() > self.capacity {
            let Some((_, hash)) = self.blocks_by_use.pop_first() else {
                return;
            };
            self.blocks.remove(&hash);
            self.record_event(now, hash, CacheChange::Evicted);
        }
    }

    /// Evicts all blocks, for example because other weights are loaded.
    pub fn clear(&mut self, now: Time) {
        self.blocks_by_use.clear();
        let mut hashes: Vec<u64> = self.blocks.drain().map(|(hash, _)| hash).collect();
        hashes.sort_unstable();
        for hash in hashes {
            self.record_event(now, hash, CacheChange::Evicted);
        }
    }

    /// Returns the number of blocks in the cache.
    #[must_use]
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether the cache holds no block.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Adds the event of a change, or loses it with the probability `loss`.
    fn record_event(&mut self, now: Time, prefix: u64, change: CacheChange) {
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

    /// Returns the events with a number above `after` that are readable at `now`, in the order of
    /// their numbers.
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
