//! Memory taken by response bodies that are being buffered.

// Clippy exempts test functions from this lint, but not their helpers.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use rosemarypitch_forward::client;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::Barrier;
use tokio::task::JoinSet;

/// Number of bodies that grow in step.
const BODIES: usize = 7;
/// Size of a part of a body, in bytes.
const PART_BYTES: usize = 64 << 10;
/// Number of parts that are sent of each body; together they stay within the total.
const PARTS: usize = 34;
/// Memory that they may take, in kB: a quarter more than what is sent.
const MAX_GROWTH_KB: usize = (5 * BODIES * PARTS * PART_BYTES / 4) >> 10;

fn memory_kb(name: &str) -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with(name)).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Starts a server that sends parts of a body, each when `bodies` have got the last one, and
/// then closes the connection.
async fn start(bodies: usize, parts: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let barrier = Arc::new(Barrier::new(bodies));
        while let Ok((mut stream, _)) = listener.accept().await {
            let barrier = barrier.clone();
            tokio::spawn(async move {
                let _ = stream.read(&mut [0; 1024]).await.unwrap();
                let head = "HTTP/1.1 200 OK\r\ncontent-length: 4194304\r\n\r\n";
                stream.write_all(head.as_bytes()).await.unwrap();
                for _ in 0..parts {
                    barrier.wait().await;
                    stream.write_all(&[b'x'; PART_BYTES]).await.unwrap();
                }
            });
        }
    });
    address
}

fn request() -> Request<Bytes> {
    Request::get("/").body(Bytes::new()).unwrap()
}

#[tokio::test]
async fn growing_bodies_do_not_take_a_multiple_of_their_size() {
    // The allocator reuses memory of this size once it has been freed.
    let whole = client::send_buffered(start(1, 64).await, request()).await;
    assert_eq!(whole.unwrap().body(), &vec![b'x'; 64 * PART_BYTES]);
    let address = start(BODIES, PARTS).await;
    let before = memory_kb("VmRSS");
    let mut calls = JoinSet::new();
    for _ in 0..BODIES {
        calls.spawn(client::send_buffered(address, request()));
    }
    for response in calls.join_all().await {
        assert_eq!(response.unwrap_err().step, client::SendStep::Body);
    }
    let growth = memory_kb("VmHWM").saturating_sub(before);
    assert!(growth < MAX_GROWTH_KB, "{growth} kB, allowed {MAX_GROWTH_KB} kB");
}
