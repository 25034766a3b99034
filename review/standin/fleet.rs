//! Processes of the product on loopback, and what all cases share.

use std::fs::{self, File};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Answer};
use crate::store::Store;

pub fn pause_ms(time_ms: u64) {
    thread::sleep(Duration::from_millis(time_ms));
}

/// Lines of `record.txt`, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {text}", self.now_ms());
    }
}

/// What a case starts from.
pub struct Case {
    pub record: Record,
    pub has_trouble: bool,
    pub store: Store,
    folder: PathBuf,
    network: [u8; 2],
    last_host: u8,
    internal_port: u16,
    pub processes: Vec<Process>,
}

/// A process of the product.
pub struct Process {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    pub front: SocketAddr,
    ready: SocketAddr,
    is_edge: bool,
    child: Option<Child>,
}

/// Also if the case's own code panics.
impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Case {
    pub fn new(folder: &Path) -> Case {
        let record = File::create(folder.join("record.txt")).expect("the record can be written");
        let record = Record { file: Arc::new(Mutex::new(record)), began: Instant::now() };
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.subsec_nanos());
        let process = std::process::id();
        let network = [(process % 240) as u8 + 10, (nanos / 1_000 % 250) as u8];
        let temporary = std::env::temp_dir().join(format!("jayreel-review-{process}-{nanos}"));
        fs::create_dir_all(&temporary).expect("a temporary folder can be made");
        let free = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let internal_port = free.local_addr().expect("an address").port();
        let address = Ipv4Addr::new(127, network[0], network[1], 1);
        let listener = TcpListener::bind((address, 0)).expect("a free port for the store");
        let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        record.line(&format!("trouble={has_trouble}"));
        Case {
            record,
            has_trouble,
            store: Store::start(listener),
            folder: temporary,
            network,
            last_host: 1,
            internal_port,
            processes: Vec::new(),
        }
    }

    /// A loopback address that nothing else in this case uses.
    pub fn new_ip(&mut self) -> Ipv4Addr {
        self.last_host += 1;
        Ipv4Addr::new(127, self.network[0], self.network[1], self.last_host)
    }

    /// Adds an instance in a zone, with the settings of a small deployment.
    pub fn add(&mut self, role: &str, zone: &str, number: u32) {
        let name = format!("{role}-{zone}-{number}");
        let ip = self.new_ip();
        let is_edge = role == "edge";
        let front = SocketAddr::from((ip, self.internal_port.wrapping_sub(30).max(2_000)));
        let ready = SocketAddr::from((ip, front.port() + 1));
        self.processes.push(Process {
            name,
            zone: zone.to_string(),
            ip,
            front,
            ready,
            is_edge,
            child: None,
        });
        self.write_settings(self.processes.len() - 1, true);
    }

    pub fn write_settings(&self, index: usize, is_first_start: bool) {
        let process = &self.processes[index];
        let Process { name, zone, ip, front, ready, .. } = process;
        let (first, last) = (self.internal_port, self.internal_port + 15);
        let (class, memory_mb, max_fds, disk_mb) = match process.is_edge {
            true => ("edge", 110, 4_100, 0),
            false => ("storage", 130, 8_200, 390),
        };
        let (data_dir, listen) = match process.is_edge {
            true => (String::new(), format!("front = \"{front}\"\nready = \"{ready}\"\n")),
            false => (format!("dataDir = \"{}\"\n", self.data_dir(index).display()), String::new()),
        };
        let text = format!(
            "nodeName = \"{name}\"\nrole = \"{class}\"\nmachineClass = \"{class}\"\n\
             serves = [\"{class}\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"r\"\n\
             internalPorts = [{first},{last}]\nseeds = []\nbootstrap = {is_first_start}\n\
             inTolerance = true\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n\
             {data_dir}\
             [listen]\n{listen}\
             [limits]\ncpuShare = 0.5\ncores = 1\nmemoryMb = {memory_mb}\nmaxFds = {max_fds}\n\
             linkMbps = 1000.0\ndiskMb = {disk_mb}\n\
             [faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n\
             [bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\n\
             catchUpS = 4.5\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\n\
             configApplyMs = 2000\nrollbackSlackMs = 250\nmaxSkewMs = 5000\n\
             strictRevoke = true\nrevokeMs = 5000\nquotaWindowS = 5\nquotaOverrun = 0.1\n\
             quotaSlack = 20\nrecoverS = 12\npassMs = 120\nretryAfterS = 0\ndeadlineS = 10\n\
             settleMs = 1000\n\
             [platform]\naddress = \"{}\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\n\
             historyS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n",
            self.store.address
        );
        fs::write(self.settings_file(index), text).expect("the settings can be written");
    }

    fn settings_file(&self, index: usize) -> PathBuf {
        self.folder.join(format!("{}.toml", self.processes[index].name))
    }

    pub fn data_dir(&self, index: usize) -> PathBuf {
        self.folder.join(format!("{}-data", self.processes[index].name))
    }

    /// Starts a process with the command of the deploy file.
    pub fn start(&mut self, index: usize) {
        let log = self.folder.join(format!("{}.log", self.processes[index].name));
        let log = File::options().create(true).append(true).open(log).expect("a log");
        let role = if self.processes[index].is_edge { "edge" } else { "storage" };
        let child = Command::new("target/release/jayreel")
            .arg(role)
            .env("JAYREEL_NODE_FILE", self.settings_file(index))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        let child = match child {
            Ok(child) => child,
            Err(error) => self.give_up(&format!("cannot start the product: {error}")),
        };
        self.record.line(&format!("start {} pid={}", self.processes[index].name, child.id()));
        self.processes[index].child = Some(child);
    }

    pub fn start_all(&mut self) {
        (0..self.processes.len()).for_each(|index| self.start(index));
        for index in 0..self.processes.len() {
            self.wait_ready(index);
        }
    }

    /// Waits until an entry instance is ready. Ends the case if that takes too long.
    pub fn wait_ready(&mut self, index: usize) {
        let until_ms = self.record.now_ms() + 20_000;
        while self.processes[index].is_edge {
            if self.is_ready(index) {
                self.record.line(&format!("ready {}", self.processes[index].name));
                return;
            }
            if self.record.now_ms() > until_ms {
                let name = self.processes[index].name.clone();
                self.give_up(&format!("{name} is not ready"));
            }
            pause_ms(50);
        }
    }

    pub fn is_ready(&self, index: usize) -> bool {
        let ready = self.processes[index].ready;
        let answer = http::call(ready, "GET", "/-/readyz", &[("Host", "ready")], b"", Duration::from_millis(500));
        answer.status == 200
    }

    /// Sends a signal by its name.
    pub fn signal(&self, index: usize, signal: &str) {
        let Some(child) = &self.processes[index].child else { return };
        self.record.line(&format!("signal {signal} to {}", self.processes[index].name));
        let command = format!("kill -{signal} {}", child.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    /// Waits until a process has ended, and kills it after `limit_ms`.
    pub fn wait_end(&mut self, index: usize, limit_ms: u64) {
        let until_ms = self.record.now_ms() + limit_ms;
        let record = self.record.clone();
        let process = &mut self.processes[index];
        let Some(mut child) = process.child.take() else { return };
        while matches!(child.try_wait(), Ok(None)) {
            if record.now_ms() > until_ms {
                let _ = child.kill();
            }
            pause_ms(20);
        }
        record.line(&format!("ended {}", process.name));
    }

    pub fn kill(&mut self, index: usize) {
        self.signal(index, "KILL");
        self.wait_end(index, 1_000);
    }

    /// The case cannot run.
    pub fn give_up(&mut self, reason: &str) -> ! {
        self.record.line(&format!("CANNOT RUN: {reason}"));
        self.end(2)
    }

    /// Ends all processes, and this one with an exit code.
    pub fn end(&mut self, code: i32) -> ! {
        for process in &mut self.processes {
            if let Some(mut child) = process.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        self.record.line(&format!("exit code {code}"));
        match std::env::var("KEEP_LOGS") {
            Ok(_) => println!("logs in {}", self.folder.display()),
            Err(_) => {
                let _ = fs::remove_dir_all(&self.folder);
            }
        }
        std::process::exit(code)
    }

    /// Ends the case with its verdict.
    pub fn verdict(&mut self, is_broken: bool, what: &str) -> ! {
        let word = if is_broken { "RULE BROKEN" } else { "rule held" };
        self.record.line(&format!("{word}: {what}"));
        println!("{word}: {what}");
        self.end(i32::from(is_broken))
    }
}

/// A request of a caller.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub id: String,
    pub path: String,
    pub body: String,
    /// Further headers.
    pub headers: Vec<(String, String)>,
    pub deadline_ms: u64,
}

impl Request {
    pub fn with(mut self, name: &str, value: &str) -> Request {
        self.headers.push((name.to_string(), value.to_string()));
        self
    }

    /// Sends it on a new connection, and records it and the answer.
    pub fn send(&self, record: &Record, front: SocketAddr, place: &str) -> Answer {
        let deadline = self.deadline_ms.to_string();
        let mut headers = vec![
            ("Host", "host.example"),
            ("Request-Id", self.id.as_str()),
            ("Deadline-Ms", deadline.as_str()),
            ("Api-Key", "key-1"),
        ];
        headers.extend(self.headers.iter().map(|(name, value)| (name.as_str(), value.as_str())));
        let previous = headers.iter().find(|(name, _)| *name == "Previous-Turn");
        let previous = previous.map_or("none", |(_, value)| value);
        record.line(&format!("sent {} to {place} path={} previous={previous}", self.id, self.path));
        let timeout = Duration::from_millis(self.deadline_ms + 1_000);
        let body = self.body.as_bytes();
        let answer = http::call(front, "POST", &self.path, &headers, body, timeout);
        record.line(&format!(
            "answered {} status={} whole={} retry_after={:?} body_bytes={} reason={}",
            self.id,
            answer.status,
            answer.is_complete,
            answer.head.header("retry-after"),
            answer.body.len(),
            if answer.status == 200 { "-".to_string() } else { answer.text().trim().to_string() },
        ));
        answer
    }
}
