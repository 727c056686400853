//! One connection of a caller.
//!
//! hyper bounds the idle time and the time of a request head with a single timer, whose length
//! is fixed when the connection is accepted. Here both are bounded separately, by the
//! configuration that is in force when the time is over.
//!
//! When the host finishes its requests, a request that has arrived, or has begun to arrive, is
//! still served. Connections without one are closed.

use std::convert::Infallible;
use std::io;
use std::pin::{Pin, pin};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};
use std::time::Duration;

use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::time::Instant;

use crate::body;
use crate::call;
use crate::config::CallerBounds;
use crate::crowd::{Claim, Place};
use crate::relay::ResponseBody;
use crate::router::{Router, StopPhase};

/// Smallest read buffer that hyper accepts.
const MIN_HEADER_BYTES: usize = 8 << 10;
/// Time beyond the limits promised to callers, so that bytes in flight at their end are still
/// read.
const LIMIT_SLACK: Duration = Duration::from_millis(1_500);
/// Time in which a stopping host still reads the requests that have already been sent.
pub const FINAL_READ_TIME: Duration = Duration::from_millis(100);
/// Timeout for sending the refusal of a slow request head.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Refusal of a request whose head is too slow.
const SLOW_HEAD_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// A place for a new connection; none if all others are being served.
pub fn enter(router: &Router) -> Option<Place> {
    let place = router.crowd.enter(Instant::now(), router.settings.capacity.connections());
    let outcome = if place.is_some() { "accepted" } else { "refused" };
    router.metrics.count_connection(outcome);
    if place.is_none() {
        log::info!("server: connection refused open={}", router.crowd.count());
    }
    place
}

/// Serves the requests of one connection until it ends, or until it is closed for another one.
pub async fn serve<S>(router: Arc<Router>, stream: S, place: Place)
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let place = Arc::new(place);
    tokio::select! {
        biased;
        () = serve_requests(&router, stream, &place) => {}
        () = place.displaced() => {
            router.metrics.count_connection("displaced");
            log::info!("server: connection closed for another open={}", router.crowd.count());
        }
    }
}

async fn serve_requests<S>(router: &Arc<Router>, stream: S, place: &Arc<Place>)
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let monitor = Monitor::new();
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(bounds(router).header_bytes.max(MIN_HEADER_BYTES));
    let service =
        service_fn(|request| answer(router.clone(), monitor.clone(), place.clone(), request));
    let io = TokioIo::new(MonitoredStream { stream, monitor: monitor.clone() });
    let mut connection = builder.serve_connection(io, service);
    let mut finish = pin!(router.reached(StopPhase::Finishing));
    let mut finishing = None;
    let mut closing = None;
    let result = loop {
        let activity = monitor.activity();
        let end = match closing {
            Some(since) => Some(closing_limit(router, since)),
            None => limit(router, activity, finishing),
        };
        let mut change = monitor.change(activity);
        tokio::select! {
            // The connection comes first, so that bytes that have arrived are read.
            biased;
            result = &mut connection => break result,
            () = &mut change => {}
            () = sleep_until(end), if closing.is_some() => {
                router.metrics.count_connection("unread");
                log::info!("server: connection closed, its response stays unread");
                return;
            }
            () = sleep_until(end) => match limit(router, activity, finishing) {
                // The configuration has changed.
                Some(end) if end > Instant::now() => {}
                Some(_) if matches!(activity, Activity::Receiving(_)) => {
                    let io = connection.into_parts().io.into_inner();
                    return refuse_slow_head(io).await;
                }
                Some(_) if matches!(activity, Activity::Unread(_) | Activity::Closing(_)) => {
                    router.metrics.count_connection("unread");
                    log::info!("server: connection closed, its response stays unread");
                    return;
                }
                Some(_) | None => {
                    closing = Some(Instant::now());
                    Pin::new(&mut connection).graceful_shutdown();
                }
            },
            () = &mut finish, if finishing.is_none() => {
                finishing = Some(Instant::now());
            }
        }
    };
    if let Err(error) = result {
        log::debug!("server: connection ended: {error}");
    }
}

async fn answer(
    router: Arc<Router>,
    monitor: Monitor,
    place: Arc<Place>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    monitor.set(Activity::Serving);
    let leaving = router.is_stopping();
    let mut response = call::handle(router.clone(), request, || place.set(Claim::Serving)).await?;
    if leaving || router.is_stopping() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    let close = response.headers().get(header::CONNECTION).is_some_and(|value| value == "close");
    Ok(response.map(|body| body::with_guard(body, ServingGuard { monitor, place, close })))
}

