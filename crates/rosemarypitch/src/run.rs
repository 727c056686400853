//! Runs an entry host, and what needs no running host.

use std::fs;
use std::io::{self, Write};

use clap::CommandFactory;
use clap_complete::Shell;
use rosemarypitch_config::Settings;
use rosemarypitch_gateway::ServerHandle;
use serde_json::json;
use tokio::runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::cli::{Cli, SettingsOptions};
use crate::failure::Failure;
use crate::logging;

/// Runs an entry host until SIGTERM or SIGINT; a second one ends the graceful shutdown.
pub fn serve(options: &SettingsOptions) -> Result<(), Failure> {
    let settings = read(options)?;
    logging::start(settings.log)?;
    let threads = settings.threads;
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut stops = Stops::new()?;
        let served = rosemarypitch_gateway::start(settings).await?;
        announce(&served)?;
        stops.next().await;
        let cut = served.stop(async move { stops.next().await }).await;
        if !cut.is_empty() {
            log::warn!("server: cut {} requests", cut.len());
        }
        Ok(())
    })
}

/// Says what is wrong with a settings file.
pub fn check(options: &SettingsOptions) -> Result<(), Failure> {
    let settings = read(options)?;
    println!("{}: good; host {}", options.file.display(), settings.host);
    Ok(())
}

/// Prints the OpenAPI document.
pub fn openapi() -> Result<(), Failure> {
    let text = serde_json::to_string_pretty(&rosemarypitch_gateway::openapi());
    println!("{}", text.map_err(|error| Failure::System(error.to_string()))?);
    Ok(())
}

/// Prints completions for a shell.
pub fn completions(shell: Shell) {
    clap_complete::generate(shell, &mut Cli::command(), "rosemarypitch", &mut io::stdout());
}

fn read(options: &SettingsOptions) -> Result<Settings, Failure> {
    let failed = |error| Failure::File(options.file.clone(), error);
    let text = fs::read_to_string(&options.file).map_err(failed)?;
    let invalid = |faults| Failure::Invalid(options.file.clone(), faults);
    Settings::parse(&text, &options.overrides).map_err(invalid)
}

/// Prints the addresses as one JSON line, since ports may have been chosen freely.
fn announce(served: &ServerHandle) -> Result<(), Failure> {
    let line = json!({
        "host": served.host.id.host,
        "callers": served.callers,
        "operators": served.operators,
        "peers": served.peers,
    });
    let mut out = io::stdout().lock();
    writeln!(out, "{line}")?;
    out.flush()?;
    Ok(())
}

/// Signals that ask the process to stop.
struct Stops {
    terminate: Signal,
    interrupt: Signal,
}

impl Stops {
    fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
