//! Detection of engines that crash under a request.
//!
//! Engines in trouble break single connections and still run, so a broken connection is
//! followed by a new one: only an engine that does not accept it has crashed.

use std::sync::{Arc, Mutex};

use tokio::task::JoinHandle;

use crate::call::Call;
use crate::client;
use crate::registry::Upstream;

/// Checks whether an engine has crashed under a request whose connection broke before the
/// answer began.
pub async fn check(call: &Call, engine: &Upstream) {
    if !client::is_down(engine.address).await {
        return;
    }
    log::info!(
        "call: engine crashed attempt={} engine={} incarnation={} parts={}",
        call.meta.attempt,
        engine.id,
        engine.incarnation,
        call.parts_text(),
    );
}

/// The check that was started when a stream broke, if any.
#[derive(Clone, Debug, Default)]
pub struct PendingCheck(Arc<Mutex<Option<JoinHandle<()>>>>);

impl PendingCheck {
    /// Starts [`check`] in the background.
    pub fn start(&self, call: &Arc<Call>, engine: &Arc<Upstream>) {
        let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
        let (call, engine) = (call.clone(), engine.clone());
        let task = runtime.spawn(async move { check(&call, &engine).await });
        *self.0.lock().unwrap_or_else(|error| error.into_inner()) = Some(task);
    }

    /// Waits for the check to end.
    pub async fn finish(&self) {
        let task = self.0.lock().unwrap_or_else(|error| error.into_inner()).take();
        if let Some(task) = task
            && let Err(error) = task.await
        {
            log::warn!("call: check of a crashed engine failed: {error}");
        }
    }
}
