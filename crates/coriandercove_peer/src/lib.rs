//! The protocol between the processes of a coriandercove deployment: frames over multiplexed TCP
//! links and single datagrams, both authenticated with the cluster key.

pub mod auth;
mod codec;
pub mod datagram;
pub mod frame;
mod handshake;
pub mod link;

pub use auth::ClusterKey;
pub use codec::{CodecError, MAX_BODY_BYTES, MAX_FRAME_BYTES};
pub use frame::{
    Activation, Call, CallOutcome, CallReply, Feed, Frame, Hop, OpenStage, StageFailure,
    StageFailureReason, StageProgress, TicketRequest, TokenFrame,
};
pub use link::{Address, LinkConfig, LinkHandler, Links, PeerInfo, Role, SendError};
