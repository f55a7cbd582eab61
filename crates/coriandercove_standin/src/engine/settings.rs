//! Settings of the engine stand-in and the nominal throughput that follows from them.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use coriandercove_base::{Layer, ModelId};
use coriandercove_target::EngineInfo;

use super::weights::WeightStore;

/// Duration of iterations on one kind of accelerator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CostModel {
    /// Fixed time of an iteration, without that of its items.
    pub base: Duration,
    /// Time to decode one position of one sequence in one layer.
    pub decode_layer: Duration,
    /// Time to prefill one position in one layer.
    pub prefill_layer: Duration,
}

impl CostModel {
    /// Returns the costs of a kind of accelerator, which is `a100`, `a10`, `l4` or `t4`. The ratios
    /// follow the published memory bandwidths (2.0, 0.6, 0.3 and 0.32 TB/s) and 16-bit rates (312,
    /// 125, 121 and 65 Tflop/s).
    #[must_use]
    pub fn for_accelerator(kind: &str) -> Option<Self> {
        let (base_us, decode_ns, prefill_ns) = match kind {
            "a100" => (2_000, 3_000, 700),
            "a10" => (4_000, 10_000, 1_750),
            "l4" => (6_000, 20_000, 1_800),
            "t4" => (6_000, 19_000, 3_360),
            _ => return None,
        };
        Some(Self {
            base: Duration::from_micros(base_us),
            decode_layer: Duration::from_nanos(decode_ns),
            prefill_layer: Duration::from_nanos(prefill_ns),
        })
    }

    /// Returns the duration of an iteration. The counts are positions times layers.
    #[must_use]
    pub fn iteration(&self, decode_layers: u64, prefill_layers: u64) -> Duration {
        let nanos = |cost: Duration, n: u64| (cost.as_nanos() as u64).saturating_mul(n);
        let decode = nanos(self.decode_layer, decode_layers);
        let prefill = nanos(self.prefill_layer, prefill_layers);
        self.base + Duration::from_nanos(decode.saturating_add(prefill))
    }
}

/// Settings of an engine stand-in.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Model, layers and limits of the engine at the start.
    pub info: EngineInfo,
    /// Duration of iterations.
    pub cost: CostModel,
    /// Largest number of prompt positions in one iteration, unless a single item has more. It keeps
    /// prefills from stalling the decoding of other sequences.
    pub max_prefill: u32,
    /// Largest number of positions in the prefix cache.
    pub cache_tokens: u64,
    /// Time from a change of the prefix cache until its event can be read.
    pub cache_event_delay: Duration,
    /// Share of cache events that are lost, from 0 to 1.
    pub cache_event_loss: f64,
    /// Largest age of a load report; the smallest age is half of it. Zero for current reports; other
    /// lags below 20 ms act as 20 ms.
    pub load_lag: Duration,
    /// Models that can be loaded, each with its number of layers.
    pub models: Vec<(ModelId, Layer)>,
    /// Store that weights are loaded from; shared by the engines that get clones of it.
    pub weights: WeightStore,
    /// Seed of all random choices.
    pub seed: u64,
}

impl EngineSettings {
    /// Creates the settings of an engine on an `a10` that holds the layers `first..end` of a model
    /// with `total` layers.
    #[must_use]
    pub fn new(model: &str, first: u16, end: u16, total: u16) -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            info: EngineInfo {
                model: model.into(),
                version: "1".to_owned(),
                first_layer: first,
                end_layer: end,
                total_layers: total,
                accelerator: "a10".to_owned(),
                kv_capacity_tokens: 200_000,
                max_batch: 64,
                checks_fence: true,
            },
            cost: CostModel {
                base: Duration::from_micros(4_000),
                decode_layer: Duration::from_nanos(10_000),
                prefill_layer: Duration::from_nanos(1_750),
            },
            max_prefill: 2_048,
            cache_tokens: 50_000,
            cache_event_delay: Duration::from_millis(200),
            cache_event_loss: 0.0,
            load_lag: Duration::from_millis(200),
            models: vec![(model.into(), total)],
            weights: WeightStore::new(Duration::from_millis(50)),
            seed: 1,
        }
    }

    /// Returns the number of layers that the engine holds.
    #[must_use]
    pub const fn layers(&self) -> u64 {
        (self.info.end_layer - self.info.first_layer) as u64
    }

    /// Returns the upper bound on the throughput without prefill, in tokens/s: the rate at which
    /// the engine decodes when every iteration is full.
    #[must_use]
    pub fn decode_bound(&self) -> f64 {
        let batch = u64::from(self.info.max_batch);
        let iteration = self.cost.iteration(batch * self.layers(), 0);
        batch as f64 / iteration.as_secs_f64()
    }

    /// Returns the upper bound in answers/s: the rate when every iteration is full, for answers of
    /// `output` tokens to prompts of `prompt` tokens of which none is cached. Multiplied by
    /// `output`, it is the bound in tokens/s.
    ///
    /// Each sequence needs its prefill and `output - 1` decode steps. The sequences of a full batch
    /// share the fixed time of each iteration.
    #[must_use]
    pub fn answer_bound(&self, prompt: u32, output: u32) -> f64 {
        let layers = self.layers() as f64;
        let decodes = f64::from(output.saturating_sub(1));
        let base = self.cost.base.as_secs_f64() / f64::from(self.info.max_batch);
        let decode = self.cost.decode_layer.as_secs_f64() * layers;
        let prefill = self.cost.prefill_layer.as_secs_f64() * layers * f64::from(prompt);
        1.0 / (prefill + base + decodes * (base + decode))
    }
}
