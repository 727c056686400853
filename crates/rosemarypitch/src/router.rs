//! The `router` command: runs a router on the operators' platform.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use rosemarypitch_forward::tuning::PoolTuning;
use rosemarypitch_forward::{Router, serve};
use rosemarypitch_platform::boot::{Boot, PATH_VARIABLE};
use rosemarypitch_platform::store::StoreClient;
use rosemarypitch_platform::wire::Wire;
use tokio::signal::unix::{SignalKind, signal};

use crate::cli::RouterOptions;
use crate::failure::Failure;
use crate::logging;

/// Interval between checks of the settings file for changes.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Runs a router until SIGTERM or SIGINT; with `--check`, only validates its settings.
pub fn run(options: &RouterOptions) -> Result<(), Failure> {
    let path =
        options.settings.clone().or_else(|| std::env::var_os(PATH_VARIABLE).map(PathBuf::from));
    let path = path.ok_or_else(|| {
        Failure::Usage(format!("no settings file: give --settings or set {PATH_VARIABLE}"))
    })?;
    let mut boot = read_settings(&path)?;
    if let Some(path) = &options.tuning {
        boot.router.pool = read_tuning(path)?;
    }
    if options.check {
        println!("{}: valid; host {}", path.display(), boot.router.host);
        return Ok(());
    }
    logging::start_nonblocking(&options.log)?;
    log::info!("server: settings file={} {:?}", path.display(), boot);
    let store = Arc::new(StoreClient::new(boot.store));
    let router = Arc::new(Router::new(boot.router, Arc::new(Wire), store));
    serve::run(router.clone(), || wait_for_stop(router, path))?;
    logging::flush();
    Ok(())
}

/// Reads and validates the queueing and placement settings.
fn read_tuning(path: &Path) -> Result<PoolTuning, Failure> {
    let text = fs::read_to_string(path).map_err(|error| Failure::File(path.to_owned(), error))?;
    let invalid = |error: String| Failure::Usage(format!("{}: {error}", path.display()));
    let tuning: PoolTuning =
        serde_json::from_str(&text).map_err(|error| invalid(error.to_string()))?;
    tuning.check().map_err(|error| invalid(error.to_string()))?;
    Ok(tuning)
}

fn read_settings(path: &Path) -> Result<Boot, Failure> {
    let text = fs::read_to_string(path).map_err(|error| Failure::File(path.to_owned(), error))?;
    Boot::parse(&text).map_err(|error| Failure::Usage(format!("{}: {error}", path.display())))
}

/// Waits for SIGTERM or SIGINT, and reloads the settings on SIGHUP or when their file changes.
async fn wait_for_stop(router: Arc<Router>, path: PathBuf) {
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    );
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) = signals else {
        log::error!("server: cannot install signal handlers; only SIGKILL stops this process");
        return std::future::pending().await;
    };
    let mut last_modified = modified_time(&path);
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = interrupt.recv() => return,
            _ = hangup.recv() => reload(&router, &path),
            // The platform may replace the file without sending SIGHUP.
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => {
                let now = modified_time(&path);
                if now != last_modified {
                    last_modified = now;
                    reload(&router, &path);
                }
            }
        }
    }
}

/// Modification time of a file, or `None` if it cannot be read.
fn modified_time(path: &Path) -> Option<SystemTime> {
    fs::metadata(path).and_then(|file| file.modified()).ok()
}

/// Applies the limits of changed settings; all other settings need a restart.
fn reload(router: &Router, path: &Path) {
    match read_settings(path) {
        Ok(boot) => {
            let limits = boot.router.limits;
            let changed = router.set_limits(limits);
            log::info!("server: settings reloaded changed={changed} {limits:?}");
        }
        Err(error) => log::error!("server: cannot reload settings: {error}"),
    }
}
