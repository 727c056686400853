//! Proof that both ends of a connection know the fleet's secret.
//!
//! Before h2 starts, each end sends a random nonce and its host run, and then a MAC over
//! both nonces, its own role and its own identity.

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

/// Longest handshake.
pub const HANDSHAKE_TIME: Duration = Duration::from_secs(2);
/// Longest handshake message, in bytes.
const MAX_HELLO_BYTES: usize = 512;

#[derive(Serialize, Deserialize)]
struct Hello {
    id: HostId,
    nonce: [u8; 16],
}

#[derive(Serialize, Deserialize)]
struct Proof {
    mac: Vec<u8>,
}

/// Which end of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The one that opened it.
    Client,
    /// The one that took it.
    Server,
}

/// Proves both ends and gives the peer's identity.
pub async fn prove<S>(stream: &mut S, end: End, id: &HostId, secret: &[u8]) -> io::Result<HostId>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let exchange = async {
        let mut nonce = [0; 16];
        OsRng.try_fill_bytes(&mut nonce).map_err(|error| io::Error::other(error.to_string()))?;
        let own = Hello { id: id.clone(), nonce };
        write(stream, &own).await?;
        let peer: Hello = read(stream).await?;
        let nonces = match end {
            End::Client => [own.nonce, peer.nonce].concat(),
            End::Server => [peer.nonce, own.nonce].concat(),
        };
        let proof = mac(secret, end, &nonces, id)?.finalize().into_bytes().to_vec();
        write(stream, &Proof { mac: proof }).await?;
        let claimed: Proof = read(stream).await?;
        let other = if end == End::Client { End::Server } else { End::Client };
        mac(secret, other, &nonces, &peer.id)?
            .verify_slice(&claimed.mac)
            .map_err(|_| invalid("wrong proof"))?;
        Ok(peer.id)
    };
    let result = tokio::time::timeout(HANDSHAKE_TIME, exchange).await;
    result.unwrap_or_else(|_| Err(invalid("handshake took too long")))
}

fn mac(secret: &[u8], end: End, nonces: &[u8], id: &HostId) -> io::Result<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).map_err(|_| invalid("bad secret"))?;
    mac.update(if end == End::Client { b"client" } else { b"server" });
    mac.update(nonces);
    mac.update(id.to_string().as_bytes());
    Ok(mac)
}

async fn write<S: AsyncWrite + Unpin>(stream: &mut S, message: &impl Serialize) -> io::Result<()> {
    let bytes = codec::encode(message).map_err(invalid)?;
    let length = u16::try_from(bytes.len()).map_err(|_| invalid("long message"))?;
    stream.write_all(&length.to_be_bytes()).await?;
    stream.write_all(&bytes).await
}

async fn read<S, T>(stream: &mut S) -> io::Result<T>
where
    S: AsyncRead + Unpin,
    T: serde::de::DeserializeOwned,
{
    let length = usize::from(stream.read_u16().await?);
    if length > MAX_HELLO_BYTES {
        return Err(invalid("long message"));
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    codec::decode(&bytes).map_err(invalid)
}

fn invalid(reason: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

/// The fleet's secret, shared by all connections.
pub type Secret = Arc<str>;
