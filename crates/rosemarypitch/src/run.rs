//! The `serve` command, and commands that work without a running host.

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

/// Runs an entry host until SIGTERM or SIGINT; a second signal cuts the graceful shutdown short.
pub fn serve(options: &SettingsOptions) -> Result<(), Failure> {
    let settings = read_settings(options)?;
    logging::start(settings.log)?;
    let threads = settings.threads;
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut signals = StopSignals::new()?;
        let server = rosemarypitch_gateway::start(settings).await?;
        print_addresses(&server)?;
        signals.recv().await;
        let aborted = server.stop(async move { signals.recv().await }).await;
        if !aborted.is_empty() {
            log::warn!("server: aborted {} requests at shutdown", aborted.len());
        }
        Ok(())
    })
}

/// Validates a settings file and its overrides.
pub fn check(options: &SettingsOptions) -> Result<(), Failure> {
    let settings = read_settings(options)?;
    println!("{}: valid; host {}", options.file.display(), settings.host);
    Ok(())
}

/// Prints the OpenAPI document of the operators' interface.
pub fn openapi() -> Result<(), Failure> {
    let text = serde_json::to_string_pretty(&rosemarypitch_gateway::openapi());
    println!("{}", text.map_err(|error| Failure::System(error.to_string()))?);
    Ok(())
}

/// Prints the completion script of a shell.
pub fn completions(shell: Shell) {
    clap_complete::generate(shell, &mut Cli::command(), "rosemarypitch", &mut io::stdout());
}

fn read_settings(options: &SettingsOptions) -> Result<Settings, Failure> {
    let failed = |error| Failure::File(options.file.clone(), error);
    let text = fs::read_to_string(&options.file).map_err(failed)?;
    let invalid = |faults| Failure::Invalid(options.file.clone(), faults);
    Settings::parse(&text, &options.overrides).map_err(invalid)
}

/// Prints the bound addresses as one JSON line; port 0 in the settings lets the system choose.
fn print_addresses(server: &ServerHandle) -> Result<(), Failure> {
    let line = json!({
        "host": server.host.id.host,
        "callers": server.callers,
        "operators": server.operators,
        "peers": server.peers,
    });
    let mut out = io::stdout().lock();
    writeln!(out, "{line}")?;
    out.flush()?;
    Ok(())
}

/// Signals that start a graceful shutdown.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