/// Time at which the current activity of a connection has lasted too long.
///
/// `finishing` is when a stopping host began to finish its requests.
fn limit(router: &Router, activity: Activity, finishing: Option<Instant>) -> Option<Instant> {
    let bounds = bounds(router);
    match activity {
        Activity::Idle(start) => Some(match finishing {
            Some(finishing) => start.max(finishing) + FINAL_READ_TIME,
            None => start + bounds.idle_time + LIMIT_SLACK,
        }),
        Activity::Receiving(start) => Some(start + bounds.header_time + LIMIT_SLACK),
        Activity::Unread(start) => Some(start + bounds.idle_time + LIMIT_SLACK),
        Activity::Serving => None,
        Activity::Closing(since) => Some(closing_limit(router, since)),
    }
}

/// Time by which a connection that is closed since then must have sent its last response.
fn closing_limit(router: &Router, since: Instant) -> Instant {
    since + bounds(router).idle_time + LIMIT_SLACK
}

fn bounds(router: &Router) -> CallerBounds {
    router.config().map(|config| config.bounds).unwrap_or_default()
}

async fn sleep_until(end: Option<Instant>) {
    match end {
        Some(end) => tokio::time::sleep_until(end).await,
        None => std::future::pending().await,
    }
}

async fn refuse_slow_head(mut stream: impl AsyncWrite + Unpin) {
    let send = async {
        stream.write_all(SLOW_HEAD_RESPONSE).await?;
        stream.shutdown().await
    };
    let sent = match tokio::time::timeout(REFUSAL_TIMEOUT, send).await {
        Ok(Ok(())) => "sent".to_owned(),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "not sent in time".to_owned(),
    };
    log::info!("server: request head too slow status=408 refusal=\"{sent}\"");
}

/// What happens on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Activity {
    /// Nothing, since this time.
    Idle(Instant),
    /// The head of a request has been arriving since this time.
    Receiving(Instant),
    /// A request is being answered.
    Serving,
    /// The caller has read nothing of a response since this time, and no more can be sent.
    Unread(Instant),
    /// The last response has been sent; the rest of its request may still be arriving.
    Closing(Instant),
}

/// Current activity of a connection.
#[derive(Clone, Debug)]
struct Monitor(Arc<Mutex<Activity>>);

impl Monitor {
    fn new() -> Self {
        Self(Arc::new(Mutex::new(Activity::Idle(Instant::now()))))
    }

    fn activity(&self) -> Activity {
        *self.lock()
    }

    fn set(&self, activity: Activity) {
        *self.lock() = activity;
    }

    fn record_bytes(&self, bytes: &[u8]) {
        let mut activity = self.lock();
        // Empty lines before a request are ignored.
        let begins = || bytes.iter().any(|byte| !matches!(byte, b'\r' | b'\n'));
        if matches!(*activity, Activity::Idle(_)) && begins() {
            *activity = Activity::Receiving(Instant::now());
        }
    }

    /// Records whether a response can be sent on.
    fn record_write<T>(&self, result: Poll<T>) -> Poll<T> {
        let mut activity = self.lock();
        match (*activity, result.is_pending()) {
            (Activity::Serving, true) => *activity = Activity::Unread(Instant::now()),
            (Activity::Unread(_), false) => *activity = Activity::Serving,
            _ => {}
        }
        result
    }

    /// Completes once the activity is no longer `old`. It has to be polled after the connection,
    /// in the same task, since only the connection changes the activity.
    fn change(&self, old: Activity) -> impl Future<Output = ()> + Unpin + use<> {
        let monitor = self.clone();
        std::future::poll_fn(move |_| {
            if monitor.activity() == old { Poll::Pending } else { Poll::Ready(()) }
        })
    }

    fn lock(&self) -> MutexGuard<'_, Activity> {
        self.0.lock().unwrap_or_else(|error| error.into_inner())
    }
}

/// Marks a connection as idle or closing on drop.
struct ServingGuard {
    monitor: Monitor,
    place: Arc<Place>,
    /// Whether the response closes the connection.
    close: bool,
}

impl Drop for ServingGuard {
    fn drop(&mut self) {
        let now = Instant::now();
        self.place.set(Claim::Waiting(now));
        let idle = Activity::Idle(now);
        self.monitor.set(if self.close { Activity::Closing(now) } else { idle });
    }
}

/// A stream that records when bytes are received.
struct MonitoredStream<S> {
    stream: S,
    monitor: Monitor,
}

impl<S: AsyncRead + Unpin> AsyncRead for MonitoredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.monitor.record_bytes(&buffer.filled()[before..]);
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MonitoredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.monitor.record_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.monitor.record_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
