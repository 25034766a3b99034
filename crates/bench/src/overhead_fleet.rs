//! Starts instances of the real binary for a benchmark, with stand-ins for the store and the
//! engines, and reads from `/proc` what the processes use.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use eyre::{WrapErr, bail, eyre};
use jayreel_model::KeyHash;
use jayreel_standin::StoreGateway;
use jayreel_store::{MemoryStore, Store, Transaction, Write};
use serde_json::{Value, json};

/// API key of the customer `bench`, the only one that sends calls.
pub const CUSTOMER_KEY: &str = "bench-customer-key";

/// Key for the instances' admin API.
pub const ADMIN_KEY: &str = "bench-admin-key";

/// Time within which an instance must report that it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Concurrent calls that an engine accepts. Large enough that no call waits for a slot.
const ENGINE_SLOTS: u32 = 100_000;

/// Unit of the processor times in `/proc/PID/stat`. Linux reports 100 ticks per second on all
/// common platforms.
const CLOCK_TICKS_PER_S: f64 = 100.0;
/// Index of the time in user mode among the fields of `/proc/PID/stat` that follow the name
/// of the process.
const USER_TIME_INDEX: usize = 11;
/// Index of the time in kernel mode, counted like [`USER_TIME_INDEX`].
const KERNEL_TIME_INDEX: usize = 12;

/// A child process, killed when this value is dropped.
pub struct Process {
    child: Child,
    first_line: String,
}

impl Process {
    /// Starts a program from the directory of this executable and reads its first line of
    /// output, in which it prints its addresses.
    fn start(program: &str, arguments: &[&str], log: Stdio) -> eyre::Result<Process> {
        let path = std::env::current_exe()?.with_file_name(program);
        let mut child = Command::new(&path)
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .wrap_err_with(|| {
                format!("cannot start {}; build it first", path.display())
            })?;
        let output = child
            .stdout
            .take()
            .ok_or_else(|| eyre!("standard output of {program} is not a pipe"))?;
        let mut first_line = String::new();
        BufReader::new(output).read_line(&mut first_line)?;
        Ok(Process { child, first_line })
    }

    /// Process id, as used in `/proc`.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time in user and kernel mode since the process started, in seconds.
    pub processor_s: f64,
    /// Resident memory in KB, as in `VmRSS`.
    pub resident_kb: u64,
    /// Number of threads.
    pub threads: u64,
}

/// Reads the resource usage of a process from `/proc`.
pub fn usage(id: u32) -> eyre::Result<Usage> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let field = |name: &str| {
        status
            .lines()
            .find_map(|line| line.strip_prefix(name))
            .and_then(|rest| rest.split_whitespace().next())
            .and_then(|number| number.parse().ok())
            .unwrap_or(0)
    };
    // The name in parentheses may contain spaces, so fields are counted from its end. The
    // first one after it is the third field of `stat`.
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let (_, fields) = stat
        .rsplit_once(')')
        .ok_or_else(|| eyre!("/proc/{id}/stat has no process name"))?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| -> f64 {
        let text = fields.get(index).copied().unwrap_or_default();
        text.parse().unwrap_or(0.0)
    };
    Ok(Usage {
        processor_s: (ticks(USER_TIME_INDEX) + ticks(KERNEL_TIME_INDEX))
            / CLOCK_TICKS_PER_S,
        resident_kb: field("VmRSS:"),
        threads: field("Threads:"),
    })
}

/// Kernel scheduler statistics of the threads that share a name, from
/// `/proc/PID/task/TID/schedstat`.
#[derive(Clone, Copy, Debug, Default)]
pub struct SchedStats {
    /// Time on a core, in microseconds.
    pub running_us: f64,
    /// Time in which a thread was runnable but waited for a core, in microseconds.
    pub runnable_us: f64,
    /// Number of times that a thread was given a core.
    pub timeslices: f64,
}

/// Sums the scheduler statistics of the threads of a process that are named `thread`.
pub fn sched_stats(id: u32, thread: &str) -> eyre::Result<SchedStats> {
    let mut sched_stats = SchedStats::default();
    for task in std::fs::read_dir(format!("/proc/{id}/task"))? {
        let path = task?.path();
        // The thread may have ended since the directory was listed. It then counts as zero.
        let name = std::fs::read_to_string(path.join("comm")).unwrap_or_default();
        if name.trim() != thread {
            continue;
        }
        let text = std::fs::read_to_string(path.join("schedstat")).unwrap_or_default();
        let mut fields = text.split_whitespace().map(|field| field.parse::<f64>());
        let mut next = || fields.next().and_then(Result::ok).unwrap_or(0.0);
        sched_stats.running_us += next() / 1e3;
        sched_stats.runnable_us += next() / 1e3;
        sched_stats.timeslices += next();
    }
    Ok(sched_stats)
}

/// The machine's load averages over 1, 5 and 15 minutes. Printed before and after a
/// measurement to show under which load it ran.
pub fn machine_load() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace()
        .take(3)
        .collect::<Vec<_>>()
        .join(" ")
}

/// A running instance of the real binary.
pub struct Instance {
    /// The process, killed when the instance is dropped.
    pub process: Process,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener of the admin API.
    pub admin: SocketAddr,
    /// Listener for other instances.
    pub peers: SocketAddr,
}

/// Addresses in the settings of an instance.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// The stand-in store, or a relay to it.
    pub store: SocketAddr,
    /// Address at which peers reach the instance, such as a relay. Without it, that is the
    /// address of its listener.
    pub advertise: Option<SocketAddr>,
}

/// A stand-in store, and a temporary directory for the settings and logs of the instances.
/// The directory is deleted when this value is dropped.
pub struct TestBed {
    /// HTTP API of the stand-in store, which the instances use.
    pub gateway: StoreGateway,
    store: MemoryStore,
    directory: PathBuf,
}

