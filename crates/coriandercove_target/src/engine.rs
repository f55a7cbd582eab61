//! The engine protocol: JSON over HTTP. Each target VM runs one engine, which holds a range of a
//! model's layers.

use bytes::Bytes;
use coriandercove_base::{Attempt, Fence, Layer, ModelId, Position, Token, data};
use futures_util::future::LocalBoxFuture;
use snafu::Snafu;

use crate::cache::CacheEvents;

data! {
    /// Model, layers and capacity of an engine; answer to `GET /v1/info`.
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
        /// Number of layers of the model; at least `end_layer`.
        pub total_layers: Layer,
        /// Kind of accelerator, such as `a10` or `l4`.
        pub accelerator: String,
        /// Maximum number of tokens whose KV state fits in memory.
        pub kv_capacity_tokens: u64,
        /// Maximum number of sequences in one iteration; at least 1.
        pub max_batch: u32,
        /// Whether the engine refuses an order whose fencing token is lower than the highest one
        /// that it has accepted.
        pub checks_fence: bool,
    }

    /// Load report; answer to `GET /v1/load`. It may lag behind the engine's state.
    #[derive(Default)]
    pub struct EngineLoad {
        /// Number of items that wait for an iteration.
        pub queued: u32,
        /// Number of sequences with KV state.
        pub sequences: u32,
        /// Number of tokens with KV state.
        pub kv_tokens: u64,
        /// Duration of a recent iteration, in microseconds.
        pub iteration_us: u64,
        /// Whether the engine is loading weights; it refuses forward calls until it has finished.
        #[serde(default)]
        pub loading: bool,
    }

    /// Items to run through the engine's layers; body of `POST /v1/forward`.
    #[derive(Eq)]
    pub struct ForwardRequest {
        /// Items to run; they may belong to different sequences.
        pub items: Vec<ForwardItem>,
    }

    /// Consecutive positions of one sequence to run through the engine's layers.
    #[derive(Eq)]
    pub struct ForwardItem {
        /// Id of the sequence: the id of its request, in hexadecimal.
        pub seq: String,
        /// Attempt that the item belongs to. An item of a higher epoch than the sequence's
        /// truncates the sequence to `position`.
        pub epoch: Attempt,
        /// Position of the first input in the sequence.
        pub position: Position,
        /// Layer at which the inputs enter; must be in the engine's range.
        pub first_layer: Layer,
        /// One value for each position: a token if `first_layer` is 0, otherwise the activation of
        /// the previous layer.
        pub inputs: Vec<u64>,
        /// Priority; items with lower values run first.
        pub priority: u8,
        /// Whether to sample a token after the last position. Only an engine that holds the model's
        /// last layer can do so.
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
        /// Id of the item's sequence.
        pub seq: String,
        /// Position of the first output in the sequence; equals the position of the item.
        pub position: Position,
        /// Activations after the engine's last layer, one for each input; empty if `error` is set.
        pub outputs: Vec<u64>,
        /// The sampled token; present exactly if the item asked for it and did not fail.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub token: Option<Token>,
        /// Number of the item's prompt positions whose KV state came from the prefix cache.
        #[serde(default)]
        pub cached: u32,
        /// Why the item did not run; none if it ran.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub error: Option<ItemError>,
    }

    /// Why an engine did not run an item. The state of the sequence is unchanged.
    #[derive(Eq, Copy)]
    #[serde(rename_all = "snake_case", tag = "kind")]
    pub enum ItemError {
        /// The sequence already belongs to an attempt with a higher epoch.
        StaleEpoch,
        /// The item starts after the position that the engine expects next.
        PositionGap {
            /// Position that the engine expects next.
            expected: Position,
        },
        /// The item's first position has already run in this epoch.
        PositionRepeat {
            /// Position that the engine expects next.
            expected: Position,
        },
        /// The engine does not hold the layer at which the inputs enter.
        LayerNotHeld,
        /// No memory is left for KV state.
        OutOfMemory,
        /// The sequence was cancelled.
        Cancelled,
        /// The engine failed while it ran the item.
        Failed,
    }

    /// An order with its fencing token; body of `POST /v1/orders`.
    #[derive(Eq)]
    pub struct OrderRequest {
        /// Fencing token of the lease holder that gives the order.
        pub fence: Fence,
        /// Operation that the engine is told to carry out.
        pub order: Order,
    }

    /// An administrative operation of an engine.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case", tag = "kind")]
    pub enum Order {
        /// Load a range of layers of one version of a model.
        LoadModel {
            /// Model to load.
            model: ModelId,
            /// Version of the weights.
            version: String,
            /// First layer to load.
            first_layer: Layer,
            /// Layer after the last one to load.
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
    /// Checks that the layer range is not empty and lies in the model, and that a batch holds at
    /// least one sequence.
    ///
    /// # Errors
    /// Describes the first check that failed.
    pub fn check(&self) -> Result<(), String> {
        if self.first_layer >= self.end_layer || self.end_layer > self.total_layers {
            let (first, end, total) = (self.first_layer, self.end_layer, self.total_layers);
            return Err(format!(
                "layers {first}..{end}: must be a range within the {total} layers of the model"
            ));
        }
        if self.max_batch == 0 {
            return Err("max_batch 0: must be at least 1".to_owned());
        }
        Ok(())
    }
}

impl ForwardReply {
    /// Checks that the reply has a matching result for each item of `req`, in the same order.
    ///
    /// # Errors
    /// Describes a wrong number of results, or the first result that does not match its item.
    pub fn check(&self, req: &ForwardRequest) -> Result<(), String> {
        if self.items.len() != req.items.len() {
            let (got, want) = (self.items.len(), req.items.len());
            return Err(format!(
                "{got} results: expected one for each of {want} items"
            ));
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
            return Err(format!(
                "result of sequence {:?} at position {}: expected {:?} at {}",
                self.seq, self.position, item.seq, item.position
            ));
        }
        if self.error.is_some() {
            return Ok(());
        }
        if self.outputs.len() != item.inputs.len() {
            let (got, want) = (self.outputs.len(), item.inputs.len());
            return Err(format!(
                "{got} outputs: expected one for each of {want} inputs"
            ));
        }
        if self.cached as usize > item.inputs.len() {
            let (got, max) = (self.cached, item.inputs.len());
            return Err(format!(
                "cached {got}: must be at most {max}, the number of inputs"
            ));
        }
        if self.token.is_some() != item.sample {
            return Err(format!(
                "token {:?}: expected one only if the item asks for it (sample: {})",
                self.token, item.sample
            ));
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
        /// Base URL of the engine.
        url: String,
        /// Cause, as the connection reported it.
        message: String,
    },
    /// The call may have reached the engine, but no valid answer came; it is unknown whether it
    /// ran.
    #[snafu(display("no valid answer from the engine at {url}: {message}"))]
    Answer {
        /// Base URL of the engine.
        url: String,
        /// Cause, as the connection or the decoder reported it.
        message: String,
    },
    /// The engine answered with a status that is no success.
    #[snafu(display("the engine at {url} answered status {status}: {message}"))]
    Refused {
        /// Base URL of the engine.
        url: String,
        /// HTTP status of the answer.
        status: u16,
        /// Start of the answer's body.
        message: String,
    },
}

/// Client interface of an engine.
pub trait Engine {
    /// Runs items through the engine's layers and waits until each has finished or failed.
    ///
    /// # Errors
    /// [`EngineError`] if the call failed as a whole; it is then unknown which items ran.
    fn forward(
        &self,
        req: ForwardRequest,
    ) -> LocalBoxFuture<'static, Result<ForwardReply, EngineError>>;

    /// Cancels a sequence and frees its state.
    ///
    /// # Errors
    /// [`EngineError`] if the engine did not confirm.
    fn cancel(&self, seq: String) -> LocalBoxFuture<'static, Result<(), EngineError>>;

    /// Requests the engine's model, layers and capacity.
    ///
    /// # Errors
    /// [`EngineError`] if there was no valid answer.
    fn info(&self) -> LocalBoxFuture<'static, Result<EngineInfo, EngineError>>;

    /// Requests the latest load report.
    ///
    /// # Errors
    /// [`EngineError`] if there was no valid answer.
    fn load(&self) -> LocalBoxFuture<'static, Result<EngineLoad, EngineError>>;

    /// Sends an order to the engine.
    ///
    /// # Errors
    /// [`EngineError`] if the engine refused it or did not answer.
    fn order(&self, req: OrderRequest) -> LocalBoxFuture<'static, Result<(), EngineError>>;

    /// Exports the KV state of a sequence, in the engine's own format. The default implementation
    /// refuses the call with status 501.
    ///
    /// # Errors
    /// [`EngineError`] if the engine does not hold the sequence, cannot export or did not answer.
    fn export_kv(&self, seq: String) -> LocalBoxFuture<'static, Result<Bytes, EngineError>> {
        let _ = seq;
        not_supported("KV export")
    }

    /// Imports the KV state of a sequence that another engine has exported. The default
    /// implementation refuses the call with status 501.
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

    /// Requests the changes of the prefix cache whose numbers are above `after`. The default
    /// implementation refuses the call with status 501.
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

/// Error of the default implementations, with status 501 (not implemented).
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
