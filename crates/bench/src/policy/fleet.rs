//! A fleet of real instances for one run, with engines, services and the store as stand-ins in
//! this process. Also applies the faults of a scenario.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use eyre::{WrapErr, eyre};
use jayreel_model::KeyHash;
use jayreel_standin::{
    Down, Engine, EngineSettings, Faults, PlainService, ServiceSettings, StoreGateway,
};
use jayreel_store::{MemoryStore, Store, Transaction, Write};
use serde_json::{Value, json};

use super::deployment::{
    BATCH_SLOWDOWN_US, Deployment, INSTANCES, LOOP_BUDGET_TOKENS, MODEL,
    PREFILL_US_PER_TOKEN, SERVICE_MS, SERVICE_SLOTS, TOKEN_US, WORKER_CACHE_TOKENS,
    WORKER_SLOTS,
};
use super::scenario::Variant;
use super::trace::RateLimit;

/// Time limit for all instances to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(40);
/// How far the load that engines report lags behind their real load.
const LOAD_REPORT_LAG_MS: u64 = 250;

/// The process of an instance, killed when this value is dropped.
struct Instance {
    child: Child,
    zone: &'static str,
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An instance as the load balancer sees it.
pub(crate) struct BalancerTarget {
    pub(crate) address: SocketAddr,
    /// Whether the load balancer sends calls to the instance.
    pub(crate) healthy: AtomicBool,
}

/// The processes and stand-ins of one run.
pub(crate) struct Fleet {
    gateway: StoreGateway,
    store: MemoryStore,
    pub(crate) engines: Vec<Engine>,
    services: Vec<PlainService>,
    instances: Vec<Instance>,
    /// One for each instance that was started, including those killed since.
    balancer_targets: Arc<Vec<BalancerTarget>>,
}

/// Parameters of [`Fleet::start`].
pub(crate) struct FleetOptions<'a> {
    pub(crate) binary: &'a Path,
    /// Directory for the settings and logs of the instances.
    pub(crate) directory: PathBuf,
    pub(crate) deployment: &'static Deployment,
    pub(crate) variant: Variant,
    pub(crate) rate_limits: &'a [RateLimit],
}

/// The API key of a customer, derived from its name.
pub(crate) fn customer_key(customer: &str) -> String {
    format!("{customer}-bench-key")
}

impl Fleet {
    /// Starts the stand-ins, writes the configuration, starts the instances and waits until
    /// all of them are ready.
    pub(crate) fn start(options: &FleetOptions<'_>) -> eyre::Result<Fleet> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        fs::create_dir_all(&options.directory)?;
        let store = MemoryStore::new();
        let gateway = StoreGateway::start(any, store.clone())?;
        let engine = EngineSettings {
            slots: WORKER_SLOTS,
            prefill_us_per_token: PREFILL_US_PER_TOKEN,
            token_us: TOKEN_US,
            batch_slowdown_us: BATCH_SLOWDOWN_US,
            cache_tokens: WORKER_CACHE_TOKENS,
            answer_tokens: 1_000,
            ..EngineSettings::default()
        };
        let engines = (0..options.deployment.workers)
            .map(|_| Engine::start(any, engine.clone()))
            .collect::<Result<Vec<_>, _>>()?;
        let service = ServiceSettings {
            work_ms: SERVICE_MS,
        };
        let services = (0..options.deployment.services)
            .map(|_| PlainService::start(any, service))
            .collect::<Result<Vec<_>, _>>()?;
        let mut fleet = Fleet {
            gateway,
            store,
            engines,
            services,
            instances: Vec::new(),
            balancer_targets: Arc::default(),
        };
        for engine in &fleet.engines {
            engine.faults().set(baseline_faults());
        }
        fleet.configure(options)?;
        let mut balancer_targets = Vec::new();
        for index in 0..INSTANCES {
            balancer_targets.push(fleet.start_instance(options, index)?);
        }
        fleet.balancer_targets = Arc::new(balancer_targets);
        fleet.wait_ready()?;
        Ok(fleet)
    }

