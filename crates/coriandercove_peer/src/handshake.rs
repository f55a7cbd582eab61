//! Mutual authentication at the start of a connection.
//!
//! Each side sends a greeting with a fresh nonce, then a proof: a MAC over both greetings with the
//! cluster key. The session keys of both directions are derived from the same greetings.

use std::time::Duration;

use bytes::BytesMut;
use coriandercove_base::data;
use rand::TryRngCore;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::auth::{ClusterKey, Mac};
use crate::codec::{Opener, Sealer};
use crate::link::PeerInfo;

/// Version of the protocol. Both sides must use the same version.
const PROTOCOL: u16 = 1;
/// Largest handshake message, greeting or proof, in bytes.
const MAX_MESSAGE_BYTES: usize = 1024;
/// Timeout of the whole handshake.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

data! {
    struct Greeting {
        protocol: u16,
        peer: PeerInfo,
        nonce: [u8; 32],
    }

    struct Proof {
        mac: Mac,
    }
}

/// Why a handshake failed.
#[derive(Debug, Snafu)]
pub enum HandshakeError {
    /// The connection failed.
    #[snafu(display("connection failed during the handshake: {source}"))]
    Io {
        /// Error of the connection.
        source: std::io::Error,
    },
    /// A message could not be decoded or encoded.
    #[snafu(display("malformed handshake: {source}"))]
    Decode {
        /// Error of the decoder or encoder.
        source: postcard::Error,
    },
    /// A message is larger than allowed.
    #[snafu(display(
        "handshake message of {length} bytes; at most {MAX_MESSAGE_BYTES} are allowed"
    ))]
    MessageTooLarge {
        /// Bytes that the length prefix announces.
        length: usize,
    },
    /// The peer uses another version of the protocol.
    #[snafu(display("peer uses protocol version {theirs}; this process requires {PROTOCOL}"))]
    Protocol {
        /// Version that the peer uses.
        theirs: u16,
    },
    /// The peer does not hold the cluster key.
    #[snafu(display("peer does not hold the cluster key: its proof is wrong"))]
    WrongKey,
    /// The operating system provided no random bytes for the nonce.
    #[snafu(display("the operating system provided no random bytes for the nonce"))]
    Randomness,
    /// The handshake was not complete within [`HANDSHAKE_TIMEOUT`].
    #[snafu(display("handshake took more than {HANDSHAKE_TIMEOUT:?}"))]
    Timeout,
}

/// An authenticated connection: the peer, and the codecs with the session keys of both directions.
pub struct Session {
    pub peer: PeerInfo,
    pub sealer: Sealer,
    pub opener: Opener,
}

/// Runs the handshake. `dialled` is true on the side that opened the connection; it fixes the order
/// of the greetings in the MAC and keeps the proofs of both sides different.
pub async fn run(
    stream: &mut TcpStream,
    own: &PeerInfo,
    key: &ClusterKey,
    dialled: bool,
) -> Result<Session, HandshakeError> {
    let exchange = exchange(stream, own, key, dialled);
    tokio::time::timeout(HANDSHAKE_TIMEOUT, exchange)
        .await
        .ok()
        .context(TimeoutSnafu)?
}

async fn exchange(
    stream: &mut TcpStream,
    own: &PeerInfo,
    key: &ClusterKey,
    dialled: bool,
) -> Result<Session, HandshakeError> {
    let mut nonce = [0; 32];
    // A predictable nonce would let a recorded proof be replayed.
    rand::rngs::OsRng
        .try_fill_bytes(&mut nonce)
        .ok()
        .context(RandomnessSnafu)?;
    let greeting = Greeting {
        protocol: PROTOCOL,
        peer: own.clone(),
        nonce,
    };
    let ours = postcard::to_stdvec(&greeting).context(DecodeSnafu)?;
    write(stream, &ours).await?;
    let theirs = read(stream).await?;
    let greeting: Greeting = postcard::from_bytes(&theirs).context(DecodeSnafu)?;
    ensure!(
        greeting.protocol == PROTOCOL,
        ProtocolSnafu {
            theirs: greeting.protocol
        }
    );
    let (first, second) = if dialled {
        (&ours, &theirs)
    } else {
        (&theirs, &ours)
    };
    // Padded to the length of the other label, because both must have the same type.
    let label = |dialler: bool| if dialler { b"dialler" } else { b"accept_" };
    let proof = Proof {
        mac: key.mac(&[label(dialled), first, second]),
    };
    write(stream, &postcard::to_stdvec(&proof).context(DecodeSnafu)?).await?;
    let proof: Proof = postcard::from_bytes(&read(stream).await?).context(DecodeSnafu)?;
    ensure!(
        key.verify(&[label(!dialled), first, second], &proof.mac),
        WrongKeySnafu
    );
    let session_key = |dialler: bool| key.derive(&[b"session", label(dialler), first, second]);
    Ok(Session {
        peer: greeting.peer,
        sealer: Sealer::new(session_key(dialled)),
        opener: Opener::new(session_key(!dialled)),
    })
}

async fn write(stream: &mut TcpStream, message: &[u8]) -> Result<(), HandshakeError> {
    let mut buf = BytesMut::with_capacity(2 + message.len());
    buf.extend_from_slice(&(message.len() as u16).to_le_bytes());
    buf.extend_from_slice(message);
    stream.write_all(&buf).await.context(IoSnafu)
}

async fn read(stream: &mut TcpStream) -> Result<Vec<u8>, HandshakeError> {
    let length = usize::from(stream.read_u16_le().await.context(IoSnafu)?);
    ensure!(length <= MAX_MESSAGE_BYTES, MessageTooLargeSnafu { length });
    let mut message = vec![0; length];
    stream.read_exact(&mut message).await.context(IoSnafu)?;
    Ok(message)
}
