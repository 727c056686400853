//! Runs an entry host as a process: threads, listeners and graceful shutdown.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dropshot::{ConfigDropshot, ConfigTls, ServerBuilder};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use rosemarypitch_config::{Listener, Settings};
use rosemarypitch_limit::HostId;
use rosemarypitch_peer::{PeerClient, PeerServer, PeerTransport, Traffic};
use rosemarypitch_store::HttpStore;
use rosemarypitch_upstream::{HttpClient, HttpEngineClient, ServiceClient};
use slog::Drain;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime;
use tokio::sync::{Semaphore, oneshot, watch};
use tokio::time::Instant;
use tokio_rustls::TlsAcceptor;

use crate::admin;
use crate::callers;
use crate::handler::HostHandler;
use crate::host::{Host, HostDeps};
use crate::metrics::Metrics;
use crate::tls::{self, TlsError};

/// How long a stopping host keeps accepting requests, so that the load balancer can detect
/// that it is not ready.
const LAME_DUCK_PERIOD: Duration = Duration::from_secs(2);
/// Interval at which shutdown polls for open requests and connections, and delay after a
/// failed accept.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the byte counts of the peer traffic are exported.
const TRAFFIC_EXPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Default maximum size of a request body on the operators' interface, in bytes.
const MAX_ADMIN_BODY: usize = 64 << 10;

/// Error that prevents the process from starting.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// A listener could not be opened.
    #[error("listen for {part} on {address}: {error}")]
    Listen {
        /// Which clients the listener is for, such as `callers`.
        part: &'static str,
        /// Address from the settings.
        address: SocketAddr,
        /// Cause.
        error: io::Error,
    },
    /// A certificate or key could not be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// The control thread or its runtime could not be started.
    #[error("start threads: {0}")]
    Threads(io::Error),
    /// The operators' interface could not be started.
    #[error("operators' interface: {0}")]
    Admin(String),
    /// The control thread ended before the host had started.
    #[error("the control thread ended")]
    Control,
}

/// Handle to a running entry host.
pub struct ServerHandle {
    /// Address at which callers connect.
    pub callers: SocketAddr,
    /// Address at which operators connect.
    pub operators: SocketAddr,
    /// Address at which peers connect.
    pub peers: SocketAddr,
    /// The running host.
    pub host: Arc<Host>,
    stop: watch::Sender<bool>,
    done: oneshot::Receiver<Vec<String>>,
}

