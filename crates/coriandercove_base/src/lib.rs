//! Identifiers, time, derives, telemetry, HTTP client, the budget of bytes and seeded randomness shared
//! by the crates of coriandercove.

pub mod body_buf;
pub mod byte_budget;
mod data;
mod fault;
pub mod hash;
#[cfg(feature = "http")]
pub mod http;
pub mod ids;
pub mod rng;
pub mod sorted;
pub mod telemetry;
pub mod time;
pub mod timer;

pub use ids::{
    AccountId, Attempt, ConfigVersion, Fence, Incarnation, Layer, ModelId, NodeId, Position,
    RequestId, TargetId, TicketId, Token, ZoneId,
};
pub use sorted::SortedMap;
pub use time::{Clock, ManualClock, MonotonicClock, Time};

#[doc(hidden)]
pub use serde as __serde;
