//! The `standin` command: runs a simulated engine, service or platform as a process.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rosemarypitch_standin::{
    Engine, EngineShape, MemoryStore, RecordingService, serve_engine, serve_recording_service,
    serve_store,
};
use tokio::net::TcpListener;
use tokio::runtime;

use crate::cli::StandinCommand;
use crate::failure::Failure;

/// Serves until the process is killed. The bound address is printed on the first line.
pub fn run(command: StandinCommand) -> Result<(), Failure> {
    let runtime = runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    runtime.block_on(async {
        match command {
            StandinCommand::Engine { listen, shape } => {
                let shape: EngineShape = serde_json::from_str(&shape)
                    .map_err(|error| Failure::Usage(format!("--shape: {error}")))?;
                serve_engine(bind_and_print(listen).await?, Engine::new(shape)).await?;
            }
            StandinCommand::Service { listen } => {
                serve_recording_service(
                    bind_and_print(listen).await?,
                    Arc::new(RecordingService::default()),
                )
                .await?;
            }
            StandinCommand::Platform { listen, list_lag_ms } => {
                let store = MemoryStore::new(Duration::from_millis(list_lag_ms));
                serve_store(bind_and_print(listen).await?, store).await?;
            }
        }
        Ok(())
    })
}

async fn bind_and_print(address: SocketAddr) -> Result<TcpListener, Failure> {
    let listener = TcpListener::bind(address).await?;
    let mut out = io::stdout().lock();
    writeln!(out, "{}", listener.local_addr()?)?;
    out.flush()?;
    Ok(listener)
}
