//! A router in a child process, which is killed when the value is dropped.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use super::{ALLOWANCE, OVERRUN, WINDOW};

/// A router process with its settings file.
pub struct Process {
    child: Option<Child>,
    settings: PathBuf,
    /// Settings that never change.
    base_settings: String,
    pub callers: SocketAddr,
}

impl Process {
    /// Starts a router whose store is at `store`; settings and log are files in `folder`.
    pub fn new(name: &str, store: SocketAddr, folder: &Path) -> Self {
        let callers = free_ports(1);
        let (readiness, internal) = (free_ports(1), free_ports(2));
        let base_settings = format!(
            "nodeName={name}\nip=127.0.0.1\nzone=howrah\nlisten.frontend=127.0.0.1:{callers}\n\
             listen.readiness=127.0.0.1:{readiness}\ninternalPorts={internal},{}\n\
             limits.cores=1\nbounds.graceS=4\n\
             bounds.drainMs=2000\nbounds.configApplyMs=2000\n\
             bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.retryAllowance=56\n\
             bounds.quotaWindowS={}\nbounds.quotaOverrun={OVERRUN}\n\
             bounds.quotaAllowance={ALLOWANCE}\nplatform.address={store}\n",
            internal + 1,
            WINDOW.as_secs(),
        );
        let settings = folder.join(format!("{name}.conf"));
        let callers = SocketAddr::from((Ipv4Addr::LOCALHOST, callers));
        let mut process = Self { child: None, settings, base_settings, callers };
        // Set only for the first start of the whole system: token buckets then start full.
        process.write_settings("bootstrapEnabled=true\n");
        process.start();
        process
    }

    /// Rewrites the settings file with `extra` lines at its end.
    pub fn write_settings(&self, extra: &str) {
        std::fs::write(&self.settings, format!("{}{extra}", self.base_settings)).unwrap();
    }

    /// Starts the process; its log is appended to the log of earlier starts.
    pub fn start(&mut self) {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))
            .unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_rosemarypitch"))
            .args(["router", "--settings"])
            .arg(&self.settings)
            .stdout(Stdio::from(log))
            .spawn();
        self.child = Some(child.unwrap());
    }

    /// Identifier of the process; 0 while it does not run.
    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal, such as `-KILL`.
    pub fn signal(&self, name: &str) {
        if self.child.is_none() {
            return;
        }
        let sent = Command::new("kill").args([name, &self.id().to_string()]).status();
        assert!(sent.is_ok_and(|status| status.success()), "signal {name}");
    }

    /// Waits until the process has exited.
    pub async fn wait(&mut self) {
        let Some(mut child) = self.child.take() else { return };
        while child.try_wait().unwrap().is_none() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Whether the process has exited without [`Process::wait`].
    pub fn has_exited(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| child.try_wait().unwrap().is_some())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Offset of the next port to try.
///
/// The ports lie below the ephemeral range of the system. Another listener could get an
/// ephemeral port between the check here and the start of the process.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns the first of `count` consecutive free ports.
fn free_ports(count: u16) -> u16 {
    let start = 10_000 + (std::process::id() % 200) as u16 * 100;
    loop {
        let first = start + NEXT_PORT.fetch_add(count, Ordering::Relaxed) % 2_000;
        let is_free = |port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok();
        if (first..first + count).all(is_free) {
            return first;
        }
    }
}
