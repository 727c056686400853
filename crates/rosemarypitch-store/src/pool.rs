//! Pool of HTTP connections that is given up when one of them does not answer.
//!
//! A fault of the network may leave all open connections silent while new ones are served. A call
//! that is tried again on another connection of the same pool would then time out again, once for
//! each connection that was open.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Client that keeps idle connections.
pub type PooledClient = Client<HttpConnector, Full<Bytes>>;

/// Pool of connections, replaced by an empty one when a call was not answered.
pub struct ConnectionPool {
    connect_timeout: Duration,
    idle_time: Duration,
    current: Mutex<Generation>,
}

/// The pool that is in use, and its number.
#[derive(Clone)]
pub struct Generation {
    /// Client for calls.
    pub client: PooledClient,
    number: u64,
}

impl ConnectionPool {
    /// A pool without connections; idle ones are closed after `idle_time`.
    pub fn new(connect_timeout: Duration, idle_time: Duration) -> Self {
        let client = new_client(connect_timeout, idle_time);
        let current = Mutex::new(Generation { client, number: 0 });
        Self { connect_timeout, idle_time, current }
    }

    /// The pool for the next call.
    pub fn current(&self) -> Generation {
        self.lock().clone()
    }

    /// Gives up the pool of a call that was not answered, unless that has been done. Calls that
    /// use its connections go on.
    pub fn give_up(&self, used: &Generation) {
        let mut current = self.lock();
        if current.number == used.number {
            let client = new_client(self.connect_timeout, self.idle_time);
            *current = Generation { client, number: used.number + 1 };
        }
    }

    fn lock(&self) -> MutexGuard<'_, Generation> {
        self.current.lock().unwrap_or_else(|error| error.into_inner())
    }
}

fn new_client(connect_timeout: Duration, idle_time: Duration) -> PooledClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(connect_timeout));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(idle_time)
        .pool_timer(TokioTimer::new())
        .retry_canceled_requests(false)
        .build(connector)
}
