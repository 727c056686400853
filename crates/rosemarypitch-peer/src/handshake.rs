//! Mutual authentication of two hosts by a shared secret.
//!
//! Before HTTP/2 starts, each side sends a random nonce and the identity of its host run, and
//! then an HMAC over both nonces, its side of the connection and its identity.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use hmac::{Hmac, Mac};
use rand::TryRngCore;
use rand::rngs::OsRng;
use rosemarypitch_limit::HostId;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::codec;

/// Timeout for the whole handshake.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum length of a handshake message, in bytes.
const MAX_HANDSHAKE_BYTES: usize = 512;

/// First message of each side.
#[derive(Serialize, Deserialize)]
struct Hello {
    id: HostId,
    nonce: [u8; 16],
}

/// Second message of each side.
#[derive(Serialize, Deserialize)]
struct Proof {
    mac: Vec<u8>,
}

/// Side of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The host that opened the connection.
    Client,
    /// The host that accepted the connection.
    Server,
}

/// Runs the handshake and returns the peer's authenticated identity.
///
/// Fails if the peer has another secret or protocol version, or exceeds the timeout.
pub async fn authenticate<S>(
    stream: &mut S,
    side: Side,
    id: &HostId,
    secret: &[u8],
) -> io::Result<HostId>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let exchange = async {
        let mut nonce = [0; 16];
        OsRng.try_fill_bytes(&mut nonce).map_err(|error| io::Error::other(error.to_string()))?;
        let own = Hello { id: id.clone(), nonce };
        write(stream, &own).await?;
        let peer: Hello = read(stream).await?;
        let nonces = match side {
            Side::Client => [own.nonce, peer.nonce].concat(),
            Side::Server => [peer.nonce, own.nonce].concat(),
        };
        let proof = mac(secret, side, &nonces, id)?.finalize().into_bytes().to_vec();
        write(stream, &Proof { mac: proof }).await?;
        let claimed: Proof = read(stream).await?;
        let peer_side = if side == Side::Client { Side::Server } else { Side::Client };
        mac(secret, peer_side, &nonces, &peer.id)?
            .verify_slice(&claimed.mac)
            .map_err(|_| invalid("peer's MAC does not match"))?;
        Ok(peer.id)
    };
    let result = tokio::time::timeout(HANDSHAKE_TIMEOUT, exchange).await;
    result.unwrap_or_else(|_| Err(invalid("handshake timed out")))
}

fn mac(secret: &[u8], side: Side, nonces: &[u8], id: &HostId) -> io::Result<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).map_err(|_| invalid("invalid secret"))?;
    mac.update(if side == Side::Client { b"client" } else { b"server" });
    mac.update(nonces);
    mac.update(id.to_string().as_bytes());
    Ok(mac)
}

async fn write<S: AsyncWrite + Unpin>(stream: &mut S, message: &impl Serialize) -> io::Result<()> {
    let bytes = codec::encode(message).map_err(invalid)?;
    let length = u16::try_from(bytes.len()).map_err(|_| invalid("handshake message too long"))?;
    stream.write_all(&length.to_be_bytes()).await?;
    stream.write_all(&bytes).await
}

async fn read<S, T>(stream: &mut S) -> io::Result<T>
where
    S: AsyncRead + Unpin,
    T: serde::de::DeserializeOwned,
{
    let length = usize::from(stream.read_u16().await?);
    if length > MAX_HANDSHAKE_BYTES {
        return Err(invalid("handshake message too long"));
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    codec::decode(&bytes).map_err(invalid)
}

fn invalid(reason: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

/// Secret that all hosts of a deployment share.
pub type Secret = Arc<str>;
