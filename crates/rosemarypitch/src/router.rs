//! Runs a router on the operators' platform.

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

/// Time between looks at the settings file.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);

/// Runs a router until SIGTERM or SIGINT, or says what is wrong with its settings.
pub fn run(options: &RouterOptions) -> Result<(), Failure> {
    let path =
        options.settings.clone().or_else(|| std::env::var_os(PATH_VARIABLE).map(PathBuf::from));
    let path = path.ok_or_else(|| {
        Failure::Usage(format!("no settings file: give --settings or set {PATH_VARIABLE}"))
    })?;
    let mut boot = read(&path)?;
    if let Some(path) = &options.tuning {
        boot.router.pool = tuning(path)?;
    }
    if options.check {
        println!("{}: good; host {}", path.display(), boot.router.host);
        return Ok(());
    }
    logging::start_bounded(&options.log)?;
    log::info!("server: settings file={} {:?}", path.display(), boot);
    let directory = Arc::new(StoreClient::new(boot.store));
    let router = Arc::new(Router::new(boot.router, Arc::new(Wire), directory));
    serve::run(router.clone(), || stop(router, path))?;
    logging::flush();
    Ok(())
}

fn tuning(path: &Path) -> Result<PoolTuning, Failure> {
    let text = fs::read_to_string(path).map_err(|error| Failure::File(path.to_owned(), error))?;
    let wrong = |error: String| Failure::Usage(format!("{}: {error}", path.display()));
    let tuning: PoolTuning =
        serde_json::from_str(&text).map_err(|error| wrong(error.to_string()))?;
    tuning.check().map_err(|error| wrong(error.to_string()))?;
    Ok(tuning)
}

fn read(path: &Path) -> Result<Boot, Failure> {
    let text = fs::read_to_string(path).map_err(|error| Failure::File(path.to_owned(), error))?;
    Boot::parse(&text).map_err(|error| Failure::Usage(format!("{}: {error}", path.display())))
}

/// Waits for a signal to stop; takes changed settings in the meantime.
async fn stop(router: Arc<Router>, path: PathBuf) {
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    );
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) = signals else {
        log::error!("server: signals cannot be taken; only a kill ends this process");
        return std::future::pending().await;
    };
    let mut changed = modified(&path);
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = interrupt.recv() => return,
            _ = hangup.recv() => reload(&router, &path),
            // The file may change without a signal.
            () = tokio::time::sleep(SETTINGS_INTERVAL) => {
                let now = modified(&path);
                if now != changed {
                    changed = now;
                    reload(&router, &path);
                }
            }
        }
    }
}

fn modified(path: &Path) -> Option<SystemTime> {
    fs::metadata(path).and_then(|file| file.modified()).ok()
}

/// Takes what may change while the host runs; addresses need a start.
fn reload(router: &Router, path: &Path) {
    match read(path) {
        Ok(boot) => {
            let limits = boot.router.limits;
            let changed = router.set_limits(limits);
            log::info!("server: settings reloaded changed={changed} {limits:?}");
        }
        Err(error) => log::error!("server: settings not reloaded: {error}"),
    }
}
