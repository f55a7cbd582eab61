//! The engine protocol: JSON over HTTP, one engine for each target VM.

use bytes::Bytes;
use coriandercove_base::{Attempt, Fence, Layer, ModelId, Position, Token, data};
use futures_util::future::LocalBoxFuture;
use snafu::Snafu;

use crate::cache::CacheEvents;

data! {
    /// What an engine holds; answer to `GET /v1/info`.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct EngineInfo {
        /// Model whose layers the engine holds.
        pub model: ModelId,
        /// Version of the weights.
        pub version: String,
        /// First layer held.
        pub first_layer: Layer,
        /// Layer after the last one held; greater than `first_layer`.
        pub end_layer: Layer,
        /// Layers of the whole model; at least `end_layer`.
        pub total_layers: Layer,
        /// Kind of accelerator, such as `a10` or `l4`.
        pub accelerator: String,
        /// Tokens for which KV state fits in memory.
        pub kv_capacity_tokens: u64,
        /// Sequences that one iteration takes at the most.
        pub max_batch: u32,
        /// Whether the engine refuses orders with an old fencing number.
        pub checks_fence: bool,
    }

    /// Load report; answer to `GET /v1/load`. Reports lag behind the engine's state.
    #[derive(Default)]
    pub struct EngineLoad {
        /// Items waiting for an iteration.
        pub queued: u32,
        /// Sequences with KV state.
        pub sequences: u32,
        /// Tokens with KV state.
        pub kv_tokens: u64,
        /// Time of a recent iteration, in microseconds.
        pub iteration_us: u64,
        /// Whether the engine is loading weights and refuses forward calls.
        #[serde(default)]
        pub loading: bool,
    }

    /// Body of `POST /v1/forward`.
    #[derive(Eq)]
    pub struct ForwardRequest {
        /// Items to run; they may belong to different sequences.
        pub items: Vec<ForwardItem>,
    }

    /// Consecutive positions of one sequence to run through the engine's layers.
    #[derive(Eq)]
    pub struct ForwardItem {
        /// The sequence, a request id in hexadecimal.
        pub seq: String,
        /// Attempt that the item belongs to. A higher epoch truncates the sequence to `position`.
        pub epoch: Attempt,
        /// Position of the first input.
        pub position: Position,
        /// Layer that the inputs enter; must lie in the engine's range.
        pub first_layer: Layer,
        /// Token numbers if `first_layer` is 0, otherwise activations of the layer before.
        pub inputs: Vec<u64>,
        /// Lower values run first.
        pub priority: u8,
        /// Whether the last position yields a token; only with the model's last layer.
        pub sample: bool,
    }

    /// Answer to `POST /v1/forward`, with one result for each item in the same order.
    #[derive(Eq)]
    pub struct ForwardReply {
        /// Results in the order of the items.
        pub items: Vec<ForwardResult>,
    }

    /// Outcome of one item.
    #[derive(Eq)]
    pub struct ForwardResult {
        /// The sequence of the item.
        pub seq: String,
        /// Position of the first output.
        pub position: Position,
        /// Activations after the engine's last layer, one for each input; empty on an error.
        pub outputs: Vec<u64>,
        /// The sampled token, if it was asked for.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub token: Option<Token>,
        /// Prompt positions whose KV state came from the prefix cache.
        #[serde(default)]
        pub cached: u32,
        /// Why the item did not run.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub error: Option<ItemError>,
    }

    /// Why an engine did not run an item. The state of the sequence is unchanged.
    #[derive(Eq, Copy)]
    #[serde(rename_all = "snake_case", tag = "kind")]
    pub enum ItemError {
        /// A later attempt has taken the sequence over.
        StaleEpoch,
        /// Positions before the item's are missing.
        PositionGap {
            /// Position that the engine expects next.
            expected: Position,
        },
        /// The position has run already in this epoch.
        PositionRepeat {
            /// Position that the engine expects next.
            expected: Position,
        },
        /// The engine does not hold the layer.
        LayerNotHeld,
        /// No memory is left for KV state.
        OutOfMemory,
        /// The sequence was cancelled.
        Cancelled,
        /// The engine failed at the item.
        Failed,
    }

    /// Body of `POST /v1/orders`.
    #[derive(Eq)]
    pub struct OrderRequest {
        /// Fencing number of the holder that gives the order.
        pub fence: Fence,
        /// What to do.
        pub order: Order,
    }

    /// An order to an engine.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case", tag = "kind")]
    pub enum Order {
        /// Load a range of layers of a model in a version.
        LoadModel {
            /// The model.
            model: ModelId,
            /// Version of the weights.
            version: String,
            /// First layer.
            first_layer: Layer,
            /// Layer after the last one.
            end_layer: Layer,
        },
        /// Load an adapter.
        LoadAdapter {
            /// Name of the adapter.
            adapter: String,
        },
        /// Stop serving and free all weights.
        Unload,
        /// Change role, for example from prefill to decode.
        ChangeRole {
            /// Name of the role.
            role: String,
        },
    }
}

