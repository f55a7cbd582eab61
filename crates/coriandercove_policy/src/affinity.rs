//! Hints on which target holds which prompt prefix in its cache.

use std::collections::{HashMap, VecDeque};

use coriandercove_base::hash::{hash64, mix64};
use coriandercove_base::{TargetId, Token, data};

data! {
    /// A cache event of an engine. Events arrive late and with gaps.
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

/// Settings of the hint map.
#[derive(Debug, Clone, PartialEq)]
pub struct AffinityConfig {
    /// Tokens of one block.
    pub block_tokens: usize,
    /// Bound of the hints (pairs of block and target).
    pub max_hints: usize,
    /// Targets remembered for one block.
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

/// Part by which one observation moves the trust in a target's hints.
const TRUST_STEP: f64 = 0.2;
/// Factor on the trust when events are missing, since they may have been evictions.
const GAP_TRUST: f64 = 0.8;
/// Part of the missing trust that an event without a gap restores. Without it, a target that gets
/// no requests for want of trust would never regain any.
const EVENT_TRUST: f64 = 0.01;
/// Least trust, so that observations can raise it again.
const MIN_TRUST: f64 = 0.05;

#[derive(Debug)]
struct Target {
    name: TargetId,
    /// Raised when all hints of the target are dropped at once.
    generation: u32,
    /// Part of the expected hits that come true, from [`MIN_TRUST`] to 1.
    trust: f64,
    /// Number of the last event.
    event: Option<u64>,
}

/// A target that is thought to hold a block; void if the generation is old.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Holder {
    target: u32,
    generation: u32,
}

#[derive(Debug, Default)]
struct Block {
    /// Most recent last; at most `max_targets_per_block`.
    holders: Vec<Holder>,
    /// Whether the block was used since it was last considered for eviction.
    is_used: bool,
}

/// Bounded map from prefix blocks to targets.
#[derive(Debug)]
pub struct Affinity {
    cfg: AffinityConfig,
    targets: Vec<Target>,
    by_name: HashMap<TargetId, u32>,
    blocks: HashMap<u64, Block>,
    /// Blocks in the order of their consideration for eviction (second chance).
    order: VecDeque<u64>,
    /// Sum of the lengths of all holder lists; at most `max_hints`.
    hints: usize,
}

impl Affinity {
    /// An empty map.
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

    /// Hashes of the whole blocks of a prompt; each covers everything before it.
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

    /// Takes an event with its sequence number in; a gap lowers the trust in the target's hints.
    /// Events at or before the last number are ignored.
    pub fn on_event(&mut self, target: &TargetId, number: u64, event: &CacheEvent) {
        let i = self.intern(target);
        let t = &mut self.targets[i as usize];
        if t.event.is_some_and(|last| number <= last) {
            return;
        }
        if t.event.is_some_and(|last| number > last + 1) {
            t.trust = (t.trust * GAP_TRUST).max(MIN_TRUST);
        } else {
            t.trust += EVENT_TRUST * (1.0 - t.trust);
        }
        t.event = Some(number);
        match event {
            CacheEvent::Stored(blocks) => blocks.iter().for_each(|b| self.store(*b, i)),
            CacheEvent::Evicted(blocks) => blocks.iter().for_each(|b| self.evict(*b, i)),
            CacheEvent::Cleared => t.generation += 1,
        }
    }

    /// Prompt tokens expected to be cached, sorted by target, for
    /// [`crate::chain::ChainRequest::cached`].
    #[must_use]
    pub fn expected(&self, blocks: &[u64]) -> Vec<(TargetId, u32)> {
        let mut out: Vec<(TargetId, u32)> = self
            .runs(blocks)
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

    /// Corrects hints and trust with the cached prompt tokens that a target reported for a
    /// prompt. The prompt has run there, so all its blocks are cached afterwards.
    pub fn observe(&mut self, target: &TargetId, blocks: &[u64], cached_tokens: u32) {
        let i = self.intern(target);
        let runs = self.runs(blocks);
        if let Some((_, run)) = runs.iter().find(|(t, _)| *t == i) {
            let expected = (run * self.cfg.block_tokens) as f64;
            let hit = (f64::from(cached_tokens) / expected).min(1.0);
            let t = &mut self.targets[i as usize];
            t.trust = (t.trust + TRUST_STEP * (hit - t.trust)).clamp(MIN_TRUST, 1.0);
        }
        for block in blocks {
            self.store(*block, i);
        }
    }

    /// Forgets a target's hints and event numbers, for example after a restart.
    pub fn forget(&mut self, target: &str) {
        if let Some(i) = self.by_name.get(target) {
            let t = &mut self.targets[*i as usize];
            t.generation += 1;
            t.trust = 1.0;
            t.event = None;
        }
    }

    /// Hints held; at most the configured bound.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.hints
    }

    /// Whether there are no hints.
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
            event: None,
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

    /// Targets with the number of leading blocks that each is thought to hold.
    fn runs(&self, blocks: &[u64]) -> Vec<(u32, usize)> {
        let mut done = Vec::new();
        let mut open: Option<Vec<u32>> = None;
        for (length, hash) in blocks.iter().enumerate() {
            let holders = self.blocks.get(hash).map_or(&[][..], |b| &b.holders);
            let holds = |i: &u32| holders.contains(&self.holder(*i));
            let next = match &open {
                None => {
                    let valid = holders.iter().filter(|h| self.holder(h.target) == **h);
                    valid.map(|h| h.target).collect()
                }
                Some(open) => {
                    let ended = open.iter().filter(|i| !holds(i));
                    done.extend(ended.map(|i| (*i, length)));
                    open.iter().copied().filter(holds).collect::<Vec<_>>()
                }
            };
            let is_over = next.is_empty();
            open = Some(next);
            if is_over {
                break;
            }
        }
        done.extend(open.into_iter().flatten().map(|i| (i, blocks.len())));
        done
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
        self.shrink();
    }

    fn evict(&mut self, hash: u64, target: u32) {
        if let Some(block) = self.blocks.get_mut(&hash) {
            let before = block.holders.len();
            block.holders.retain(|h| h.target != target);
            self.hints -= before - block.holders.len();
        }
    }

    /// Drops blocks until the bound holds; a block used since its last turn gets another turn.
    /// Blocks without holders count against the bound too, so that evictions free their memory.
    fn shrink(&mut self) {
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
