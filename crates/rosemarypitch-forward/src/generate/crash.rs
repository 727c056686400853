//! Detection of engines that crash under a request, and refusal of the requests that cause it.
//!
//! Engines in trouble break single connections and still run, so a broken connection is
//! followed by a new one: only an engine that refuses it has crashed.

use std::sync::{Arc, Mutex};

use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::call::Call;
use crate::client;
use crate::quarantine::CrashRecord;
use crate::refusal::{Cause, Refusal};
use crate::registry::Upstream;
use crate::router::Router;

/// Refuses a request with a prompt part that is held responsible for crashes.
pub fn refuse_culprit(router: &Router, call: &Call) -> Result<(), Refusal> {
    let now = Instant::now();
    let blocked = router.with_quarantine(|quarantine| quarantine.blocked(now, call.parts()));
    let Some(retry) = blocked else { return Ok(()) };
    log::info!(
        "call: prompt quarantined attempt={} parts={} left_s={}",
        call.meta.attempt,
        call.parts_text(),
        retry.as_secs(),
    );
    Err(Refusal::not_run(Cause::Quarantined).with_retry_after(retry))
}

/// Checks whether an engine has crashed under a request whose connection broke before the
/// answer began, and records it.
pub async fn check(router: &Router, call: &Call, engine: &Upstream) {
    if !client::is_refused(engine.address).await {
        return;
    }
    log::info!(
        "call: engine crashed attempt={} engine={} incarnation={} parts={}",
        call.meta.attempt,
        engine.id,
        engine.incarnation,
        call.parts_text(),
    );
    let record = CrashRecord {
        id: rand::random(),
        engine: engine.id.clone(),
        incarnation: engine.incarnation,
        parts: call.parts().to_vec(),
        age_ms: 0,
    };
    router.record_crash(Instant::now(), record);
}

/// The check that was started when a stream broke, if any.
#[derive(Clone, Debug, Default)]
pub struct PendingCheck(Arc<Mutex<Option<JoinHandle<()>>>>);

impl PendingCheck {
    /// Starts [`check`] in the background.
    pub fn start(&self, router: &Arc<Router>, call: &Arc<Call>, engine: &Arc<Upstream>) {
        let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
        let (router, call, engine) = (router.clone(), call.clone(), engine.clone());
        let task = runtime.spawn(async move { check(&router, &call, &engine).await });
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
