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
use rosemarypitch_peer::{Link, PeerServer, Peers, Traffic};
use rosemarypitch_store::HttpStore;
use rosemarypitch_upstream::{Client, HttpEngines, Services};
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
use crate::host::{Host, HostParts};
use crate::metrics::Metrics;
use crate::tls::{self, TlsError};

/// Time during which a stopping host still takes requests, until the balancer notices.
const NOTICE: Duration = Duration::from_secs(2);
/// Time between looks at what is still open.
const LOOK: Duration = Duration::from_millis(50);
/// Time between updates of the byte counts.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);
/// Largest operators' request, in bytes.
const ADMIN_BYTES: usize = 64 << 10;

/// A process that cannot start.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// A listener cannot be opened.
    #[error("listen for {part} on {address}: {error}")]
    Listen {
        /// Who would connect.
        part: &'static str,
        /// The address.
        address: SocketAddr,
        /// What went wrong.
        error: io::Error,
    },
    /// Certificates cannot be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// Threads cannot be started.
    #[error("start threads: {0}")]
    Threads(io::Error),
    /// The operators' interface cannot be started.
    #[error("operators' interface: {0}")]
    Admin(String),
    /// The control thread ended early.
    #[error("the control thread ended")]
    Control,
}

/// A running entry host.
pub struct ServerHandle {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Where peers connect.
    pub peers: SocketAddr,
    /// The host.
    pub host: Arc<Host>,
    stop: watch::Sender<bool>,
    done: oneshot::Receiver<Vec<String>>,
}

impl ServerHandle {
    /// Shuts down gracefully within the grace time; gives the requests that were cut.
    pub async fn stop(self, hurry: impl Future<Output = ()>) -> Vec<String> {
        let Self { host, stop, done, .. } = self;
        let begun = Instant::now();
        let grace = host.settings.grace;
        log::info!("server: stops, within {grace:?}");
        let work = async {
            let leave = host.leave();
            let notice = NOTICE.min(grace / 4);
            tokio::join!(leave, tokio::time::sleep(notice));
            stop.send_replace(true);
            while host.metrics.open_requests.get() > 0 {
                tokio::time::sleep(LOOK).await;
            }
            let connections = done.await.unwrap_or_default();
            host.cleanup.drained().await;
            connections
        };
        tokio::select! {
            _ = work => {}
            () = tokio::time::sleep_until(begun + grace) => log::warn!("server: grace is over"),
            () = hurry => log::warn!("server: told to hurry"),
        }
        let cut: Vec<String> = host.running.all().iter().map(ToString::to_string).collect();
        for attempt in &cut {
            log::warn!("server: cuts {attempt}");
        }
        log::info!("server: stopped after {:?}", begun.elapsed());
        cut
    }
}

/// Runs an entry host until `stop` comes; `hurry` ends the graceful shutdown.
///
/// The present runtime serves traffic; control state lives on a thread of its own.
pub async fn serve(
    settings: Settings,
    started: impl FnOnce(&ServerHandle),
    stop: impl Future<Output = ()>,
    hurry: impl Future<Output = ()>,
) -> Result<Vec<String>, ServeError> {
    let served = start(settings).await?;
    started(&served);
    stop.await;
    Ok(served.stop(hurry).await)
}

/// Starts an entry host.
pub async fn start(settings: Settings) -> Result<ServerHandle, ServeError> {
    let settings = Arc::new(settings);
    let acceptor = settings.callers.tls.as_ref().map(tls::server).transpose()?;
    let client = Client::new(tls::client(settings.upstream_ca.as_ref())?);
    let (callers, caller_address) = listen("callers", settings.callers.listen).await?;
    let (peers, peer_address) = listen("peers", settings.peers.listen).await?;
    let metrics = Arc::new(Metrics::new());
    let id = HostId { host: settings.host.clone(), incarnation: incarnation() };
    let traffic = Arc::new(Traffic::default());
    let link: Arc<dyn Link> =
        Arc::new(Peers::new(id.clone(), settings.peers.secret.clone(), traffic.clone()));
    let platform = &settings.platform;
    let store = HttpStore::new(
        platform.address,
        platform.timeout,
        platform.calls,
        metrics.store_calls.clone(),
    );
    let parts = HostParts {
        settings: settings.clone(),
        id: id.clone(),
        address: peer_address,
        store: Arc::new(store),
        link,
        engines: Arc::new(HttpEngines::new(client.clone())),
        services: Services::new(client),
        metrics: metrics.clone(),
        pool_rules: None,
    };
    let (stop, stopping) = watch::channel(false);
    let host = start_control(parts, peers, traffic).await?;
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

/// Which run of the host this is: the time of its start, in nanoseconds.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_nanos()).unwrap_or(u64::MAX)
}

