//! A fleet of instances with a simulated store, engine and plain service.
//!
//! Relays on the connections to the store and between peers let a test cut or delay them.

use std::net::SocketAddr;

use jayreel_model::KeyHash;
use jayreel_standin::{
    Engine, EngineSettings, PlainService, ServiceSettings, StoreGateway,
};
use jayreel_store::{MemoryStore, Store, Transaction, Write};
use serde_json::{Value, json};

use super::operator::operate;
use super::process::{Instance, InstanceOptions};
use super::relay::{Mode, Relay};

/// Key of the customer `alpha`.
pub const ALPHA_KEY: &str = "alpha-secret-key";
/// Key of the customer `beta`.
pub const BETA_KEY: &str = "beta-secret-key";

/// An instance with the relays on its connections.
pub struct FleetMember {
    /// The process.
    pub instance: Instance,
    /// Relays the connections of the instance to the store.
    pub store_relay: Relay,
    /// Relays the connections of its peers to the instance.
    pub peer_relay: Relay,
}

/// Instances and the simulated systems that they use.
pub struct Fleet {
    /// Gateway through which the instances use the store.
    pub gateway: StoreGateway,
    /// The store behind the gateway. The test uses it directly, also while the instances are
    /// cut off from it.
    pub store: MemoryStore,
    /// The model engine, endpoint `engine-0`.
    pub engine: Engine,
    /// The plain service, endpoint `orders-0`.
    pub service: PlainService,
    /// The running instances. Their indices change when one is removed.
    pub members: Vec<FleetMember>,
}

impl Fleet {
    /// Starts `size` instances in two availability zones and waits until all are ready.
    pub fn start(size: usize) -> Fleet {
        Fleet::with_settings(size, EngineSettings::default(), &[])
    }

    /// Like [`Fleet::start`], with settings for the engine and extra settings (section, key and
    /// value) for each instance.
    pub fn with_settings(
        size: usize,
        engine: EngineSettings,
        extra: &[(&str, &str, &str)],
    ) -> Fleet {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = MemoryStore::new();
        let gateway = StoreGateway::start(any, store.clone()).unwrap();
        let engine = Engine::start(any, engine).unwrap();
        let service = PlainService::start(any, ServiceSettings::default()).unwrap();
        let mut fleet = Fleet {
            gateway,
            store,
            engine,
            service,
            members: Vec::new(),
        };
        fleet.write_configuration();
        let extra = owned(extra);
        for index in 0..size {
            let store_relay = Relay::to(fleet.gateway.address());
            let member = fleet.start_member(index, store_relay, extra.clone());
            fleet.members.push(member);
        }
        for member in &fleet.members {
            member.instance.wait_ready();
        }
        fleet
    }

    /// Starts one more instance with the peer address of the first one as its seed. `mode` is
    /// that of its store connection. Does not wait until it is ready.
    pub fn start_late_member(
        &mut self,
        index: usize,
        mode: Mode,
        extra: &[(&str, &str, &str)],
    ) {
        let seed = self.members[0].peer_relay.address().to_string();
        let store_relay = Relay::to(self.gateway.address());
        store_relay.set(mode);
        let mut extra = owned(extra);
        extra.push(("peers".to_string(), "seeds".to_string(), seed));
        let member = self.start_member(index, store_relay, extra);
        self.members.push(member);
    }

    /// Sets the mode of the store connections of all instances.
    pub fn set_store_mode(&self, mode: Mode) {
        self.members
            .iter()
            .for_each(|member| member.store_relay.set(mode));
    }

    fn start_member(
        &self,
        index: usize,
        store_relay: Relay,
        extra: Vec<(String, String, String)>,
    ) -> FleetMember {
        let peer_relay = Relay::new();
        let instance = Instance::start(InstanceOptions {
            name: format!("entry-{index}"),
            availability_zone: format!("zone-{}", index % 2),
            store: store_relay.address(),
            advertise: Some(peer_relay.address()),
            extra,
        });
        peer_relay.set_target(instance.peers);
        FleetMember {
            instance,
            store_relay,
            peer_relay,
        }
    }

