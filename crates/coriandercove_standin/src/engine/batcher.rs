//! Continuous batching without clocks and sockets.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use coriandercove_base::Time;
use coriandercove_base::rng::{Rng, seeded};
use coriandercove_target::oracle::sample;
use coriandercove_target::{EngineInfo, EngineLoad, ForwardItem, ForwardResult, ItemError};
use rand::Rng as _;

use super::prefix_cache::PrefixCache;
use super::sequence::Sequence;
use super::settings::EngineSettings;
use super::stats::EngineStats;

/// Names an item: the call that it belongs to and its index there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tag {
    /// Number of the call.
    pub call: u64,
    /// Index of the item in the call.
    pub index: usize,
}

/// An item's result with its tag.
pub type Tagged = (Tag, ForwardResult);

/// What one iteration did.
#[derive(Debug)]
pub struct Iteration {
    /// Time that the accelerator takes.
    pub duration: Duration,
    /// Results, to hand out at the end of the iteration.
    pub results: Vec<Tagged>,
}

/// The sequences, the queue and the prefix cache of one engine.
#[derive(Debug)]
pub struct Batcher {
    info: EngineInfo,
    settings: EngineSettings,
    sequences: HashMap<String, Sequence>,
    /// Positions with state in all sequences.
    kv_tokens: u64,
    /// Items by priority, then by arrival.
    queue: BTreeMap<(u8, u64), (Tag, ForwardItem)>,
    arrivals: u64,
    cache: PrefixCache,
    last_iteration: Duration,
    stats: EngineStats,
    rng: Rng,
}

/// Work of one iteration, in positions times layers.
#[derive(Default)]
struct Work {
    decode_layers: u64,
    prefill_layers: u64,
}