    /// The instances among which callers choose.
    pub(crate) fn balancer_targets(&self) -> Arc<Vec<BalancerTarget>> {
        Arc::clone(&self.balancer_targets)
    }

    fn put(&self, key: &str, value: &Value) -> eyre::Result<()> {
        let write = Write::Put {
            key: format!("config/{key}"),
            value: value.to_string().into_bytes(),
            lease: None,
        };
        let transaction = Transaction {
            conditions: Vec::new(),
            writes: vec![write],
        };
        self.store
            .commit(transaction)
            .map_err(|error| eyre!("cannot write config/{key}: {error:?}"))?;
        Ok(())
    }

    fn configure(&self, options: &FleetOptions<'_>) -> eyre::Result<()> {
        let deployment = options.deployment;
        for (customer, rate_limit) in deployment.customers.iter().zip(options.rate_limits)
        {
            let name = customer.name;
            self.put(
                &format!("customers/{name}"),
                &json!({
                    "rate_mreq_per_s": rate_limit.rate_mreq_per_s,
                    "burst_mreq": rate_limit.burst_mreq,
                    "weight": customer.load_percent,
                }),
            )?;
            let hash = KeyHash::of_key(&customer_key(name));
            self.put(&format!("keys/{hash}"), &json!({ "customer": name }))?;
        }
        self.put("profiles/interactive", &json!({ "class": "interactive" }))?;
        self.put("profiles/standard", &json!({ "class": "standard" }))?;
        let looping = json!({ "class": "standard", "budget_tokens": LOOP_BUDGET_TOKENS });
        self.put("profiles/loop", &looping)?;
        for (index, engine) in self.engines.iter().enumerate() {
            self.put(
                &format!("endpoints/worker-{index}"),
                &json!({
                    "kind": "model_engine",
                    "group": deployment.worker_group,
                    "availability_zone": deployment.zone(index),
                    "address": engine.address().to_string(),
                    "models": [MODEL],
                    "slots": WORKER_SLOTS,
                }),
            )?;
        }
        for (index, service) in self.services.iter().enumerate() {
            self.put(
                &format!("endpoints/service-{index}"),
                &json!({
                    "kind": "plain_service",
                    "group": deployment.service_group,
                    "availability_zone": deployment.zone(index),
                    "address": service.address().to_string(),
                    "slots": SERVICE_SLOTS,
                }),
            )?;
        }
        let route = json!({ "path_prefix": "/tool", "group": deployment.service_group });
        self.put("routes/tool", &route)
    }

    fn start_instance(
        &mut self,
        options: &FleetOptions<'_>,
        index: usize,
    ) -> eyre::Result<BalancerTarget> {
        let zone = options.deployment.zone(index);
        let text = settings(options.variant, zone, index, self.gateway.address());
        let path = options.directory.join(format!("entry-{index}.ini"));
        fs::write(&path, text)?;
        let log = fs::File::create(options.directory.join(format!("entry-{index}.log")))?;
        let child = Command::new(options.binary)
            .args(["serve", "--config"])
            .arg(path)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .wrap_err_with(|| format!("cannot start {}", options.binary.display()))?;
        let mut instance = Instance { child, zone };
        let stdout = instance.child.stdout.take();
        let stdout = stdout
            .ok_or_else(|| eyre!("standard output of the instance is not a pipe"))?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let callers = line
            .split_whitespace()
            .find_map(|field| field.strip_prefix("callers="))
            .ok_or_else(|| eyre!("entry-{index} did not start, see its log"))?;
        let target = BalancerTarget {
            address: callers.parse()?,
            healthy: AtomicBool::new(true),
        };
        self.instances.push(instance);
        Ok(target)
    }

