//! The product's processes, with settings of a small deployment, and proxies before the store.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::util::{Reader, SIGKILL, SIGTERM, end_with_parent, random, signal, wait_until};

/// The link of one machine to the store.
pub struct Link {
    pub address: SocketAddr,
    /// While set, nothing passes in either direction, without a reset.
    pub silent: Arc<AtomicBool>,
    /// Number of watches that have passed.
    pub watches: Arc<AtomicU64>,
}

impl Link {
    pub fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a link");
        let address = listener.local_addr().expect("address of a link");
        let (silent, watches) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let (cut, counter) = (silent.clone(), watches.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(to) else { continue };
                let _ = (stream.set_nodelay(true), server.set_nodelay(true));
                let (Ok(back), Ok(answers)) = (stream.try_clone(), server.try_clone()) else {
                    continue;
                };
                pump(stream, server, cut.clone(), Some(counter.clone()));
                pump(answers, back, cut.clone(), None);
            }
        });
        Self { address, silent, watches }
    }

    pub fn watches(&self) -> u64 {
        self.watches.load(Ordering::SeqCst)
    }
}

/// Copies bytes; those that arrive while the link is silent are lost, and so is their connection.
fn pump(
    mut from: TcpStream,
    mut to: TcpStream,
    cut: Arc<AtomicBool>,
    count: Option<Arc<AtomicU64>>,
) {
    thread::spawn(move || {
        let mut buffer = vec![0; 64 << 10];
        let mut dead = false;
        loop {
            let Ok(size) = from.read(&mut buffer) else { break };
            if size == 0 {
                break;
            }
            dead |= cut.load(Ordering::SeqCst);
            if dead {
                continue;
            }
            let is_watch = buffer[..size].windows(8).any(|part| part == b"kv-watch");
            if to.write_all(&buffer[..size]).is_err() {
                break;
            }
            if let Some(count) = count.as_ref().filter(|_| is_watch) {
                count.fetch_add(1, Ordering::SeqCst);
            }
        }
        if !dead {
            let _ = to.shutdown(std::net::Shutdown::Both);
        }
    });
}

/// Figures of a deployment that differ between cases.
#[derive(Clone, Debug)]
pub struct Figures {
    pub grace_s: u64,
    pub quota_allowance: u64,
}

impl Default for Figures {
    fn default() -> Self {
        Self { grace_s: 8, quota_allowance: 120_000 }
    }
}

/// One machine with the role of the deploy file.
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub link: Link,
    zone: String,
    ports: u16,
    figures: Figures,
    folder: PathBuf,
    child: Mutex<Option<Child>>,
    starts: AtomicU64,
}

impl Host {
    pub fn new(folder: &Path, name: &str, zone: &str, store: SocketAddr, figures: Figures) -> Self {
        let (callers, readiness) = (free_address(), free_address());
        Self {
            name: name.to_owned(),
            callers,
            readiness,
            link: Link::start(store),
            zone: zone.to_owned(),
            ports: free_ports(),
            figures,
            folder: folder.to_owned(),
            child: Mutex::new(None),
            starts: AtomicU64::new(0),
        }
    }

