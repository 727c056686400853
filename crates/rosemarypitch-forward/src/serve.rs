//! Runs a router as a process: threads, listeners and graceful shutdown.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::runtime;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::announce;
use crate::connection::{self, FINAL_READ_TIME};
use crate::control;
use crate::gossip::Gossip;
use crate::router::{Router, StopPhase};
use crate::stop::StopTimes;
use crate::takeup;

/// Time during which a stopping host still accepts callers: two readiness probes of the load
/// balancer, one second apart, and some slack.
const DRAIN_NOTICE: Duration = Duration::from_millis(2_600);
/// Time between the refusal of the requests that have no response yet and the end of the grace
/// period.
const CUT_MARGIN: Duration = Duration::from_millis(700);
/// Time between the cut of the remaining streams and the end of the grace period, in which
/// callers are notified of the cut.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Time between checks for open connections, and after a failed accept.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time for a request to the readiness or metrics address.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a process could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A listener could not be opened.
    #[error("listen for {part} on {address}: {error}")]
    Listen {
        /// Purpose of the listener.
        part: &'static str,
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
    /// Threads could not be started.
    #[error("start threads: {0}")]
    Threads(#[from] io::Error),
}

/// Runs a router until the future of `stop` completes, then shuts it down gracefully.
pub fn run<F>(router: Arc<Router>, stop: impl FnOnce() -> F) -> Result<(), StartError>
where
    F: Future<Output = ()>,
{
    let traffic = runtime::Builder::new_multi_thread()
        .worker_threads(router.settings.threads.max(1))
        .thread_name("traffic")
        .enable_all()
        .build()?;
    let control = runtime::Builder::new_current_thread().enable_all().build()?;
    let open = Arc::new(AtomicUsize::new(0));
    let callers = control.block_on(listen("callers", router.settings.callers))?;
    traffic.spawn(accept(router.clone(), callers, open.clone()));
    let dispatcher = router.clone();
    traffic.spawn(async move { dispatcher.run_dispatch().await });
    control.block_on(async {
        let readiness = listen("readiness", router.settings.readiness).await?;
        let metrics = listen("metrics", router.settings.metrics).await?;
        tokio::spawn(serve_control(router.clone(), readiness, readiness_page));
        tokio::spawn(serve_control(router.clone(), metrics, metrics_page));
        let peers = listen("peers", router.settings.peers).await?;
        let gossip = Gossip::new(router.clone());
        let (secret, received) = oneshot::channel();
        tokio::spawn(control::follow(router.clone(), gossip.clone(), secret));
        tokio::spawn(announce::announce(router.clone()));
        tokio::spawn(takeup::keep_versions(router.clone()));
        tokio::spawn(takeup::record_streams(router.clone()));
        tokio::spawn(async move {
            if let Ok(secret) = received.await {
                gossip.run(peers, secret).await;
            }
        });
        log::info!(
            "server: started host={} zone={} callers={}",
            router.settings.host,
            router.settings.zone,
            router.settings.callers,
        );
        stop().await;
        shut_down(&router, &open).await;
        Ok(())
    })
}

/// Leaves the load balancer, then waits for open connections within the grace period.
pub async fn shut_down(router: &Router, open: &AtomicUsize) {
    let (start, grace) = (Instant::now(), router.limits().grace);
    let cut = start + grace.saturating_sub(CUT_MARGIN);
    let exit = start + grace.saturating_sub(EXIT_MARGIN);
    log::info!("server: stopping open={}", open.load(Ordering::Relaxed));
    router.stop_by(StopTimes { cut, exit });
    tokio::time::sleep(DRAIN_NOTICE.min(grace / 2)).await;
    router.stop_phase.send_replace(StopPhase::Finishing);
    // Connections that have not been accepted yet are not counted.
    tokio::time::sleep(FINAL_READ_TIME).await;
    wait_closed(open, cut).await;
    if open.load(Ordering::Relaxed) > 0 {
        router.stop_phase.send_replace(StopPhase::Cutting);
        // A short grace period may be over.
        let min_end = Instant::now() + POLL_INTERVAL;
        wait_closed(open, exit.max(min_end)).await;
    }
    router.open_calls.log_cut(Instant::now());
    log::info!(
        "server: stopped cut={} requests={}",
        open.load(Ordering::Relaxed),
        router.open_calls.count(),
    );
}

/// Waits until no connection is open, or until `end`.
async fn wait_closed(open: &AtomicUsize, end: Instant) {
    while open.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn listen(part: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let failed = |error| StartError::Listen { part, address, error };
    TcpListener::bind(address).await.map_err(failed)
}

/// Accepts callers until the host finishes its requests, and those that were waiting then;
/// `open` counts their connections.
pub async fn accept(router: Arc<Router>, listener: TcpListener, open: Arc<AtomicUsize>) {
    let mut end = pin!(async {
        router.reached(StopPhase::Finishing).await;
        tokio::time::sleep(FINAL_READ_TIME).await;
    });
    loop {
        let accepted = tokio::select! {
            accepted = async {
                router.crowd.room(router.settings.capacity.connections()).await;
                listener.accept().await
            } => accepted,
            () = &mut end => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let Some(place) = connection::enter(&router) else { continue };
                let (router, guard) = (router.clone(), ConnectionGuard::new(open.clone()));
                tokio::spawn(async move {
                    if let Err(error) = stream.set_nodelay(true) {
                        log::debug!("server: TCP_NODELAY not set: {error}");
                    }
                    connection::serve(router, stream, place).await;
                    drop(guard);
                });
            }
            Err(error) => {
                log::warn!("server: accept failed: {error}");
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }
}

type Page = fn(&Router) -> (StatusCode, String);

fn readiness_page(router: &Router) -> (StatusCode, String) {
    if router.is_ready() {
        return (StatusCode::OK, String::new());
    }
    (StatusCode::SERVICE_UNAVAILABLE, String::new())
}

fn metrics_page(router: &Router) -> (StatusCode, String) {
    router.metrics.set_gauge("body_bytes", router.bodies.used() as u64);
    router.metrics.set_gauge("bodies_arriving", router.bodies.arriving() as u64);
    router.metrics.set_gauge("caller_connections", router.crowd.count() as u64);
    (StatusCode::OK, router.metrics.text())
}

/// Answers every request to a listener with one page.
async fn serve_control(router: Arc<Router>, listener: TcpListener, page: Page) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(POLL_INTERVAL).await;
            continue;
        };
        let router = router.clone();
        tokio::spawn(async move {
            let service = service_fn(|_request| {
                let (status, text) = page(&router);
                let mut response = Response::new(Full::new(Bytes::from(text)));
                *response.status_mut() = status;
                async { Ok::<_, Infallible>(response) }
            });
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(CONTROL_TIMEOUT);
            if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
                log::debug!("server: control connection ended: {error}");
            }
        });
    }
}

/// Counts a connection as open until dropped.
struct ConnectionGuard(Arc<AtomicUsize>);

impl ConnectionGuard {
    fn new(open: Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(open)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