    fn wait_ready(&self) -> eyre::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .timeout_global(Some(Duration::from_secs(2)))
            .build()
            .into();
        for target in self.balancer_targets.iter() {
            let address = format!("http://{}/readyz", target.address);
            while agent.get(&address).call().is_err() {
                if Instant::now() > deadline {
                    return Err(eyre!("{address} did not report ready"));
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }

    /// Simulates the loss of a zone: kills its instances, and freezes its workers and services.
    /// [`Fleet::remove_zone_from_balancer`] updates the load balancer later.
    pub(crate) fn kill_zone(&mut self, deployment: &Deployment, zone: &str) {
        let frozen = Faults {
            freeze: true,
            ..Faults::default()
        };
        for (index, engine) in self.engines.iter().enumerate() {
            if deployment.zone(index) == zone {
                engine.faults().set(frozen.clone());
            }
        }
        for (index, service) in self.services.iter().enumerate() {
            if deployment.zone(index) == zone {
                service.faults().set(frozen.clone());
            }
        }
        self.instances.retain(|instance| instance.zone != zone);
    }

    /// Marks the instances of a zone as unhealthy, so that the load balancer skips them.
    pub(crate) fn remove_zone_from_balancer(&self, deployment: &Deployment, zone: &str) {
        for (index, target) in self.balancer_targets.iter().enumerate() {
            if deployment.zone(index) == zone {
                target.healthy.store(false, Ordering::SeqCst);
            }
        }
    }

    /// Makes the store refuse connections, or accept them again.
    pub(crate) fn set_store_down(&self, down: bool) {
        let down = match down {
            true => Down::Refuse,
            false => Down::No,
        };
        self.gateway.faults().set(Faults {
            down,
            ..Faults::default()
        });
    }

    /// Freezes or unfreezes the first `count` workers. Connections used while a worker was
    /// frozen stay silent afterwards.
    pub(crate) fn set_workers_frozen(&self, count: usize, freeze: bool) {
        for engine in &self.engines[..count] {
            engine.faults().set(Faults {
                freeze,
                ..baseline_faults()
            });
        }
    }

    /// Lists the cached tokens by tag, for each engine. Skips engines that do not respond.
    pub(crate) fn cached_tokens(&self) -> Vec<(String, u64)> {
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .timeout_global(Some(Duration::from_secs(1)))
            .build()
            .into();
        let mut all = Vec::new();
        for engine in &self.engines {
            let address = format!("http://{}/cache", engine.address());
            let Ok(mut response) = agent.get(&address).call() else {
                continue;
            };
            let value: Value = response.body_mut().read_json().unwrap_or_default();
            let tags = value["tags"].as_object().into_iter().flatten();
            all.extend(tags.map(|(tag, n)| (tag.clone(), n.as_u64().unwrap_or(0))));
        }
        all
    }

    /// Kills the instances and closes the stand-ins.
    pub(crate) fn close(self) {
        drop(self.instances);
        self.engines.into_iter().for_each(Engine::close);
        self.services.into_iter().for_each(PlainService::close);
        self.gateway.close();
    }
}

/// Faults that all engines have throughout a run: a lag of their load reports.
fn baseline_faults() -> Faults {
    Faults {
        load_lag_ms: LOAD_REPORT_LAG_MS,
        ..Faults::default()
    }
}

/// The settings file of an instance.
fn settings(variant: Variant, zone: &str, index: usize, store: SocketAddr) -> String {
    let admin_hash = blake3::hash(b"bench admin key");
    let secret = blake3::hash(b"bench fleet secret");
    let policy = variant.settings();
    // Timeouts and intervals are scaled down like the times of the engines.
    format!(
        "[instance]\nname = entry-{index}\navailability_zone = {zone}\n\
         [callers]\nlisten = 127.0.0.1:0\n\
         [admin]\nlisten = 127.0.0.1:0\nkey_hashes = {admin_hash}\n\
         [peers]\nlisten = 127.0.0.1:0\nfleet_secret = {secret}\n\
         [platform]\nstore = {store}\ntimeout_ms = 1000\n\
         config_poll_interval_ms = 1000\nregistration_ttl_s = 4\n\
         [endpoints]\nload_interval_ms = 250\nengine_progress_timeout_ms = 5000\n\
         service_progress_timeout_ms = 3000\n\
         [policy]\n{policy}\n\
         [log]\nlevel = warn\n"
    )
}
