//! `jayreel dev`: runs an instance with an embedded store, model engine and plain service, and
//! a demo agent program against it.

mod demo;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use clap::ArgMatches;
use eyre::{WrapErr, bail};
use jayreel_model::KeyHash;
use jayreel_settings::{RawSettings, Settings};
use jayreel_standin::{Engine, EngineSettings, PlainService, ServiceSettings};
use jayreel_store::{MemoryStore, Store, Transaction, Write};
use serde_json::{Value, json};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::instance::Instance;
use crate::logging;

const SETTINGS: &str = include_str!("dev.ini");
const ADMIN_KEY: &str = "dev-admin-key";
const CUSTOMER_KEY: &str = "dev-customer-key";
/// Maximum time for the instance to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs the demo. With `--keep`, continues to serve until SIGTERM or SIGINT.
///
/// # Errors
///
/// If a component cannot start or a step of the demo fails.
pub(crate) fn run(matches: &ArgMatches) -> eyre::Result<ExitCode> {
    let text =
        SETTINGS.replace("ADMIN_KEY_HASH", &KeyHash::of_key(ADMIN_KEY).to_string());
    let settings = Settings::from_raw(RawSettings::parse("dev.ini", &text)?)?;
    logging::start(&settings.log, &settings.instance.name)?;
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let engine = Engine::start(any_port, EngineSettings::default())
        .wrap_err("cannot start the embedded engine")?;
    let service = PlainService::start(any_port, ServiceSettings::default())
        .wrap_err("cannot start the embedded service")?;
    let store = MemoryStore::new();
    store.commit(initial_configuration(engine.address(), service.address()))?;
    let instance = Instance::start(settings, Arc::new(store))?;
    wait_until_ready(&instance)?;

    let address = instance.caller_address();
    println!("callers:  http://{address}/v1 with key {CUSTOMER_KEY}");
    println!(
        "operators: --admin {} with key {ADMIN_KEY}",
        instance.admin_address()
    );
    demo::run(address, CUSTOMER_KEY)?;
    if matches.get_flag("keep") {
        println!("serving until interrupted");
        Signals::new([SIGTERM, SIGINT])?.forever().next();
    }
    instance.close();
    service.close();
    engine.close();
    Ok(ExitCode::SUCCESS)
}

fn wait_until_ready(instance: &Instance) -> eyre::Result<()> {
    let deadline = Instant::now() + START_TIMEOUT;
    while !instance.is_ready() {
        if Instant::now() > deadline {
            bail!("the instance did not become ready");
        }
        thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}

/// The initial configuration: one customer, one endpoint of each kind and one route.
fn initial_configuration(engine: SocketAddr, service: SocketAddr) -> Transaction {
    let key = format!("config/keys/{}", KeyHash::of_key(CUSTOMER_KEY));
    let records = [
        (
            "config/customers/dev".to_string(),
            json!({ "rate_mreq_per_s": 100_000, "burst_mreq": 100_000 }),
        ),
        (key, json!({ "customer": "dev" })),
        (
            "config/profiles/default".to_string(),
            json!({ "class": "interactive", "budget_tokens": 100_000 }),
        ),
        (
            "config/endpoints/engine-1".to_string(),
            json!({
                "kind": "model_engine",
                "group": "models",
                "availability_zone": "local",
                "address": engine.to_string(),
                "models": ["demo-model"],
                "slots": 16,
            }),
        ),
        (
            "config/endpoints/records-1".to_string(),
            json!({
                "kind": "plain_service",
                "group": "records",
                "availability_zone": "local",
                "address": service.to_string(),
                "slots": 16,
            }),
        ),
        (
            "config/routes/records".to_string(),
            json!({ "path_prefix": "/records", "group": "records" }),
        ),
    ];
    let writes = records
        .into_iter()
        .map(|(key, value)| put(key, &value))
        .collect();
    Transaction {
        conditions: Vec::new(),
        writes,
    }
}

fn put(key: String, value: &Value) -> Write {
    Write::Put {
        key,
        value: value.to_string().into_bytes(),
        lease: None,
    }
}
