//! A loopback TCP proxy that delays, closes or stalls connections, in one or both directions.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Forwards both directions.
const PASS: u8 = 0;
/// Delays every read by 120 ms.
const DELAY: u8 = 1;
/// Closes the connection at the next read.
const RESET: u8 = 2;
/// Stalls both directions and keeps the connection open.
const STALL: u8 = 3;
/// Stalls only the direction from the target to the client.
const STALL_RESPONSES: u8 = 4;

/// A proxy in front of one listener.
pub struct Proxy {
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
}

impl Proxy {
    /// Starts a proxy that forwards to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let mode = Arc::new(AtomicU8::new(PASS));
        let shared = mode.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(relay(client, target, shared.clone()));
            }
        });
        Self { address, mode }
    }

    /// Sets a random mode for new and open connections.
    pub fn set_random_mode(&self, random: &mut StdRng) {
        self.mode.store(random.random_range(PASS..=STALL_RESPONSES), Ordering::Relaxed);
    }

    /// Forwards new and open connections again; a stalled direction stays stalled.
    pub fn clear_fault(&self) {
        self.mode.store(PASS, Ordering::Relaxed);
    }
}

/// Relays one connection until either direction ends.
async fn relay(client: TcpStream, target: SocketAddr, mode: Arc<AtomicU8>) {
    let Ok(server) = TcpStream::connect(target).await else { return };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::select! {
        () = copy(client_read, server_write, &mode, false) => {}
        () = copy(server_read, client_write, &mode, true) => {}
    }
}

/// Copies one direction of a connection under the current mode.
async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mode: &AtomicU8, is_response: bool) {
    let mut buffer = vec![0; 8192];
    while let Ok(count) = from.read(&mut buffer).await {
        match mode.load(Ordering::Relaxed) {
            DELAY => tokio::time::sleep(Duration::from_millis(120)).await,
            RESET => return,
            STALL => std::future::pending().await,
            STALL_RESPONSES if is_response => std::future::pending().await,
            _ => {}
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