/// Starts the control thread, which runs the host's actors and answers peers.
async fn start_control(
    parts: HostParts,
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
            let (id, secret) = (parts.id.clone(), parts.settings.peers.secret.clone());
            let host = Host::start(parts);
            let handler = Arc::new(HostHandler(host.clone()));
            let metrics = host.metrics.clone();
            let server = PeerServer { id, secret, traffic: traffic.clone(), handler };
            tokio::spawn(count_bytes(traffic, metrics));
            let _ = started.send(host);
            Arc::new(server).run(listener).await
        })
    };
    let thread = std::thread::Builder::new().name("control".to_owned());
    thread.spawn(run).map_err(ServeError::Threads)?;
    host.await.map_err(|_| ServeError::Control)
}

async fn count_bytes(traffic: Arc<Traffic>, metrics: Arc<Metrics>) {
    loop {
        let sent = traffic.sent.load(Ordering::Relaxed);
        let received = traffic.received.load(Ordering::Relaxed);
        metrics.peer_bytes.with_label_values(&["sent"]).set(sent as i64);
        metrics.peer_bytes.with_label_values(&["received"]).set(received as i64);
        tokio::time::sleep(COUNT_INTERVAL).await;
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
        default_request_body_max_bytes: ADMIN_BYTES,
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

/// Takes callers' connections.
struct CallerListener {
    host: Arc<Host>,
    listener: TcpListener,
    acceptor: Option<Arc<rustls::ServerConfig>>,
    stopping: watch::Receiver<bool>,
}

impl CallerListener {
    /// Takes connections until the host stops, and waits until the last is done.
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
                    tokio::time::sleep(LOOK).await;
                    continue;
                }
            };
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                log::warn!("callers: too many connections");
                continue;
            };
            let (host, acceptor, graceful) =
                (self.host.clone(), self.acceptor.clone(), graceful.clone());
            tokio::spawn(async move {
                connect(host, stream, acceptor, &graceful).await;
                drop(permit);
            });
        }
        drop(self.listener);
        // Tasks that still shake hands hold a clone; they end by their own time limit.
        match Arc::try_unwrap(graceful) {
            Ok(graceful) => graceful.shutdown().await,
            Err(shared) => wait_for_connections(shared).await,
        }
    }
}

async fn wait_for_connections(mut shared: Arc<GracefulShutdown>) {
    loop {
        tokio::time::sleep(LOOK).await;
        match Arc::try_unwrap(shared) {
            Ok(graceful) => return graceful.shutdown().await,
            Err(again) => shared = again,
        }
    }
}

async fn connect(
    host: Arc<Host>,
    stream: TcpStream,
    acceptor: Option<Arc<rustls::ServerConfig>>,
    graceful: &GracefulShutdown,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("callers: {error}");
    }
    let Some(config) = acceptor else { return serve_connection(host, stream, graceful).await };
    let limit = host.settings.bounds.head_time;
    let shaken = tokio::time::timeout(limit, TlsAcceptor::from(config).accept(stream)).await;
    match shaken {
        Ok(Ok(stream)) => serve_connection(host, stream, graceful).await,
        Ok(Err(error)) => log::debug!("callers: TLS: {error}"),
        Err(_) => log::debug!("callers: TLS took too long"),
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
