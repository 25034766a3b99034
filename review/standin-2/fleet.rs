//! The project's own processes, started with the commands of the deploy file, and the platform's
//! part: settings, memory limit, restart of processes that have ended.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::client;
use crate::record::Record;
use crate::store::Store;

const FRONT_PORT: u16 = 8_368;
const READY_PORT: u16 = 8_369;
const INTERNAL_PORT: u16 = 7_780;

/// Pause before a process that has ended is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// Storage machines, one in each zone.
const STORAGES: usize = 3;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    pub ip: Ipv4Addr,
    is_storage: bool,
    memory_mb: u64,
    folder: PathBuf,
    store: SocketAddr,
    bootstrap: AtomicBool,
    child: Mutex<Option<Child>>,
    /// The platform starts the process again whenever it has ended.
    is_kept_running: AtomicBool,
    pub peak_kb: Mutex<u64>,
}

impl Machine {
    fn new(
        folder: &Path,
        network: (u8, u8),
        store: SocketAddr,
        index: usize,
        is_storage: bool,
        memory_mb: u64,
    ) -> io::Result<Arc<Machine>> {
        let number = index + if is_storage { 100 } else { 1 };
        let kind = if is_storage { "storage" } else { "edge" };
        let name = format!("{kind}-{}", index + 1);
        let folder = folder.join(&name);
        fs::create_dir_all(&folder)?;
        Ok(Arc::new(Machine {
            zone: ZONES[index % 3],
            ip: Ipv4Addr::new(127, network.0, network.1, number as u8),
            is_storage,
            memory_mb,
            folder,
            store,
            bootstrap: AtomicBool::new(true),
            child: Mutex::default(),
            is_kept_running: AtomicBool::new(false),
            peak_kb: Mutex::default(),
            name,
        }))
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, FRONT_PORT))
    }

    fn settings(&self) -> String {
        let (ip, zone) = (self.ip, self.zone);
        let (class, serves) = match self.is_storage {
            true => ("storage", "storage"),
            false => ("edge", "edge"),
        };
        let data = match self.is_storage {
            true => format!("dataDir = \"{}\"\n", self.folder.join("data").display()),
            false => String::new(),
        };
        let listen = match self.is_storage {
            true => String::new(),
            false => format!("front = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n"),
        };
        let (cpu, fds, link, disk) = match self.is_storage {
            true => (0.5, 8_200, 600.0, 390),
            false => (0.25, 4_100, 1_000.0, 0),
        };
        format!(
            "nodeName = \"{name}\"\nrole = \"{class}\"\nmachineClass = \"{class}\"\n\
             serves = [\"{serves}\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"region-a\"\n\
             internalPorts = [{INTERNAL_PORT},{end}]\nseeds = []\nbootstrap = {bootstrap}\n\
             inTolerance = {is_storage}\n{data}discovery = \"platform\"\nentry = \"vip\"\n\
             heartbeatMs = 1200\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\
             \"agent\",\"stream\",\"engine\",\"tenants\",\"quota\",\"platform\"]\n\
             [zones]\nzone-a = \"region-a\"\nzone-b = \"region-a\"\nzone-c = \"region-a\"\n\
             [listen]\n{listen}[limits]\ncpuShare = {cpu}\ncores = 1\nmemoryMb = {memory}\n\
             maxFds = {fds}\nlinkMbps = {link:.1}\ndiskMb = {disk}\n\
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
            end = INTERNAL_PORT + 15,
            bootstrap = self.bootstrap.load(Ordering::Relaxed),
            is_storage = self.is_storage,
            memory = self.memory_mb,
            store = self.store,
        )
    }

    fn spawn(&self) -> io::Result<Child> {
        let path = self.folder.join("node.toml");
        fs::write(&path, self.settings())?;
        let mut log = File::options();
        let log = log.create(true).append(true).open(self.folder.join("log"))?;
        let role = if self.is_storage { "storage" } else { "edge" };
        Command::new("target/release/jayreel")
            .arg(role)
            .env("JAYREEL_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
    }

    /// Starts the process and keeps it running.
    pub fn start(&self) -> io::Result<()> {
        *self.child.lock().expect("no panic") = Some(self.spawn()?);
        self.is_kept_running.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Sends a signal to the process, such as `KILL`.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &*self.child.lock().expect("no panic") {
            let id = child.id().to_string();
            let _ = Command::new("kill").args([format!("-{signal}"), id]).status();
        }
    }

    /// Ends the process for good.
    pub fn stop(&self) {
        self.is_kept_running.store(false, Ordering::Relaxed);
        if let Some(mut child) = self.child.lock().expect("no panic").take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Deletes the data of a machine whose process has ended for good.
    pub fn lose_disk(&self) {
        // Fails if the process has not written yet.
        let _ = fs::remove_dir_all(self.folder.join("data"));
    }

    pub fn is_ready(&self) -> bool {
        client::get_status(SocketAddr::from((self.ip, READY_PORT)), "/-/readyz") == Some(200)
    }

    /// Memory of the process without that of mapped files, in kilobytes.
    fn memory_kb(&self) -> Option<u64> {
        let child = self.child.lock().expect("no panic");
        let id = child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
        line.trim().strip_suffix("kB")?.trim().parse().ok()
    }

    /// The platform's part: kills a process that uses more than `memoryMb`, and starts one that
    /// has ended again.
    fn supervise(&self, record: &Record) {
        if !self.is_kept_running.load(Ordering::Relaxed) {
            return;
        }
        if let Some(memory_kb) = self.memory_kb() {
            let mut peak_kb = self.peak_kb.lock().expect("no panic");
            *peak_kb = memory_kb.max(*peak_kb);
            if memory_kb > self.memory_mb * 1_024 {
                record.add(&format!(
                    "memory_kill machine={} memory_kb={memory_kb} limit_mb={}",
                    self.name, self.memory_mb
                ));
                self.signal("KILL");
            }
        }
        let mut child = self.child.lock().expect("no panic");
        let ended = match &mut *child {
            Some(child) => child.try_wait().ok().flatten(),
            None => return,
        };
        if let Some(status) = ended {
            record.add(&format!("process_ended machine={} status={status}", self.name));
            thread::sleep(RESTART_PAUSE);
            *child = self.spawn().ok();
        }
    }
}

pub struct Fleet {
    pub store: Store,
    pub edges: Vec<Arc<Machine>>,
    pub storages: Vec<Arc<Machine>>,
    pub record: Arc<Record>,
    folder: PathBuf,
    network: (u8, u8),
    is_over: Arc<AtomicBool>,
    supervisors: Vec<JoinHandle<()>>,
}

impl Fleet {
    /// Starts entry machines with this memory limit, and three storage machines. The configuration and the workers must be in the store already.
    pub fn start(
        store: Store,
        record: &Arc<Record>,
        edges: usize,
        edge_memory_mb: u64,
    ) -> io::Result<Fleet> {
        let folder = std::env::temp_dir().join(format!("jayreel-review-{}", std::process::id()));
        let network = free_network()?;
        let machine = |index: usize, is_storage: bool| {
            let memory_mb = if is_storage { 130 } else { edge_memory_mb };
            Machine::new(&folder, network, store.address, index, is_storage, memory_mb)
        };
        let edges = (0..edges).map(|index| machine(index, false));
        let edges: Vec<Arc<Machine>> = edges.collect::<io::Result<_>>()?;
        let storages = (0..STORAGES).map(|index| machine(index, true));
        let storages: Vec<Arc<Machine>> = storages.collect::<io::Result<_>>()?;
        let mut fleet = Fleet {
            store,
            edges,
            storages: Vec::new(),
            record: Arc::clone(record),
            folder,
            network,
            is_over: Arc::default(),
            supervisors: Vec::new(),
        };
        for machine in storages {
            fleet.add(machine)?;
        }
        for machine in fleet.edges.clone() {
            fleet.run(&machine)?;
        }
        let until = Instant::now() + Duration::from_secs(30);
        while !fleet.edges.iter().all(|edge| edge.is_ready()) {
            if Instant::now() > until {
                return Err(io::Error::other("the edges are not ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        record.add("edges are ready");
        Ok(fleet)
    }

    /// Adds an empty storage machine at another address, in the zone of another one.
    pub fn add_storage(&mut self, zone: &'static str) -> io::Result<Arc<Machine>> {
        let index = self.storages.len();
        let address = self.store.address;
        let machine = Machine::new(&self.folder, self.network, address, index, true, 130)?;
        let mut machine = Arc::into_inner(machine).expect("it is not shared yet");
        machine.zone = zone;
        machine.bootstrap = AtomicBool::new(false);
        let machine = Arc::new(machine);
        self.add(Arc::clone(&machine))?;
        Ok(machine)
    }

    fn add(&mut self, machine: Arc<Machine>) -> io::Result<()> {
        self.run(&machine)?;
        self.storages.push(machine);
        Ok(())
    }

    /// Starts a machine and keeps it running.
    fn run(&mut self, machine: &Arc<Machine>) -> io::Result<()> {
        machine.start()?;
        machine.bootstrap.store(false, Ordering::Relaxed);
        let (machine, record) = (Arc::clone(machine), Arc::clone(&self.record));
        let is_over = Arc::clone(&self.is_over);
        self.supervisors.push(thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                machine.supervise(&record);
                thread::sleep(Duration::from_millis(5));
            }
        }));
        Ok(())
    }

    /// Asks a storage machine to empty itself, as the operator does.
    pub fn retire(&self, machine: &Machine) {
        self.record.add(&format!("retire machine={}", machine.name));
        let key = format!("op/retire/{}", machine.name);
        self.store.put(&key, "{\"durationS\":8.5}");
    }

    /// Waits until a machine reports that it is emptied, and removes it. Returns whether it did so
    /// within a time.
    pub fn remove_when_retired(&self, machine: &Machine, time: Duration) -> bool {
        let until = Instant::now() + time;
        let key = format!("status/retire/{}", machine.name);
        while Instant::now() < until {
            let status = self.store.value(&key).unwrap_or_default();
            if status.contains("completed") {
                self.record.add(&format!("retired machine={} status={status}", machine.name));
                machine.stop();
                machine.lose_disk();
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        let status = self.store.value(&key).unwrap_or_default();
        self.record.add(&format!("not retired machine={} status={status}", machine.name));
        false
    }

    /// Removes a machine for good, without notice.
    pub fn lose(&self, machine: &Machine) {
        self.record.add(&format!("lost for good machine={}", machine.name));
        machine.stop();
        machine.lose_disk();
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        for supervisor in self.supervisors.drain(..) {
            let _ = supervisor.join();
        }
        for machine in self.edges.iter().chain(&self.storages) {
            machine.stop();
            let peak_kb = *machine.peak_kb.lock().expect("no panic");
            self.record.add(&format!("peak machine={} memory_kb={peak_kb}", machine.name));
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Two numbers of a part of 127.0.0.0/8 in which the ports are free.
fn free_network() -> io::Result<(u8, u8)> {
    let process = std::process::id();
    for attempt in 0..200 {
        let number = process + attempt * 251;
        let network = ((number % 200) as u8 + 20, (number / 200 % 250) as u8 + 1);
        let ip = Ipv4Addr::new(127, network.0, network.1, 1);
        if TcpListener::bind((ip, FRONT_PORT)).is_ok() {
            return Ok(network);
        }
    }
    Err(io::Error::other("no free addresses"))
}

/// Whether a path exists, from the repository's root.
pub fn exists(path: &str) -> bool {
    Path::new(path).exists()
}
