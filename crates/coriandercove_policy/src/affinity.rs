//! Hints about which targets hold which prompt prefixes in their KV cache.

use std::collections::{HashMap, VecDeque};

use coriandercove_base::hash::{hash64, mix64};
use coriandercove_base::{TargetId, Token, data};

data! {
    /// A cache event of an engine. Events may arrive late, and some may be lost.
    #[derive(Eq)]
    pub enum CacheEvent {
        /// Blocks whose KV state is now cached.
        Stored(Vec<u64>),
        /// Blocks that were evicted.
        Evicted(Vec<u64>),
        /// The whole cache was dropped.
        Cleared,
    }
}

/// Settings of [`Affinity`].
#[derive(Debug, Clone, PartialEq)]
pub struct AffinityConfig {
    /// Number of tokens in one block.
    pub block_tokens: usize,
    /// Maximum number of hints (pairs of block and target).
    pub max_hints: usize,
    /// Maximum number of targets stored for one block.
    pub max_targets_per_block: usize,
}

impl Default for AffinityConfig {
    fn default() -> Self {
        Self {
            block_tokens: 16,
            max_hints: 200_000,
            max_targets_per_block: 8,
        }
    }
}

/// Weight of one observation in the trust in a target's hints.
const TRUST_STEP: f64 = 0.2;
/// Factor applied to the trust when events are missing, since they may have been evictions.
const GAP_TRUST: f64 = 0.8;
/// Fraction of the missing trust that an event without a gap restores. Without it, a target that
/// gets no requests because of low trust would never regain trust.
const EVENT_TRUST: f64 = 0.01;
/// Lower bound of the trust, so that the target still gets requests whose observations can raise it
/// again.
const MIN_TRUST: f64 = 0.05;

#[derive(Debug)]
struct Target {
    name: TargetId,
    /// Incremented to invalidate all hints of the target at once.
    generation: u32,
    /// Estimated fraction of the expected cached tokens that are really cached, from [`MIN_TRUST`]
    /// to 1.
    trust: f64,
    /// Sequence number of the last event.
    last_sequence: Option<u64>,
}

/// A target that is expected to hold a block; invalid if the generation is not the target's current
/// one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Holder {
    target: u32,
    generation: u32,
}

#[derive(Debug, Default)]
struct Block {
    /// Targets in order of last use, most recent last; at most `max_targets_per_block`.
    holders: Vec<Holder>,
    /// Whether the block was used since it was last considered for eviction.
    is_used: bool,
}

/// Bounded map from prefix blocks to the targets that are expected to have them cached.
#[derive(Debug)]
pub struct Affinity {
    cfg: AffinityConfig,
    targets: Vec<Target>,
    by_name: HashMap<TargetId, u32>,
    blocks: HashMap<u64, Block>,
    /// Blocks in the order in which they are considered for eviction (second-chance algorithm).
    order: VecDeque<u64>,
    /// Sum of the lengths of all holder lists; at most `max_hints`.
    hints: usize,
}

impl Affinity {
    /// Creates an empty map.
    #[must_use]
    pub fn new(cfg: AffinityConfig) -> Self {
        Self {
            cfg,
            targets: Vec::new(),
            by_name: HashMap::new(),
            blocks: HashMap::new(),
            order: VecDeque::new(),
            hints: 0,
        }
    }

    /// Returns the hashes of the complete blocks of a prompt. Each hash also covers the model and
    /// all tokens before the block.
    #[must_use]
    pub fn blocks(&self, model: &str, prompt: &[Token]) -> Vec<u64> {
        let mut hash = hash64(&[model.as_bytes()]);
        let chunks = prompt.chunks_exact(self.cfg.block_tokens.max(1));
        chunks
            .map(|chunk| {
                for token in chunk {
                    hash = mix64(hash.rotate_left(5) ^ u64::from(*token));
                }
                hash
            })
            .collect()
    }

    /// Applies a cache event. A gap in the sequence numbers lowers the trust in the target's hints.
    /// Events at or before the last sequence number are ignored.
    pub fn on_event(&mut self, target: &TargetId, sequence: u64, event: &CacheEvent) {
        let i = self.intern(target);
        let t = &mut self.targets[i as usize];
        if t.last_sequence.is_some_and(|last| sequence <= last) {
            return;
        }
        if t.last_sequence.is_some_and(|last| sequence > last + 1) {
            t.trust = (t.trust * GAP_TRUST).max(MIN_TRUST);
        } else {
            t.trust += EVENT_TRUST * (1.0 - t.trust);
        }
        t.last_sequence = Some(sequence);
        match event {
            CacheEvent::Stored(blocks) => blocks.iter().for_each(|b| self.store(*b, i)),
            CacheEvent::Evicted(blocks) => blocks.iter().for_each(|b| self.evict(*b, i)),
            CacheEvent::Cleared => t.generation += 1,
        }
    }

