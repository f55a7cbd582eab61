//! The protocol between coriandercove's own processes.

pub mod auth;
mod codec;
pub mod datagram;
pub mod frame;
mod handshake;
pub mod link;

pub use auth::ClusterKey;
pub use codec::{CodecError, MAX_FRAME_BYTES};
pub use frame::{
    Activation, Asked, Call, CallOutcome, CallReply, Feed, Frame, Hop, OpenStage, StageFailure,
    StageFailureReason, StageProgress, TokenFrame,
};
pub use link::{Address, LinkConfig, LinkHandler, Links, PeerInfo, Role, SendError};