    /// Kills an instance, or collects one that has ended, and starts a new process of the same
    /// name with the same settings. Waits until it is ready.
    pub fn restart(&mut self, index: usize) {
        let member = self.members.remove(index);
        let options = member.instance.kill();
        let instance = Instance::start(options);
        member.peer_relay.set_target(instance.peers);
        instance.wait_ready();
        self.members
            .insert(index, FleetMember { instance, ..member });
    }

    /// Address of an instance's administration API.
    pub fn admin(&self, index: usize) -> SocketAddr {
        self.members[index].instance.admin
    }

    /// Kills an instance and removes it from the fleet.
    pub fn kill(&mut self, index: usize) {
        self.members.remove(index).instance.kill();
    }

    /// Waits until the status of each instance lists all others as alive.
    pub fn wait_connected(&self) {
        let others = self.members.len() - 1;
        for member in &self.members {
            super::wait_until("the instances see each other", || {
                let status = operate(member.instance.admin, &["status"]).json;
                let peers = status["peers"].as_array().cloned().unwrap_or_default();
                let alive = peers.iter().filter(|peer| peer["liveness"] == "alive");
                alive.count() == others
            });
        }
    }

    /// Waits until every instance may use its home share of the customers' rates.
    pub fn wait_home_shares(&self) {
        for member in &self.members {
            super::wait_until("the instance has a home share", || {
                let status = operate(member.instance.admin, &["status"]).json;
                status["home_in_force_ppm"].as_u64().unwrap_or(0) > 0
            });
        }
    }

    /// Address of an instance's server for callers.
    pub fn callers(&self, index: usize) -> SocketAddr {
        self.members[index].instance.callers
    }

    /// Writes a configuration record directly to the store, without the administration API.
    pub fn put(&self, key: &str, value: &Value) {
        let write = Write::Put {
            key: format!("config/{key}"),
            value: value.to_string().into_bytes(),
            lease: None,
        };
        let transaction = Transaction {
            conditions: Vec::new(),
            writes: vec![write],
        };
        self.store.commit(transaction).unwrap();
    }

    /// Sets a customer's rate and burst, in thousandths of requests per second and of requests.
    pub fn put_customer_rate(&self, name: &str, rate_mreq_per_s: u64, burst_mreq: u64) {
        let value =
            json!({ "rate_mreq_per_s": rate_mreq_per_s, "burst_mreq": burst_mreq });
        self.put(&format!("customers/{name}"), &value);
    }

    /// Writes the customers, their keys, a default profile, the endpoints and the routes.
    fn write_configuration(&mut self) {
        self.put_customer_rate("alpha", 1_000_000, 1_000_000);
        self.put_customer_rate("beta", 1_000_000, 1_000_000);
        for (key, customer) in [(ALPHA_KEY, "alpha"), (BETA_KEY, "beta")] {
            let path = format!("keys/{}", KeyHash::of_key(key));
            self.put(&path, &json!({ "customer": customer }));
        }
        self.put("profiles/default", &json!({ "budget_tokens": 100_000 }));
        let engine = self.engine.address().to_string();
        self.put(
            "endpoints/engine-0",
            &json!({
                "kind": "model_engine",
                "group": "models",
                "availability_zone": "zone-0",
                "address": engine,
                "models": ["test-model"],
                "slots": 64,
            }),
        );
        let service = self.service.address().to_string();
        self.put(
            "endpoints/orders-0",
            &json!({
                "kind": "plain_service",
                "group": "orders",
                "availability_zone": "zone-0",
                "address": service,
                "slots": 64,
            }),
        );
        self.put(
            "routes/orders",
            &json!({ "path_prefix": "/orders", "group": "orders" }),
        );
        let read = json!({
            "path_prefix": "/lookup", "group": "orders", "repeatable": true,
        });
        self.put("routes/lookup", &read);
        let open = json!({
            "path_prefix": "/open", "group": "orders", "repeatable": true, "open": true,
        });
        self.put("routes/open", &open);
    }
}

fn owned(settings: &[(&str, &str, &str)]) -> Vec<(String, String, String)> {
    settings
        .iter()
        .map(|(section, key, value)| {
            (section.to_string(), key.to_string(), value.to_string())
        })
        .collect()
}
