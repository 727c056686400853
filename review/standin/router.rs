//! The router, as a process of its own, with settings like those of a small deployment.

use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::record::Record;

/// Longest time until a router has to be ready.
const START_TIME: Duration = Duration::from_secs(15);

pub struct Router {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    log: PathBuf,
    child: Child,
    record: Record,
}

/// Programs and folders of a case.
#[derive(Clone)]
pub struct Place {
    /// Root of the repository.
    pub root: PathBuf,
    /// Temporary folder.
    pub folder: PathBuf,
}

fn free_ports(count: u16) -> io::Result<u16> {
    loop {
        let first = TcpListener::bind("127.0.0.1:0")?.local_addr()?.port();
        let free = |port| TcpListener::bind(("127.0.0.1", port)).is_ok();
        if first < u16::MAX - count && (first..first + count).all(free) {
            return Ok(first);
        }
    }
}

impl Router {
    /// Starts a router that uses the store at an address.
    pub fn start(
        place: &Place,
        name: &str,
        store: SocketAddr,
        record: &Record,
    ) -> io::Result<Self> {
        let first = free_ports(6)?;
        let address = |port| SocketAddr::from(([127, 0, 0, 1], first + port));
        let (callers, readiness) = (address(0), address(1));
        let settings = place.folder.join(format!("{name}.conf"));
        let log = place.folder.join(format!("{name}.log"));
        let text = format!(
            "nodeName={name}\nrole=router\nmachineClass=edge\nserves=edge\nip=127.0.0.1\n\
             zone=arima\nregion=tt-north\nzones.arima=tt-north\nlisten.frontend={callers}\n\
             listen.readiness={readiness}\nlisten.controlPlane={}\ninternalPorts={},{}\n\
             seeds={}\nbootstrapEnabled=true\nfaultCounted=false\nlimits.cpuQuota=0.75\n\
             limits.cores=1\nlimits.memoryMb=780\nlimits.maxFds=12300\nlimits.linkMbps=3000.0\n\
             limits.diskMb=0\ndiscovery=platform\nentry=vip\nheartbeatMs=1200\n\
             contracts=base,drain,config,cost,retry,recover,split,stream,engine,tenants,quota,platform\n\
             faultTolerance.machines=2\nfaultTolerance.zones=1\nfaultTolerance.regions=0\n\
             bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.settleWindowMs=3000\n\
             bounds.ackMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS=8\n\
             bounds.lossSlackMs=200\nbounds.configApplyMs=2000\nbounds.downgradeSlackMs=250\n\
             bounds.maxExtensionMs=5000\nbounds.strictRevocation=false\nbounds.revokeMs=5000\n\
             bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.retryAllowance=56\n\
             bounds.quotaWindowS=8\nbounds.quotaOverrun=0.1\nbounds.quotaAllowance=120000\n\
             bounds.recoveryS=12\nbounds.transitMs=120\nbounds.retryAfterS=3\n\
             bounds.fencingEnabled=false\nbounds.leaseMs=3000\nbounds.thawMs=300\n\
             platform.address={store}\nplatform.form=kv\nplatform.writesPerS=400\n\
             platform.readsPerS=2000\nplatform.historyS=20\nplatform.valueBytes=1048576\n\
             platform.ttlMinMs=1000\n",
            address(2),
            first + 3,
            first + 5,
            address(2),
        );
        fs::write(&settings, text)?;
        let child = spawn(place, &settings, &log)?;
        let router =
            Self { name: name.to_owned(), callers, readiness, log, child, record: record.clone() };
        record.add(name, &format!("started, process {}", router.child.id()));
        Ok(router)
    }

    /// Waits until the readiness probe succeeds; false if it does not in time.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + START_TIME;
        while Instant::now() < end {
            if let Ok(mut connection) = Connection::connect(self.readiness) {
                let head = "GET /api/readyz HTTP/1.1\r\nHost: r\r\n";
                if connection.call(head, b"", Duration::from_secs(1)).status == 200 {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Sends a signal, named as for `kill`.
    pub fn signal(&self, signal: &str) {
        self.record.add(&self.name, &format!("gets SIG{signal}"));
        let id = self.child.id().to_string();
        // A process that has ended gets none.
        let _ = Command::new("kill").args([&format!("-{signal}"), &id]).status();
    }

    /// The log so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(place: &Place, settings: &Path, log: &Path) -> io::Result<Child> {
    let out = File::options().create(true).append(true).open(log)?;
    let mut command = Command::new("target/release/rosemarypitch");
    command.arg("router").current_dir(&place.root).env_clear();
    for name in ["PATH", "HOME", "LANG"] {
        if let Some(value) = std::env::var_os(name) {
            command.env(name, value);
        }
    }
    command.env("ROSEMARYPITCH_BOOT", settings).stdin(Stdio::null());
    let child = command.stdout(out.try_clone()?).stderr(out).spawn()?;
    // Read by `run.sh`, which ends the processes of a case that takes too long.
    let mut ids = File::options().create(true).append(true).open(place.folder.join("processes"))?;
    writeln!(ids, "{}", child.id())?;
    Ok(child)
}
