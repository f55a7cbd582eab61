//! Mutual authentication at the start of a connection.
//!
//! Both sides prove that they hold the cluster key by a code over both greetings, whose nonces
//! are fresh. The session keys of both directions depend on the same greetings.

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

/// Version of the protocol. Both sides must speak the same.
const PROTOCOL: u16 = 1;
/// Largest greeting in bytes.
const MAX_GREETING_BYTES: usize = 1024;
/// Time for the whole handshake.
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

/// A handshake that failed.
#[derive(Debug, Snafu)]
pub enum HandshakeError {
    /// The connection failed.
    #[snafu(display("connection failed during the handshake: {source}"))]
    Io {
        /// Cause.
        source: std::io::Error,
    },
    /// A message could not be decoded.
    #[snafu(display("malformed handshake: {source}"))]
    Decode {
        /// Cause.
        source: postcard::Error,
    },
    /// A message is larger than allowed.
    #[snafu(display(
        "handshake message of {length} bytes; at most {MAX_GREETING_BYTES} are allowed"
    ))]
    GreetingTooLarge {
        /// Bytes announced.
        length: usize,
    },
    /// The other side speaks another version.
    #[snafu(display("peer speaks protocol {theirs}; this process speaks {PROTOCOL}"))]
    Protocol {
        /// Version of the other side.
        theirs: u16,
    },
    /// The other side does not hold the cluster key.
    #[snafu(display("peer failed to prove the cluster key"))]
    WrongKey,
    /// The operating system gave no random bytes.
    #[snafu(display("no random bytes from the operating system"))]
    Randomness,
    /// The handshake took too long.
    #[snafu(display("handshake took more than {HANDSHAKE_TIMEOUT:?}"))]
    Timeout,
}

/// Outcome of a handshake.
pub struct Session {
    pub peer: PeerInfo,
    pub sealer: Sealer,
    pub opener: Opener,
}

/// Runs the handshake; `dialled` says whether this side opened the connection.
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
    // A predictable nonce would let a recorded proof be used again.
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
    ensure!(
        length <= MAX_GREETING_BYTES,
        GreetingTooLargeSnafu { length }
    );
    let mut message = vec![0; length];
    stream.read_exact(&mut message).await.context(IoSnafu)?;
    Ok(message)
}
