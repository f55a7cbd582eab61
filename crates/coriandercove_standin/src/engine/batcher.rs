//! Continuous batching as a pure state machine: the caller passes the time and does the I/O.

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

/// Identifies an item by the call that it belongs to and its index in the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tag {
    /// Number of the forward call, chosen by the caller of [`Batcher::enqueue`].
    pub call: u64,
    /// Index of the item in the call.
    pub index: usize,
}

/// The result of an item with the tag under which it was queued.
pub type TaggedResult = (Tag, ForwardResult);

/// Outcome of one iteration.
#[derive(Debug)]
pub struct Iteration {
    /// Time that the accelerator takes for it.
    pub duration: Duration,
    /// Results, to be delivered only when `duration` has passed.
    pub results: Vec<TaggedResult>,
}

/// The sequences, the queue and the prefix cache of one engine.
#[derive(Debug)]
pub struct Batcher {
    info: EngineInfo,
    settings: EngineSettings,
    sequences: HashMap<String, Sequence>,
    /// Number of positions with KV state over all sequences.
    kv_tokens: u64,
    /// Items by priority, where 0 is the most urgent, and by order of arrival within a priority.
    queue: BTreeMap<(u8, u64), (Tag, ForwardItem)>,
    /// Number of items queued so far.
    arrivals: u64,
    cache: PrefixCache,
    /// Duration of the latest iteration.
    last_iteration: Duration,
    stats: EngineStats,
    rng: Rng,
}

/// Work of one iteration, in positions times layers.
#[derive(Default)]
struct IterationWork {
    decode_layers: u64,
    prefill_layers: u64,
}

impl Batcher {
    /// Creates an engine without sequences.
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

    /// Returns the model, layers and limits of the engine.
    #[must_use]
    pub const fn info(&self) -> &EngineInfo {
        &self.info
    }

    /// Returns the prefix cache.
    #[must_use]
    pub const fn cache(&self) -> &PrefixCache {
        &self.cache
    }

    /// Returns the counts since the engine was created; a reload keeps them.
    #[must_use]
    pub const fn stats(&self) -> &EngineStats {
        &self.stats
    }

    /// Returns the KV state of the sequence `seq`, if the engine has any.
    #[must_use]
    pub fn sequence(&self, seq: &str) -> Option<&Sequence> {
        self.sequences.get(seq)
    }

    /// Returns the current load. `loading` is always false, because the batcher does not know
    /// whether weights are being loaded.
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

    /// Whether no item is queued.
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

    /// Frees the state of a sequence and removes its queued items; returns their results, which are
    /// [`ItemError::Cancelled`].
    pub fn cancel(&mut self, seq: &str) -> Vec<TaggedResult> {
        self.free_sequence(seq);
        self.stats.cancels += 1;
        let taken = self.queue.extract_if(.., |_, (_, item)| item.seq == seq);
        taken
            .map(|(_, (tag, item))| (tag, failed_result(&item, ItemError::Cancelled)))
            .collect()
    }

    /// Replaces the weights and drops all sequences and the prefix cache. Returns the results of
    /// the queued items, which are [`ItemError::Failed`].
    pub fn reload(&mut self, now: Time, info: EngineInfo) -> Vec<TaggedResult> {
        self.info = info;
        self.sequences.clear();
        self.kv_tokens = 0;
        self.cache.clear(now);
        let queue = std::mem::take(&mut self.queue).into_values();
        queue
            .map(|(tag, item)| (tag, failed_result(&item, ItemError::Failed)))
            .collect()
    }

    fn free_sequence(&mut self, seq: &str) {
        if let Some(sequence) = self.sequences.remove(seq) {
            self.kv_tokens -= u64::from(sequence.len());
        }
    }

    /// Adds a sequence that another engine exported and replaces the one with the same name.
    /// Returns false if its state does not fit in memory; a sequence with the same name is freed
    /// all the same.
    pub fn import(&mut self, seq: String, sequence: Sequence) -> bool {
        let tokens = u64::from(sequence.len());
        self.free_sequence(&seq);
        if self.kv_tokens + tokens > self.info.kv_capacity_tokens {
            return false;
        }
        self.kv_tokens += tokens;
        self.sequences.insert(seq, sequence);
        true
    }

    /// Runs one iteration over queued items, or returns `None` if there are none. Each item fails
    /// with the probability `fail_share`.
    pub fn run_iteration(&mut self, now: Time, fail_share: f64) -> Option<Iteration> {
        let batch = self.take_batch();
        if batch.is_empty() {
            return None;
        }
        let mut work = IterationWork::default();
        let mut results = Vec::with_capacity(batch.len());
        for (tag, item) in batch {
            let fails = fail_share > 0.0 && self.rng.random::<f64>() < fail_share;
            let result = if fails {
                Err(ItemError::Failed)
            } else {
                self.run_item(now, &item, &mut work)
            };
            self.stats.count(&result);
            results.push((tag, result.unwrap_or_else(|e| failed_result(&item, e))));
        }
        let cost = self.settings.cost;
        let duration = cost.iteration(work.decode_layers, work.prefill_layers);
        self.last_iteration = duration;
        self.stats.iterations += 1;
        Some(Iteration { duration, results })
    }

    /// Removes items from the queue in its order until the batch is full or the next item would
    /// exceed the prefill limit. The first prefill of a batch may exceed the limit on its own; the
    /// batch then ends with it.
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

    /// Runs one item and adds its cost to `work`.
    fn run_item(
        &mut self,
        now: Time,
        item: &ForwardItem,
        work: &mut IterationWork,
    ) -> Result<ForwardResult, ItemError> {
        self.check_item(item)?;
        let (first, end) = (item.first_layer, self.info.end_layer);
        let layers = u64::from(end - first);
        let new = || Sequence::new(item.epoch, first, end);
        let sequence = self.sequences.entry(item.seq.clone()).or_insert_with(new);
        self.kv_tokens -= u64::from(sequence.len());
        sequence.epoch = item.epoch;
        sequence.truncate(item.position);
        let outputs = sequence.extend(&item.inputs);
        self.kv_tokens += u64::from(sequence.len());
        let (from, hashes) = sequence.blocks_ending_after(item.position);
        let n = item.inputs.len() as u64;
        let mut cached = 0;
        if n == 1 {
            work.decode_layers += layers;
            self.stats.decoded += 1;
        } else {
            let hits = self.cache.hits(hashes);
            let end = Sequence::position_of_block(from + hits);
            // The last position always runs, because its output is needed.
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

    /// Returns an error if the item must not run. Changes nothing.
    fn check_item(&self, item: &ForwardItem) -> Result<(), ItemError> {
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

/// Returns the result of an item that did not run or failed.
fn failed_result(item: &ForwardItem, error: ItemError) -> ForwardResult {
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
