//! The protocols of model engines and plain services.

pub mod engine;
pub mod oracle;

pub use engine::{
    Engine, EngineError, EngineInfo, EngineLoad, ForwardItem, ForwardReply, ForwardRequest,
    ForwardResult, ItemError,
};