impl Batcher {
    /// An engine without sequences.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        let s = &settings;
        Self {
            info: s.info.clone(),
            sequences: HashMap::new(),
            kv_tokens: 0,
            queue: BTreeMap::new(),
            arrivals: 0,
            cache: PrefixCache::new(
                s.cache_tokens,
                s.cache_event_delay,
                s.cache_event_loss,
                s.seed,
            ),
            last_iteration: Duration::ZERO,
            stats: EngineStats::default(),
            rng: seeded(s.seed.wrapping_add(1)),
            settings,
        }
    }

    /// What the engine holds.
    #[must_use]
    pub const fn info(&self) -> &EngineInfo {
        &self.info
    }

    /// The prefix cache.
    #[must_use]
    pub const fn cache(&self) -> &PrefixCache {
        &self.cache
    }

    /// Counts of what the engine has done.
    #[must_use]
    pub const fn stats(&self) -> &EngineStats {
        &self.stats
    }

    /// The sequence called `seq`.
    #[must_use]
    pub fn sequence(&self, seq: &str) -> Option<&Sequence> {
        self.sequences.get(seq)
    }

    /// The load at this moment.
    #[must_use]
    pub fn load(&self) -> EngineLoad {
        EngineLoad {
            queued: self.queue.len() as u32,
            sequences: self.sequences.len() as u32,
            kv_tokens: self.kv_tokens,
            iteration_us: self.last_iteration.as_micros() as u64,
            loading: false,
        }
    }

    /// Whether no item waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty()
    }

    /// Queues an item for one of the next iterations.
    pub fn enqueue(&mut self, tag: Tag, item: ForwardItem) {
        self.arrivals += 1;
        let place = (item.priority, self.arrivals);
        self.queue.insert(place, (tag, item));
    }

    /// Frees a sequence. The results are those of its queued items.
    pub fn cancel(&mut self, seq: &str) -> Vec<Tagged> {
        self.free(seq);
        self.stats.cancels += 1;
        let taken = self.queue.extract_if(.., |_, (_, item)| item.seq == seq);
        taken
            .map(|(_, (tag, item))| (tag, failed(&item, ItemError::Cancelled)))
            .collect()
    }

    /// Replaces the weights. All sequences and the prefix cache are lost.
    pub fn reload(&mut self, now: Time, info: EngineInfo) -> Vec<Tagged> {
        self.info = info;
        self.sequences.clear();
        self.kv_tokens = 0;
        self.cache.clear(now);
        let queue = std::mem::take(&mut self.queue).into_values();
        queue
            .map(|(tag, item)| (tag, failed(&item, ItemError::Failed)))
            .collect()
    }

    fn free(&mut self, seq: &str) {
        if let Some(sequence) = self.sequences.remove(seq) {
            self.kv_tokens -= u64::from(sequence.len());
        }
    }

    /// Puts a sequence in place that another engine has exported. False if the memory is too small.
    pub fn import(&mut self, seq: String, sequence: Sequence) -> bool {
        let tokens = u64::from(sequence.len());
        self.free(&seq);
        if self.kv_tokens + tokens > self.info.kv_capacity_tokens {
            return false;
        }
        self.kv_tokens += tokens;
        self.sequences.insert(seq, sequence);
        true
    }

    /// Runs one iteration over the queued items, or returns `None` if there are none. Each item fails
    /// with the probability `fail_share`.
    pub fn run(&mut self, now: Time, fail_share: f64) -> Option<Iteration> {
        let batch = self.take_batch();
        if batch.is_empty() {
            return None;
        }
        let mut work = Work::default();
        let mut results = Vec::with_capacity(batch.len());
        for (tag, item) in batch {
            let fails = fail_share > 0.0 && self.rng.random::<f64>() < fail_share;
            let result = if fails {
                Err(ItemError::Failed)
            } else {
                self.run_item(now, &item, &mut work)
            };
            self.stats.count(&result);
            results.push((tag, result.unwrap_or_else(|e| failed(&item, e))));
        }
        let cost = self.settings.cost;
        let duration = cost.iteration(work.decode_layers, work.prefill_layers);
        self.last_iteration = duration;
        self.stats.iterations += 1;
        Some(Iteration { duration, results })
    }

    /// Takes items in order until the batch or the prefill of the iteration is full.
    fn take_batch(&mut self) -> Vec<(Tag, ForwardItem)> {
        let mut batch = Vec::new();
        let mut prefill = 0;
        while batch.len() < self.info.max_batch as usize {
            let Some(next) = self.queue.first_entry() else {
                break;
            };
            let inputs = next.get().1.inputs.len() as u64;
            let added = if inputs > 1 { inputs } else { 0 };
            if prefill > 0 && prefill + added > u64::from(self.settings.max_prefill) {
                break;
            }
            prefill += added;
            batch.push(next.remove());
        }
        batch
    }

    fn run_item(
        &mut self,
        now: Time,
        item: &ForwardItem,
        work: &mut Work,
    ) -> Result<ForwardResult, ItemError> {
        self.check(item)?;
        let (first, end) = (item.first_layer, self.info.end_layer);
        let layers = u64::from(end - first);
        let new = || Sequence::new(item.epoch, first, end);
        let sequence = self.sequences.entry(item.seq.clone()).or_insert_with(new);
        self.kv_tokens -= u64::from(sequence.len());
        sequence.epoch = item.epoch;
        sequence.truncate(item.position);
        let outputs = sequence.extend(&item.inputs);
        self.kv_tokens += u64::from(sequence.len());
        let (from, hashes) = sequence.new_blocks(item.position);
        let n = item.inputs.len() as u64;
        let mut cached = 0;
        if n == 1 {
            work.decode_layers += layers;
            self.stats.decoded += 1;
        } else {
            let hits = self.cache.hits(hashes);
            let end = Sequence::position_of_block(from + hits);
            // The last position must run to yield an output.
            cached = u64::from(end.saturating_sub(item.position)).min(n - 1);
            work.prefill_layers += layers * (n - cached);
            self.stats.prefilled += n - cached;
            self.stats.cached += cached;
        }
        self.cache.touch(now, hashes);
        Ok(ForwardResult {
            seq: item.seq.clone(),
            position: item.position,
            token: item
                .sample
                .then(|| outputs.last().map_or(0, |x| sample(*x))),
            outputs,
            cached: cached as u32,
            error: None,
        })
    }

    /// Whether the item may run; nothing has changed if not.
    fn check(&self, item: &ForwardItem) -> Result<(), ItemError> {
        let info = &self.info;
        let held = (info.first_layer..info.end_layer).contains(&item.first_layer);
        let can_sample = info.end_layer == info.total_layers;
        if !held || (item.sample && !can_sample) {
            return Err(ItemError::LayerNotHeld);
        }
        let sequence = self.sequences.get(&item.seq);
        let expected = sequence.map_or(0, Sequence::len);
        if let Some(s) = sequence {
            if s.first_layer() != item.first_layer {
                return Err(ItemError::LayerNotHeld);
            }
            if item.epoch < s.epoch {
                return Err(ItemError::StaleEpoch);
            }
            if item.epoch == s.epoch && item.position < expected {
                return Err(ItemError::PositionRepeat { expected });
            }
        }
        if item.position > expected {
            return Err(ItemError::PositionGap { expected });
        }
        let dropped = u64::from(expected - item.position);
        let kept = self.kv_tokens - dropped;
        if kept + item.inputs.len() as u64 > info.kv_capacity_tokens {
            return Err(ItemError::OutOfMemory);
        }
        Ok(())
    }
}

fn failed(item: &ForwardItem, error: ItemError) -> ForwardResult {
    ForwardResult {
        seq: item.seq.clone(),
        position: item.position,
        outputs: Vec::new(),
        token: None,
        cached: 0,
        error: Some(error),
    }
}

#[cfg(test)]
mod tests;
