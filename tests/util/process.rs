//! Processes of the `jayreel` binary.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use super::wait_until;

/// The operators' key in all tests.
pub const ADMIN_KEY: &str = "test-admin-key";

/// The fleet secret in the settings is the hash of this text.
pub const FLEET_SECRET: &str = "test fleet secret";

/// Settings of one instance.
#[derive(Clone, Debug)]
pub struct InstanceOptions {
    /// Name of the instance, unique within its fleet.
    pub name: String,
    /// Availability zone.
    pub availability_zone: String,
    /// Address of the store's gateway.
    pub store: SocketAddr,
    /// Address that is advertised to peers instead of the one that the instance listens on.
    pub advertise: Option<SocketAddr>,
    /// Further settings as section, key and value. They override the defaults of the tests.
    pub extra: Vec<(String, String, String)>,
}

/// A running instance. Killed when dropped.
pub struct Instance {
    child: Child,
    /// The settings, kept for a restart.
    pub options: InstanceOptions,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for peers.
    pub peers: SocketAddr,
}

impl Instance {
    /// Starts the process and reads its addresses from its output. Does not wait until it is
    /// ready.
    pub fn start(options: InstanceOptions) -> Instance {
        let settings = settings_file(&options);
        let mut child = Command::new(env!("CARGO_BIN_EXE_jayreel"))
            .args(["serve", "--config"])
            .arg(settings)
            .stdout(Stdio::piped())
            .stderr(log_file(&options.name))
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        let address = |name: &str| {
            let field = line
                .split_whitespace()
                .find_map(|field| field.strip_prefix(name));
            field
                .unwrap_or_else(|| panic!("no {name} in {line:?}"))
                .parse()
                .unwrap()
        };
        Instance {
            callers: address("callers="),
            admin: address("admin="),
            peers: address("peers="),
            child,
            options,
        }
    }

    /// Waits until the instance reports that it is ready for callers.
    pub fn wait_ready(&self) {
        wait_until("the instance is ready", || {
            self.probe("/readyz") == Some(200)
        });
    }

    /// Requests a path from the callers' server, without a key. Returns the status, or `None`
    /// if the request failed.
    pub fn probe(&self, path: &str) -> Option<u16> {
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_secs(2)))
            .build()
            .into();
        let response = agent
            .get(format!("http://{}{path}", self.callers))
            .call()
            .ok()?;
        Some(response.status().as_u16())
    }

    /// Kills the process with SIGKILL. Returns its settings, for a restart.
    pub fn kill(mut self) -> InstanceOptions {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.options.clone()
    }

    /// Suspends the process with SIGSTOP until [`Instance::resume`].
    pub fn pause(&self) {
        self.signal("STOP");
    }

    /// Continues a suspended process.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Starts a planned stop with SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// `None` while the process runs, then whether it ended with exit code 0.
    pub fn exited(&mut self) -> Option<bool> {
        self.child
            .try_wait()
            .unwrap()
            .map(|status| status.success())
    }

    /// Waits for the end of a planned stop, which must succeed.
    pub fn wait_exit(mut self) {
        let mut success = None;
        wait_until("the instance has stopped", || {
            success = self.exited();
            success.is_some()
        });
        assert_eq!(success, Some(true), "the planned stop failed");
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill")
            .args([format!("-{name}"), id])
            .status()
            .unwrap();
        assert!(status.success());
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn directory() -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    std::fs::create_dir_all(&directory).unwrap();
    directory
}

/// A path that no other test uses.
fn unique_path(name: &str, suffix: &str) -> PathBuf {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    directory().join(format!("{}-{number}-{name}.{suffix}", std::process::id()))
}

fn log_file(name: &str) -> Stdio {
    let path = unique_path(name, "log");
    std::fs::File::create(path).unwrap().into()
}

/// Writes the settings of an instance to a file. Returns its path.
fn settings_file(options: &InstanceOptions) -> PathBuf {
    let admin_hash = blake3::hash(ADMIN_KEY.as_bytes());
    let secret = blake3::hash(FLEET_SECRET.as_bytes());
    let mut sections: Vec<(String, Vec<String>)> = vec![
        (
            "instance".into(),
            vec![
                format!("name = {}", options.name),
                format!("availability_zone = {}", options.availability_zone),
                "drain_notice_ms = 200".into(),
            ],
        ),
        ("callers".into(), vec!["listen = 127.0.0.1:0".into()]),
        (
            "admin".into(),
            vec![
                "listen = 127.0.0.1:0".into(),
                format!("key_hashes = {admin_hash}"),
            ],
        ),
        (
            "peers".into(),
            vec![
                "listen = 127.0.0.1:0".into(),
                format!("fleet_secret = {secret}"),
            ],
        ),
        (
            "platform".into(),
            vec![
                format!("store = {}", options.store),
                "config_poll_interval_ms = 500".into(),
                "timeout_ms = 1000".into(),
            ],
        ),
    ];
    sections.push(("log".into(), vec!["level = debug".into()]));
    // Loans are short so that they end within a test. Calls wait long for the customer's
    // rate, so that a slow machine does not cause refusals.
    let quota = vec!["loan_term_ms = 500".into(), "wait_ms = 10000".into()];
    sections.push(("quota".into(), quota));
    let mut add = |section: &str, key: &str, value: &str| {
        let line = format!("{key} = {value}");
        match sections.iter_mut().find(|(name, _)| name == section) {
            Some((_, lines)) => {
                lines.retain(|line| !line.starts_with(&format!("{key} =")));
                lines.push(line);
            }
            None => sections.push((section.to_string(), vec![line])),
        }
    };
    if let Some(advertise) = options.advertise {
        add("peers", "advertise", &advertise.to_string());
    }
    for (section, key, value) in &options.extra {
        add(section, key, value);
    }
    let text: String = sections
        .into_iter()
        .map(|(name, lines)| format!("[{name}]\n{}\n", lines.join("\n")))
        .collect();
    let path = unique_path(&options.name, "ini");
    std::fs::write(&path, text).unwrap();
    path
}