impl ServerHandle {
    /// Shuts down gracefully within the grace period, or until `interrupt` completes.
    ///
    /// Returns the attempts that were still running and are aborted.
    pub async fn stop(self, interrupt: impl Future<Output = ()>) -> Vec<String> {
        let Self { host, stop, done, .. } = self;
        let started_at = Instant::now();
        let grace = host.settings.grace;
        log::info!("server: stopping, within {grace:?}");
        let shutdown = async {
            let leave = host.leave();
            let lame_duck = LAME_DUCK_PERIOD.min(grace / 4);
            tokio::join!(leave, tokio::time::sleep(lame_duck));
            stop.send_replace(true);
            while host.metrics.open_requests.get() > 0 {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            let connections = done.await.unwrap_or_default();
            host.cleanup.drained().await;
            connections
        };
        tokio::select! {
            _ = shutdown => {}
            () = tokio::time::sleep_until(started_at + grace) =>
                log::warn!("server: grace period is over"),
            () = interrupt => log::warn!("server: graceful shutdown was interrupted"),
        }
        let aborted: Vec<String> = host.running.all().iter().map(ToString::to_string).collect();
        for attempt in &aborted {
            log::warn!("server: aborting {attempt}");
        }
        log::info!("server: stopped after {:?}", started_at.elapsed());
        aborted
    }
}

/// Runs an entry host until `stop` completes; `interrupt` then ends the graceful shutdown.
///
/// The current runtime serves traffic; the actors run on the control thread.
pub async fn serve(
    settings: Settings,
    started: impl FnOnce(&ServerHandle),
    stop: impl Future<Output = ()>,
    interrupt: impl Future<Output = ()>,
) -> Result<Vec<String>, ServeError> {
    let handle = start(settings).await?;
    started(&handle);
    stop.await;
    Ok(handle.stop(interrupt).await)
}

/// Starts an entry host on the current runtime and returns its handle.
pub async fn start(settings: Settings) -> Result<ServerHandle, ServeError> {
    let settings = Arc::new(settings);
    let acceptor = settings.callers.tls.as_ref().map(tls::server_config).transpose()?;
    let client = HttpClient::new(tls::client_config(settings.upstream_ca.as_ref())?);
    let (callers, caller_address) = listen("callers", settings.callers.listen).await?;
    let (peers, peer_address) = listen("peers", settings.peers.listen).await?;
    let metrics = Arc::new(Metrics::new());
    let id = HostId { host: settings.host.clone(), incarnation: incarnation() };
    let traffic = Arc::new(Traffic::default());
    let transport: Arc<dyn PeerTransport> =
        Arc::new(PeerClient::new(id.clone(), settings.peers.secret.clone(), traffic.clone()));
    let platform = &settings.platform;
    let store = HttpStore::new(
        platform.address,
        platform.timeout,
        platform.calls,
        metrics.store_calls.clone(),
    );
    let deps = HostDeps {
        settings: settings.clone(),
        id: id.clone(),
        address: peer_address,
        store: Arc::new(store),
        transport,
        engines: Arc::new(HttpEngineClient::new(client.clone())),
        services: ServiceClient::new(client),
        metrics: metrics.clone(),
        pool_rules: None,
    };
    let (stop, stopping) = watch::channel(false);
    let host = start_control(deps, peers, traffic).await?;
    let operators = start_admin(&settings.operators, host.clone(), stopping.clone())?;
    let (finished, done) = oneshot::channel();
    let listener = CallerListener { host: host.clone(), listener: callers, acceptor, stopping };
    tokio::spawn(async move {
        listener.run().await;
        let _ = finished.send(Vec::new());
    });
    log::info!("server: {id} serves callers on {caller_address}, peers on {peer_address}");
    Ok(ServerHandle { callers: caller_address, operators, peers: peer_address, host, stop, done })
}

async fn listen(
    part: &'static str,
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), ServeError> {
    let failed = |error| ServeError::Listen { part, address, error };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    Ok((listener, address))
}

/// Returns the incarnation of this process: its start in Unix time, in nanoseconds.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_nanos()).unwrap_or(u64::MAX)
}

/// Starts the control thread, which runs the host's actors and the peer server.
async fn start_control(
    deps: HostDeps,
    listener: TcpListener,
    traffic: Arc<Traffic>,
) -> Result<Arc<Host>, ServeError> {
    let listener = listener.into_std().map_err(ServeError::Threads)?;
    let control =
        runtime::Builder::new_current_thread().enable_all().build().map_err(ServeError::Threads)?;
    let (started, host) = oneshot::channel();
    let run = move || {
        control.block_on(async move {
            let listener = TcpListener::from_std(listener)?;
            let (id, secret) = (deps.id.clone(), deps.settings.peers.secret.clone());
            let host = Host::start(deps);
            let handler = Arc::new(HostHandler(host.clone()));
            let metrics = host.metrics.clone();
            let server = PeerServer { id, secret, traffic: traffic.clone(), handler };
            tokio::spawn(export_traffic(traffic, metrics));
            let _ = started.send(host);
            Arc::new(server).run(listener).await
        })
    };
    let thread = std::thread::Builder::new().name("control".to_owned());
    thread.spawn(run).map_err(ServeError::Threads)?;
    host.await.map_err(|_| ServeError::Control)
}

async fn export_traffic(traffic: Arc<Traffic>, metrics: Arc<Metrics>) {
    loop {
        let sent = traffic.sent.load(Ordering::Relaxed);
        let received = traffic.received.load(Ordering::Relaxed);
        metrics.peer_bytes.with_label_values(&["sent"]).set(sent as i64);
        metrics.peer_bytes.with_label_values(&["received"]).set(received as i64);
        tokio::time::sleep(TRAFFIC_EXPORT_INTERVAL).await;
    }
}