impl EngineInfo {
    /// Whether the layer range is possible.
    ///
    /// # Errors
    /// A description of the first field that is impossible.
    pub fn check(&self) -> Result<(), String> {
        if self.first_layer >= self.end_layer || self.end_layer > self.total_layers {
            let (first, end, total) = (self.first_layer, self.end_layer, self.total_layers);
            return Err(format!(
                "layers {first}..{end} of {total}: not a range of the model"
            ));
        }
        if self.max_batch == 0 {
            return Err("max_batch 0: must be at least 1".to_owned());
        }
        Ok(())
    }
}

impl ForwardReply {
    /// Whether the reply has the right result for each item of `req`.
    ///
    /// # Errors
    /// A description of the first item whose result is missing or belongs to another item.
    pub fn check(&self, req: &ForwardRequest) -> Result<(), String> {
        if self.items.len() != req.items.len() {
            let (got, want) = (self.items.len(), req.items.len());
            return Err(format!("{got} results for {want} items"));
        }
        let mut pairs = req.items.iter().zip(&self.items).enumerate();
        pairs.try_for_each(|(i, (item, result))| {
            result.check(item).map_err(|e| format!("items[{i}]: {e}"))
        })
    }
}

impl ForwardResult {
    fn check(&self, item: &ForwardItem) -> Result<(), String> {
        if self.seq != item.seq || self.position != item.position {
            return Err("result of another item".to_owned());
        }
        if self.error.is_some() {
            return Ok(());
        }
        if self.outputs.len() != item.inputs.len() {
            let (got, want) = (self.outputs.len(), item.inputs.len());
            return Err(format!("{got} outputs for {want} inputs"));
        }
        if self.cached as usize > item.inputs.len() {
            let (got, most) = (self.cached, item.inputs.len());
            return Err(format!("cached {got}: must be at most {most}"));
        }
        if self.token.is_some() != item.sample {
            return Err("token missing or not asked for".to_owned());
        }
        Ok(())
    }
}

/// Failure of a call to an engine.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum EngineError {
    /// No connection was made, so nothing ran.
    #[snafu(display("cannot connect to the engine at {url}: {message}"))]
    Connect {
        /// Address of the engine.
        url: String,
        /// Text of the cause.
        message: String,
    },
    /// The call was sent and no valid answer came.
    #[snafu(display("no valid answer from the engine at {url}: {message}"))]
    Answer {
        /// Address of the engine.
        url: String,
        /// Text of the cause.
        message: String,
    },
    /// The engine refused the call.
    #[snafu(display("the engine at {url} answered status {status}: {message}"))]
    Refused {
        /// Address of the engine.
        url: String,
        /// HTTP status.
        status: u16,
        /// Start of the body.
        message: String,
    },
}

/// An engine as an agent uses it.
pub trait Engine {
    /// Runs items and waits until all have finished or failed.
    ///
    /// # Errors
    /// [`EngineError`] if the call failed as a whole; it is then unknown which items ran.
    fn forward(
        &self,
        req: ForwardRequest,
    ) -> LocalBoxFuture<'static, Result<ForwardReply, EngineError>>;

    /// Frees the state of a sequence.
    ///
    /// # Errors
    /// [`EngineError`] if the engine did not confirm.
    fn cancel(&self, seq: String) -> LocalBoxFuture<'static, Result<(), EngineError>>;

    /// What the engine holds.
    ///
    /// # Errors
    /// [`EngineError`] if there was no valid answer.
    fn info(&self) -> LocalBoxFuture<'static, Result<EngineInfo, EngineError>>;

    /// The latest load report.
    ///
    /// # Errors
    /// [`EngineError`] if there was no valid answer.
    fn load(&self) -> LocalBoxFuture<'static, Result<EngineLoad, EngineError>>;

    /// Passes an order on.
    ///
    /// # Errors
    /// [`EngineError`] if the engine refused it or did not answer.
    fn order(&self, req: OrderRequest) -> LocalBoxFuture<'static, Result<(), EngineError>>;

    /// The KV state of a sequence, in a format of the engine's own.
    ///
    /// # Errors
    /// [`EngineError`] if the engine does not hold the sequence, cannot export or did not answer.
    fn export_kv(&self, seq: String) -> LocalBoxFuture<'static, Result<Bytes, EngineError>> {
        let _ = seq;
        not_supported("KV export")
    }

    /// Gives the engine the KV state of a sequence that another engine has exported.
    ///
    /// # Errors
    /// [`EngineError`] if the engine cannot use the state or did not confirm.
    fn import_kv(
        &self,
        seq: String,
        kv: Bytes,
    ) -> LocalBoxFuture<'static, Result<(), EngineError>> {
        let _ = (seq, kv);
        not_supported("KV import")
    }

    /// Changes of the prefix cache with a number above `after`.
    ///
    /// # Errors
    /// [`EngineError`] if there was no valid answer.
    fn cache_events(
        &self,
        after: u64,
    ) -> LocalBoxFuture<'static, Result<CacheEvents, EngineError>> {
        let _ = after;
        not_supported("cache events")
    }
}

fn not_supported<T: 'static>(what: &str) -> LocalBoxFuture<'static, Result<T, EngineError>> {
    let message = format!("{what} is not supported");
    Box::pin(async move {
        Err(EngineError::Refused {
            url: String::new(),
            status: 501,
            message,
        })
    })
}