    /// Returns the number of prompt tokens that each target is expected to have cached, sorted by
    /// target, for [`crate::chain::ChainRequest::cached`].
    #[must_use]
    pub fn expected(&self, blocks: &[u64]) -> Vec<(TargetId, u32)> {
        let mut out: Vec<(TargetId, u32)> = self
            .leading_runs(blocks)
            .into_iter()
            .map(|(i, run)| {
                let target = &self.targets[i as usize];
                let tokens = (run * self.cfg.block_tokens) as f64 * target.trust;
                (target.name.clone(), tokens as u32)
            })
            .filter(|(_, tokens)| *tokens > 0)
            .collect();
        out.sort_by(|a, b| a.0.cmp(&b.0));
        out
    }

    /// Updates hints and trust with the number of cached prompt tokens that a target reported for a
    /// prompt. The prompt has run there, so all its blocks are cached afterwards.
    pub fn observe(&mut self, target: &TargetId, blocks: &[u64], cached_tokens: u32) {
        let i = self.intern(target);
        let leading_runs = self.leading_runs(blocks);
        if let Some((_, run)) = leading_runs.iter().find(|(t, _)| *t == i) {
            let expected = (run * self.cfg.block_tokens) as f64;
            let hit = (f64::from(cached_tokens) / expected).min(1.0);
            let t = &mut self.targets[i as usize];
            t.trust = (t.trust + TRUST_STEP * (hit - t.trust)).clamp(MIN_TRUST, 1.0);
        }
        for block in blocks {
            self.store(*block, i);
        }
    }

    /// Drops a target's hints, trust and last sequence number, for example after a restart.
    pub fn forget(&mut self, target: &str) {
        if let Some(i) = self.by_name.get(target) {
            let t = &mut self.targets[*i as usize];
            t.generation += 1;
            t.trust = 1.0;
            t.last_sequence = None;
        }
    }

    /// Number of hints; at most `max_hints`.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.hints
    }

    /// Whether the map holds no hints.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.hints == 0
    }

    fn intern(&mut self, target: &TargetId) -> u32 {
        if let Some(i) = self.by_name.get(target) {
            return *i;
        }
        let i = self.targets.len() as u32;
        self.targets.push(Target {
            name: target.clone(),
            generation: 0,
            trust: 1.0,
            last_sequence: None,
        });
        self.by_name.insert(target.clone(), i);
        i
    }

    fn holder(&self, target: u32) -> Holder {
        Holder {
            target,
            generation: self.targets[target as usize].generation,
        }
    }

    /// Returns each target that is expected to hold the first block, with the number of consecutive
    /// leading blocks that it is expected to hold.
    fn leading_runs(&self, blocks: &[u64]) -> Vec<(u32, usize)> {
        let mut ended_runs = Vec::new();
        let mut active: Option<Vec<u32>> = None;
        for (length, hash) in blocks.iter().enumerate() {
            let holders = self.blocks.get(hash).map_or(&[][..], |b| &b.holders);
            let holds = |i: &u32| holders.contains(&self.holder(*i));
            let next = match &active {
                None => {
                    let valid = holders.iter().filter(|h| self.holder(h.target) == **h);
                    valid.map(|h| h.target).collect()
                }
                Some(active) => {
                    let ended = active.iter().filter(|i| !holds(i));
                    ended_runs.extend(ended.map(|i| (*i, length)));
                    active.iter().copied().filter(holds).collect::<Vec<_>>()
                }
            };
            let no_target_left = next.is_empty();
            active = Some(next);
            if no_target_left {
                break;
            }
        }
        ended_runs.extend(active.into_iter().flatten().map(|i| (i, blocks.len())));
        ended_runs
    }

    fn store(&mut self, hash: u64, target: u32) {
        let holder = self.holder(target);
        let block = self.blocks.entry(hash).or_insert_with(|| {
            self.order.push_back(hash);
            Block::default()
        });
        let before = block.holders.len();
        block.is_used = before > 0;
        block.holders.retain(|h| h.target != target);
        if block.holders.len() >= self.cfg.max_targets_per_block.max(1) {
            block.holders.remove(0);
        }
        block.holders.push(holder);
        self.hints += block.holders.len();
        self.hints -= before;
        self.enforce_bound();
    }

    fn evict(&mut self, hash: u64, target: u32) {
        if let Some(block) = self.blocks.get_mut(&hash) {
            let before = block.holders.len();
            block.holders.retain(|h| h.target != target);
            self.hints -= before - block.holders.len();
        }
    }

    /// Evicts blocks until the bound holds. A block that was used since it was last considered is
    /// kept for one more round. Blocks without holders count against the bound too, so that their
    /// memory is freed.
    fn enforce_bound(&mut self) {
        while self.hints > self.cfg.max_hints || self.order.len() > self.cfg.max_hints {
            let Some(hash) = self.order.pop_front() else {
                return;
            };
            let Some(block) = self.blocks.get_mut(&hash) else {
                continue;
            };
            if block.is_used && !block.holders.is_empty() {
                block.is_used = false;
                self.order.push_back(hash);
            } else {
                self.hints -= block.holders.len();
                self.blocks.remove(&hash);
            }
        }
    }
}

#[cfg(test)]
mod tests;
