//! The project's own programs as processes, each with its own loopback address, settings file and,
//! for storage, disk folder.

use std::fs::{self, File};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::call;
use crate::store::Store;

const FRONT_PORT: u16 = 8_368;
const READY_PORT: u16 = 8_369;
const INTERNAL_PORT: u16 = 7_780;
const METRICS_PORT: u16 = 9_464;

/// Zones of the deployment, one storage machine in each.
pub const ZONES: [&str; 3] = ["hobart-a", "glenorchy-b", "kingston-c"];

/// Finds three octets of a loopback network whose addresses are free.
pub fn free_network() -> String {
    let first = std::process::id() % 200;
    for number in 0..200 {
        let network = format!("127.{}.{}", 20 + (first + number) % 200, first % 250 + 1);
        let ports = [FRONT_PORT, READY_PORT, INTERNAL_PORT, METRICS_PORT];
        let is_free = (1..=9).all(|host| {
            let mut ports = ports.iter();
            ports.all(|port| TcpListener::bind(format!("{network}.{host}:{port}")).is_ok())
        });
        if is_free {
            return network;
        }
    }
    panic!("no free loopback addresses");
}

/// A machine with one process, which may be down.
pub struct Machine {
    pub name: String,
    zone: &'static str,
    ip: IpAddr,
    is_storage: bool,
    folder: PathBuf,
    child: Option<Child>,
    /// Value of the setting `bootstrap`.
    pub is_first_start: bool,
}

impl Machine {
    pub fn new(folder: &Path, network: &str, host: u8, is_storage: bool, zone: usize) -> Machine {
        let role = if is_storage { "storage" } else { "edge" };
        let name = format!("{role}-{}-{host}", ZONES[zone]);
        let folder = folder.join(&name);
        fs::create_dir_all(&folder).expect("the folder can be created");
        Machine {
            name,
            zone: ZONES[zone],
            ip: format!("{network}.{host}").parse().expect("an address"),
            is_storage,
            folder,
            child: None,
            is_first_start: true,
        }
    }

    fn disk(&self) -> PathBuf {
        self.folder.join("disk")
    }

    fn settings(&self, store: SocketAddr) -> String {
        let (ip, zone, is_storage) = (self.ip, self.zone, self.is_storage);
        let (class, listen, disk) = match self.is_storage {
            true => (
                "storage",
                String::new(),
                format!("dataDir = \"{}\"\n", self.disk().display()),
            ),
            false => (
                "edge",
                format!(
                    "front = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n"
                ),
                String::new(),
            ),
        };
        let (disk_mb, memory_mb) = if self.is_storage { (390, 130) } else { (0, 110) };
        format!(
            "nodeName = \"{name}\"\nrole = \"{class}\"\nmachineClass = \"{class}\"\n\
             serves = [\"{class}\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"tas-south\"\n\
             internalPorts = [7780, 7795]\nseeds = []\nbootstrap = {first}\n\
             inTolerance = {is_storage}\ndiscovery = \"platform\"\nentry = \"vip\"\n\
             heartbeatMs = 1200\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\
             \"recover\",\"agent\",\"stream\",\"engine\",\"tenants\",\"quota\",\"platform\"]\n\
             {disk}[zones]\nhobart-a = \"tas-south\"\nglenorchy-b = \"tas-south\"\n\
             kingston-c = \"tas-south\"\n[listen]\n{listen}[limits]\ncpuShare = 0.5\ncores = 1\n\
             memoryMb = {memory_mb}\nmaxFds = 4100\nlinkMbps = 600.0\ndiskMb = {disk_mb}\n\
             [faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n\
             [bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\n\
             catchUpS = 4.5\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\n\
             configApplyMs = 2000\nrollbackSlackMs = 250\nmaxSkewMs = 5000\n\
             strictRevoke = true\nrevokeMs = 5000\nquotaWindowS = 5\nquotaOverrun = 0.1\n\
             quotaSlack = 20\nrecoverS = 12\npassMs = 120\nretryAfterS = 0\ndeadlineS = 10\n\
             settleMs = 1000\n[platform]\naddress = \"{store}\"\nform = \"kv\"\n\
             writesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\n\
             ttlMinMs = 1000\n",
            name = self.name,
            first = self.is_first_start,
        )
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self, binary: &Path, store: &Store) {
        let settings = self.folder.join("node.toml");
        fs::write(&settings, self.settings(store.address)).expect("settings are written");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log"))
            .expect("the log can be opened");
        let child = Command::new(binary)
            .arg(if self.is_storage { "storage" } else { "edge" })
            .env("JAYREEL_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second descriptor"))
            .stderr(log)
            .spawn()
            .expect("the program has been built");
        self.child = Some(child);
    }

    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Ends the process with SIGTERM, and with SIGKILL if it has not ended after `graceS`.
    pub fn terminate(&mut self) {
        let Some(child) = self.child.as_ref() else {
            return;
        };
        let id = child.id().to_string();
        let _ = Command::new("kill").args(["-TERM", &id]).status();
        wait_until(Duration::from_secs(8), || self.has_ended());
        self.kill();
    }

    /// Removes the disk folder's content. The process must be down.
    pub fn lose_disk(&mut self) {
        assert!(self.child.is_none());
        fs::remove_dir_all(self.disk()).expect("the disk folder exists");
        fs::create_dir_all(self.disk()).expect("the disk folder can be created");
        self.is_first_start = false;
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT_PORT)
    }

    pub fn is_ready(&self) -> bool {
        let ready = SocketAddr::new(self.ip, READY_PORT);
        let timeout = Duration::from_millis(500);
        let answer = call(ready, "GET", "/-/readyz", &[("Host", "ready")], "", timeout);
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until a condition holds. Returns whether it did in time.
pub fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    false
}