fn start_admin(
    settings: &Listener,
    host: Arc<Host>,
    mut stopping: watch::Receiver<bool>,
) -> Result<SocketAddr, ServeError> {
    let log = slog::Logger::root(slog_stdlog::StdLog.fuse(), slog::o!());
    let config = ConfigDropshot {
        bind_address: settings.listen,
        default_request_body_max_bytes: MAX_ADMIN_BODY,
        ..ConfigDropshot::default()
    };
    let tls = settings.tls.as_ref().map(|files| ConfigTls::AsFile {
        cert_file: files.certificate.as_ref().into(),
        key_file: files.key.as_ref().into(),
    });
    let server = ServerBuilder::new(admin::api(), host, log)
        .config(config)
        .tls(tls)
        .start()
        .map_err(|error| ServeError::Admin(error.to_string()))?;
    let address = server.local_addr();
    tokio::spawn(async move {
        let _ = stopping.wait_for(|stop| *stop).await;
        if let Err(error) = server.close().await {
            log::warn!("server: operators' interface: {error}");
        }
    });
    Ok(address)
}

/// Accepts callers' connections.
struct CallerListener {
    host: Arc<Host>,
    listener: TcpListener,
    acceptor: Option<Arc<rustls::ServerConfig>>,
    stopping: watch::Receiver<bool>,
}

impl CallerListener {
    /// Accepts connections until the host stops, then waits until all have ended.
    async fn run(mut self) {
        let graceful = Arc::new(GracefulShutdown::new());
        let permits = Arc::new(Semaphore::new(self.host.settings.bounds.connections));
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = self.stopping.wait_for(|stop| *stop) => break,
            };
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("callers: accept: {error}");
                    tokio::time::sleep(POLL_INTERVAL).await;
                    continue;
                }
            };
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                log::warn!("callers: rejected a connection, too many are open");
                continue;
            };
            let (host, acceptor, graceful) =
                (self.host.clone(), self.acceptor.clone(), graceful.clone());
            tokio::spawn(async move {
                serve_stream(host, stream, acceptor, &graceful).await;
                drop(permit);
            });
        }
        drop(self.listener);
        // Tasks in a TLS handshake still hold a clone; the handshake has a timeout.
        match Arc::try_unwrap(graceful) {
            Ok(graceful) => graceful.shutdown().await,
            Err(shared) => wait_for_connections(shared).await,
        }
    }
}

async fn wait_for_connections(mut shared: Arc<GracefulShutdown>) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        match Arc::try_unwrap(shared) {
            Ok(graceful) => return graceful.shutdown().await,
            Err(still_shared) => shared = still_shared,
        }
    }
}

async fn serve_stream(
    host: Arc<Host>,
    stream: TcpStream,
    acceptor: Option<Arc<rustls::ServerConfig>>,
    graceful: &GracefulShutdown,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("callers: {error}");
    }
    let Some(config) = acceptor else { return serve_connection(host, stream, graceful).await };
    let timeout = host.settings.bounds.head_time;
    let handshake = tokio::time::timeout(timeout, TlsAcceptor::from(config).accept(stream)).await;
    match handshake {
        Ok(Ok(stream)) => serve_connection(host, stream, graceful).await,
        Ok(Err(error)) => log::debug!("callers: TLS handshake failed: {error}"),
        Err(_) => log::debug!("callers: TLS handshake timed out"),
    }
}

async fn serve_connection<S>(host: Arc<Host>, stream: S, graceful: &GracefulShutdown)
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let bounds = host.settings.bounds;
    let service = service_fn(move |request| callers::handle(host.clone(), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.head_time)
        .max_buf_size(bounds.head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = graceful.watch(connection).await {
        log::debug!("callers: connection ended: {error}");
    }
}