impl TestBed {
    /// Starts a store that holds the customer `bench` with its key and a default profile, but
    /// no endpoints.
    pub fn new() -> eyre::Result<TestBed> {
        use std::sync::atomic::{AtomicU64, Ordering};
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("jayreel-bench-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory)?;
        let store = MemoryStore::new();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let test_bed = TestBed {
            gateway: StoreGateway::start(any, store.clone())?,
            store,
            directory,
        };
        test_bed.put_customer("bench")?;
        let key = format!("keys/{}", KeyHash::of_key(CUSTOMER_KEY));
        test_bed.put(&key, &json!({ "customer": "bench" }))?;
        test_bed.put("profiles/default", &json!({}))?;
        Ok(test_bed)
    }

    /// Writes a configuration record. `key` is relative to the prefix `config/`.
    pub fn put(&self, key: &str, value: &Value) -> eyre::Result<()> {
        let write = Write::Put {
            key: format!("config/{key}"),
            value: value.to_string().into_bytes(),
            lease: None,
        };
        let transaction = Transaction {
            conditions: Vec::new(),
            writes: vec![write],
        };
        self.store.commit(transaction)?;
        Ok(())
    }

    /// Writes a customer whose rate limit is too high to have an effect.
    pub fn put_customer(&self, name: &str) -> eyre::Result<()> {
        let rate = 1_000_000_000;
        let value = json!({ "rate_mreq_per_s": rate, "burst_mreq": rate });
        self.put(&format!("customers/{name}"), &value)
    }

    /// Writes the endpoint record of a model engine.
    pub fn put_engine(&self, name: &str, address: SocketAddr) -> eyre::Result<()> {
        let value = json!({
            "kind": "model_engine",
            "group": "models",
            "availability_zone": "zone-0",
            "address": address.to_string(),
            "models": ["test-model"],
            "slots": ENGINE_SLOTS,
        });
        self.put(&format!("endpoints/{name}"), &value)
    }

    /// Starts an instance and returns once it has printed its addresses. Callers then use
    /// [`Instance::wait_ready`].
    pub fn start_instance(
        &self,
        name: &str,
        zone: &str,
        addresses: Addresses,
    ) -> eyre::Result<Instance> {
        let settings = self.settings(name, zone, addresses)?;
        let path = settings
            .to_str()
            .ok_or_else(|| eyre!("path of the settings file is not valid UTF-8"))?;
        let log = std::fs::File::create(self.directory.join(format!("{name}.log")))?;
        let arguments = ["serve", "--config", path];
        let process = Process::start("jayreel", &arguments, log.into())?;
        let address = |field: &str| -> eyre::Result<SocketAddr> {
            let mut fields = process.first_line.split_whitespace();
            let text = fields
                .find_map(|word| word.strip_prefix(field))
                .ok_or_else(|| {
                    eyre!("{name} printed {:?} without {field}", process.first_line)
                })?;
            Ok(text.parse()?)
        };
        Ok(Instance {
            callers: address("callers=")?,
            admin: address("admin=")?,
            peers: address("peers=")?,
            process,
        })
    }

    fn settings(
        &self,
        name: &str,
        zone: &str,
        addresses: Addresses,
    ) -> eyre::Result<PathBuf> {
        let secret = KeyHash::of_key("bench fleet secret");
        let admin = KeyHash::of_key(ADMIN_KEY);
        let advertise = addresses
            .advertise
            .map_or(String::new(), |address| format!("advertise = {address}\n"));
        let text = format!(
            "[instance]\nname = {name}\navailability_zone = {zone}\n\
             [callers]\nlisten = 127.0.0.1:0\n\
             [admin]\nlisten = 127.0.0.1:0\nkey_hashes = {admin}\n\
             [peers]\nlisten = 127.0.0.1:0\nfleet_secret = {secret}\n{advertise}\
             [platform]\nstore = {}\n",
            addresses.store
        );
        let path = self.directory.join(format!("{name}.ini"));
        std::fs::write(&path, text)?;
        Ok(path)
    }
}

impl Drop for TestBed {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl Instance {
    /// Waits until `/readyz` reports that the instance accepts calls.
    pub fn wait_ready(&self) -> eyre::Result<()> {
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_secs(2)))
            .build()
            .into();
        let deadline = Instant::now() + READY_TIMEOUT;
        let url = format!("http://{}/readyz", self.callers);
        loop {
            match agent.get(&url).call() {
                Ok(response) if response.status() == 200 => return Ok(()),
                _ if Instant::now() > deadline => {
                    bail!("{url} did not report ready within {READY_TIMEOUT:?}")
                }
                _ => std::thread::sleep(Duration::from_millis(50)),
            }
        }
    }
}

/// A stand-in engine that runs in a process of its own.
pub struct EngineProcess {
    /// Listener of the engine.
    pub address: SocketAddr,
    _process: Process,
}

impl EngineProcess {
    /// Starts an engine that generates `answer_tokens` tokens per call and takes `token_us`
    /// microseconds for each. Prompt tokens take no time.
    pub fn start(token_us: u64, answer_tokens: u64) -> eyre::Result<EngineProcess> {
        let (token_us, answer_tokens) = (token_us.to_string(), answer_tokens.to_string());
        let slots = ENGINE_SLOTS.to_string();
        let arguments = [
            "engine",
            "--token-us",
            &token_us,
            "--prefill-us-per-token",
            "0",
            "--answer-tokens",
            &answer_tokens,
            "--slots",
            &slots,
        ];
        let process = Process::start("jayreel-standin", &arguments, Stdio::null())?;
        Ok(EngineProcess {
            address: process.first_line.trim().parse()?,
            _process: process,
        })
    }
}
