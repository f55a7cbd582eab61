//! The router: requests in, an answer or an honest refusal out.
//!
//! Decisions are pure. [`path`] chooses the targets that a model request passes through, [`layout`]
//! divides the model's layers among the targets, [`admit`] decides what is refused on arrival, and
//! [`attempt`] decides what follows a failure. Time, randomness and observations come in from
//! outside.
//!
//! The runtime around them serves callers ([`front`]), sends attempts ([`upstream`]), forwards
//! streams ([`relay`]), follows the platform's objects ([`sync`]), exchanges load with the other
//! entries ([`peers`]) and gives orders to targets ([`placer`]). What callers, targets and the
//! platform speak is behind the traits of [`protocol`].

pub mod admit;
pub mod attempt;
pub mod budget;
pub mod events;
pub mod fleet;
pub mod front;
pub mod heard;
pub mod layout;
pub mod load;
pub mod path;
pub mod peers;
pub mod placer;
pub mod process;
pub mod protocol;
pub mod proxy;
pub mod pulse;
pub mod relay;
pub mod routes;
pub mod settings;
pub mod sse;
pub mod state;
pub mod suspects;
pub mod sync;
pub mod upstream;
