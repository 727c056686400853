//! A loopback proxy that delays, resets, silences or cuts connections one way.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

const PASS: u8 = 0;
const DELAY: u8 = 1;
const RESET: u8 = 2;
const SILENCE: u8 = 3;
const ONE_WAY: u8 = 4;

/// A proxy before one listener.
pub struct Proxy {
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
}

impl Proxy {
    pub async fn before(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let mode = Arc::new(AtomicU8::new(PASS));
        let shared = mode.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(join(near, target, shared.clone()));
            }
        });
        Self { address, mode }
    }

    /// Changes what happens to connections, open ones included.
    pub fn disturb(&self, random: &mut StdRng) {
        self.mode.store(random.random_range(PASS..=ONE_WAY), Ordering::Relaxed);
    }

    pub fn calm(&self) {
        self.mode.store(PASS, Ordering::Relaxed);
    }
}

async fn join(near: TcpStream, target: SocketAddr, mode: Arc<AtomicU8>) {
    let Ok(far) = TcpStream::connect(target).await else { return };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::select! {
        () = copy(near_read, far_write, &mode, false) => {}
        () = copy(far_read, near_write, &mode, true) => {}
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mode: &AtomicU8, answers: bool) {
    let mut bytes = vec![0; 8192];
    while let Ok(count) = from.read(&mut bytes).await {
        match mode.load(Ordering::Relaxed) {
            DELAY => tokio::time::sleep(Duration::from_millis(120)).await,
            RESET => return,
            SILENCE => std::future::pending().await,
            ONE_WAY if answers => std::future::pending().await,
            _ => {}
        }
        if count == 0 || to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}