    fn settings(&self, first: bool) -> String {
        let Self { name, zone, callers, readiness, ports, figures, .. } = self;
        let (store, last) = (self.link.address, ports + 15);
        let Figures { grace_s, quota_allowance } = figures;
        format!(
            "nodeName={name}\nrole=router\nmachineClass=edge\nserves=edge\nip=127.0.0.1\n\
             zone={zone}\nregion=tt-north\nzones.arima=tt-north\nzones.tunapuna=tt-north\n\
             zones.chaguanas=tt-north\nlisten.frontend={callers}\nlisten.readiness={readiness}\n\
             internalPorts={ports},{last}\nseeds=\nbootstrapEnabled={first}\nfaultCounted=true\n\
             limits.cpuQuota=0.5\nlimits.cores=1\nlimits.memoryMb=520\nlimits.maxFds=8200\n\
             limits.linkMbps=2000.0\nlimits.diskMb=0\ndiscovery=platform\nentry=vip\n\
             heartbeatMs=1200\n\
             contracts=base,drain,config,cost,retry,recover,split,stream,engine,tenants,quota,platform\n\
             faultTolerance.machines=2\nfaultTolerance.zones=1\nfaultTolerance.regions=0\n\
             bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.settleWindowMs=3000\n\
             bounds.ackMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS={grace_s}\n\
             bounds.lossSlackMs=200\nbounds.configApplyMs=2000\nbounds.downgradeSlackMs=250\n\
             bounds.maxExtensionMs=5000\nbounds.strictRevocation=false\nbounds.revokeMs=5000\n\
             bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.retryAllowance=56\n\
             bounds.quotaWindowS=8\nbounds.quotaOverrun=0.1\n\
             bounds.quotaAllowance={quota_allowance}\nbounds.recoveryS=12\nbounds.transitMs=120\n\
             bounds.retryAfterS=3\nbounds.fencingEnabled=false\nbounds.leaseMs=3000\n\
             bounds.thawMs=300\nplatform.address={store}\nplatform.form=kv\n\
             platform.writesPerS=400\nplatform.readsPerS=2000\nplatform.historyS=20\n\
             platform.valueBytes=1048576\nplatform.ttlMinMs=1000\n"
        )
    }

    /// Starts the process; `first` on the first start of the whole system.
    pub fn start(&self, first: bool) {
        let count = self.starts.fetch_add(1, Ordering::SeqCst);
        let settings = self.folder.join(format!("{}.conf", self.name));
        fs::write(&settings, self.settings(first)).expect("write settings");
        let log = self.folder.join(format!("{}-{count}.log", self.name));
        let log = File::create(log).expect("create a log");
        let errors = log.try_clone().expect("a second handle of the log");
        let mut command = Command::new("target/release/rosemarypitch");
        // Ends with this program, also if that is killed.
        // SAFETY: the closure only makes a system call.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command
            .arg("router")
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("ROSEMARYPITCH_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(errors))
            .spawn();
        *self.child.lock().expect("child") = Some(child.expect("start a router"));
    }

    pub fn signal(&self, number: i32) {
        if let Some(child) = self.child.lock().expect("child").as_ref() {
            signal(child.id(), number);
        }
    }

    /// Whether the process has not ended.
    pub fn is_running(&self) -> bool {
        let mut child = self.child.lock().expect("child");
        child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Stops the process as the platform does.
    pub fn stop(&self) {
        self.signal(SIGTERM);
        if !wait_until(Duration::from_secs(self.figures.grace_s), || !self.is_running()) {
            self.signal(SIGKILL);
            wait_until(Duration::from_secs(1), || !self.is_running());
        }
    }

    /// Stops the process, and starts it again `pause` later.
    pub fn restart(&self, pause: Duration) {
        self.stop();
        thread::sleep(pause);
        self.start(false);
    }

    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.readiness) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let Ok(mut writer) = stream.try_clone() else { return false };
        if writer.write_all(b"GET /api/readyz HTTP/1.1\r\nhost: x\r\n\r\n").is_err() {
            return false;
        }
        matches!(Reader::new(stream).head(), Ok(Some(head)) if head.status() == 200)
    }

    pub fn wait_ready(&self) -> bool {
        wait_until(Duration::from_secs(15), || self.is_ready())
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(child) = self.child.lock().expect("child").as_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

static NEXT_PORT: AtomicU64 = AtomicU64::new(0);

/// The first of two free ports, below those that the system gives to connections.
fn free_ports() -> u16 {
    const FIRST: u64 = 12_000;
    const COUNT: u64 = 18_000;
    let _ = NEXT_PORT.compare_exchange(0, random() % COUNT, Ordering::SeqCst, Ordering::SeqCst);
    loop {
        let port = FIRST + NEXT_PORT.fetch_add(2, Ordering::SeqCst) % COUNT;
        let port = port as u16;
        let is_free = |port: u16| TcpListener::bind(("127.0.0.1", port)).is_ok();
        if is_free(port) && is_free(port + 1) {
            return port;
        }
    }
}

fn free_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], free_ports()))
}
