//! Starts routers as separate processes, with settings like those of a small deployment.

use std::fs::{self, File};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

/// Memory and descriptors of the smallest machine on the sheets (nilebloom-desk-grown).
pub const MEMORY_MB: u64 = 96;
pub const MAX_FDS: u64 = 3_075;

/// A router process.
#[allow(dead_code)]
pub struct Host {
    pub name: String,
    pub port: u16,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Host {
    /// Writes the settings of a host; [`Self::start`] starts it.
    pub fn new(folder: &std::path::Path, name: &str, store: &str, first_start: bool) -> Self {
        let [port, readiness, control] = free_ports();
        let internal = free_pair();
        let settings = folder.join(format!("{name}.conf"));
        let text = format!(
            "nodeName={name}\nrole=router\nmachineClass=edge\nserves=edge,control\nip=127.0.0.1\n\
             zone=dokki\nregion=nile-delta\nzones.dokki=nile-delta\n\
             listen.frontend=127.0.0.1:{port}\nlisten.readiness=127.0.0.1:{readiness}\n\
             listen.controlPlane=127.0.0.1:{control}\ninternalPorts={internal},{}\n\
             bootstrapEnabled={first_start}\nlimits.cpuQuota=0.5\nlimits.cores=1\n\
             limits.memoryMb={MEMORY_MB}\nlimits.maxFds={MAX_FDS}\nheartbeatMs=1200\n\
             bounds.settleWindowMs=4000\nbounds.drainMs=3000\nbounds.graceS=8\n\
             bounds.lossSlackMs=200\nbounds.configApplyMs=3000\nbounds.retryBudgetRatio=0.2\n\
             bounds.budgetWindowS=10\nbounds.retryAllowance=160\nbounds.quotaWindowS=8\n\
             bounds.quotaOverrun=0.1\nbounds.quotaAllowance=120000\nplatform.address={store}\n\
             platform.form=kv\n",
            internal + 15,
        );
        fs::write(&settings, text).unwrap();
        let log = folder.join(format!("{name}.log"));
        Self { name: name.to_owned(), port, settings, log, child: None }
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new("target/release/rosemarypitch")
            .arg("router")
            .env("ROSEMARYPITCH_BOOT", &self.settings)
            .stdout(log)
            .spawn();
        self.child = Some(child.expect("target/release/rosemarypitch cannot be started"));
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Anonymous memory of the process in kB, and the number of its descriptors.
    pub fn usage(&self) -> Option<(u64, usize)> {
        let id = self.child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
        let memory = line.split_whitespace().nth(1)?.parse().ok()?;
        Some((memory, fs::read_dir(format!("/proc/{id}/fd")).ok()?.count()))
    }

    /// Waits until the host accepts callers; false if it does not in time.
    pub fn wait_open(&self, time: Duration) -> bool {
        let end = Instant::now() + time;
        while Instant::now() < end {
            if std::net::TcpStream::connect(("127.0.0.1", self.port)).is_ok() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

fn free_ports<const N: usize>() -> [u16; N] {
    let listeners = [(); N].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    listeners.map(|listener| listener.local_addr().unwrap().port())
}

/// A free port whose successor is free too, below the ports that the system hands out.
fn free_pair() -> u16 {
    let free = |port: u16| TcpListener::bind(("127.0.0.1", port)).is_ok();
    let start = (std::process::id() % 1_000) as u16 * 17;
    let ports = (0..2_000u16).map(|step| 11_000 + (start.wrapping_add(step * 17)) % 18_000);
    ports.into_iter().find(|port| free(*port) && free(port + 1)).expect("no free ports")
}
