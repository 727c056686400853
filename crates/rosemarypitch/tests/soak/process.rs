//! A router as a process, which is ended with its value.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use super::{ALLOWANCE, OVERRUN, WINDOW};

pub struct Process {
    child: Option<Child>,
    settings: PathBuf,
    text: String,
    pub callers: SocketAddr,
}

impl Process {
    pub fn new(name: &str, store: SocketAddr, folder: &Path) -> Self {
        let callers = free_ports(1);
        let (readiness, internal) = (free_ports(1), free_ports(2));
        let text = format!(
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
        let mut process = Self { child: None, settings, text, callers };
        // True only when the whole system starts for the first time.
        process.write("bootstrapEnabled=true\n");
        process.start();
        process
    }

    /// Writes the settings again with more lines.
    pub fn write(&self, more: &str) {
        std::fs::write(&self.settings, format!("{}{more}", self.text)).unwrap();
    }

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

    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        let sent = Command::new("kill").args([name, &child.id().to_string()]).status();
        assert!(sent.is_ok_and(|status| status.success()), "signal {name}");
    }

    pub async fn end(&mut self) {
        let Some(mut child) = self.child.take() else { return };
        while child.try_wait().unwrap().is_none() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Whether it has ended by itself.
    pub fn is_gone(&mut self) -> bool {
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

/// Ports for processes, below those that the system gives out: another listener could take
/// one of those between this look and the process's own.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// The first of some free ports in a row.
fn free_ports(count: u16) -> u16 {
    let start = 10_000 + (std::process::id() % 200) as u16 * 100;
    loop {
        let first = start + NEXT_PORT.fetch_add(count, Ordering::Relaxed) % 2_000;
        let bind = |port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok();
        if (first..first + count).all(bind) {
            return first;
        }
    }
}
