//! Protocols and HTTP clients of the two kinds of targets: model engines and plain services.
//!
//! [`engine`] and [`cache`] define the messages of the engine protocol, and [`decode`] decodes and
//! checks an engine's answers. [`service`] defines the calls to plain services. [`HttpEngine`] and
//! [`HttpService`] are the clients. [`oracle`] computes the expected answers of the stand-in model.

pub mod cache;
pub mod decode;
pub mod engine;
mod http_engine;
mod http_service;
pub mod oracle;
pub mod service;

pub use cache::{
    CACHE_BLOCK, CacheChange, CacheEvent, CacheEvents, next_prefix_hash, prefix_hashes,
};
pub use engine::{
    Engine, EngineError, EngineInfo, EngineLoad, ForwardItem, ForwardReply, ForwardRequest,
    ForwardResult, ItemError, Order, OrderRequest,
};
pub use http_engine::HttpEngine;
pub use http_service::HttpService;
pub use service::{Service, ServiceAnswer, ServiceCall, ServiceError};
