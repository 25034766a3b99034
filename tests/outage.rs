//! Outages of the store: it refuses connections, does not respond or loses responses.

use std::net::{SocketAddr, TcpListener};
use std::time::Instant;

use jayreel_model::{Configuration, CustomerKey, KeyHash};
use jayreel_peer::{
    FleetSecret, MessageBody, PeerConfig, PeerDeadlines, PeerMessage, PeerNetwork,
    TcpPeerNetwork,
};
use jayreel_standin::Faults;
use jayreel_store::Store;
use serde_json::json;
use test_case::test_case;

use crate::util::caller::Caller;
use crate::util::fleet::{ALPHA_KEY, BETA_KEY, Fleet};
use crate::util::operator::operate;
use crate::util::process::FLEET_SECRET;
use crate::util::relay::Mode;
use crate::util::wait_until;

// Guards against instances that need the store to serve a request.
#[test]
fn fleet_serves_without_the_store() {
    let fleet = Fleet::start(2);
    fleet.wait_connected();
    fleet.wait_home_shares();
    for member in &fleet.members {
        member.store_relay.set(Mode::Cut);
    }
    let caller = Caller::new(ALPHA_KEY);
    let token = caller.open(fleet.callers(0), &[]);
    let headers = [("Jayreel-Program", token.as_str())];
    for index in [0, 1, 0, 1] {
        let response = caller
            .chat(fleet.callers(index), &headers, "hello")
            .unwrap();
        assert_eq!(response.status, 200, "{response:?}");
        let order = caller
            .send_order(fleet.callers(index), &headers, "order")
            .unwrap();
        assert_eq!(order.status, 200, "{order:?}");
    }
}

// Guards against instances that report that they are ready before any instance has a share of
// the customers' rates. If the store was cut off at that time, no instance got any rate until
// the store was back.
#[test]
fn ready_fleet_serves_when_the_store_is_cut_at_once() {
    let fleet = Fleet::start(2);
    for member in &fleet.members {
        member.store_relay.set(Mode::Cut);
    }
    let caller = Caller::new(ALPHA_KEY);
    for index in [0, 1] {
        wait_until("the instance serves", || {
            let response = caller.chat(fleet.callers(index), &[], "hello");
            response.is_some_and(|response| response.status == 200)
        });
    }
}

// Guards against a change that is reported as failed although the store applied it, when only
// the store's response was lost (G14).
#[test]
fn lost_response_does_not_hide_an_accepted_change() {
    let fleet = Fleet::start(1);
    fleet.gateway.faults().set(Faults {
        lose_answers: 1,
        lose_path: "/v3/kv/txn".to_string(),
        ..Faults::default()
    });
    let target = fleet.admin(0);
    let change = std::thread::spawn(move || {
        operate(target, &["profile", "create", "late", "--max-turns", "3"])
    });
    wait_until("the change is in the store", || {
        fleet.store.get("config/profiles/late").unwrap().is_some()
    });
    fleet.gateway.faults().clear();
    let outcome = change.join().unwrap();
    assert!(outcome.code == 0 || outcome.code == 3, "{outcome:?}");
}

// Guards against an instance that is cut off from the store and does not get a newer
// configuration although a peer has it.
#[test]
fn instance_cut_off_from_the_store_gets_a_change_from_its_peer() {
    let fleet = Fleet::start(2);
    fleet.wait_connected();
    fleet.members[1].store_relay.set(Mode::Cut);
    let created = operate(fleet.admin(0), &["profile", "create", "fresh"]);
    assert!(created.code == 0 || created.code == 3, "{created:?}");
    // The peer's heartbeat states the newer revision, and the instance requests a snapshot.
    let caller = Caller::new(ALPHA_KEY);
    wait_until("the change arrives through the peer", || {
        let headers = [("Jayreel-Profile", "fresh")];
        let response =
            caller.send(fleet.callers(1), "POST", "/v1/programs", &headers, "{}");
        response.is_some_and(|response| response.status == 201)
    });
}

/// Waits until an instance refuses the key of `beta`.
fn wait_key_refused(fleet: &Fleet, index: usize) {
    wait_until("the key is refused", || {
        let response = Caller::new(BETA_KEY).chat(fleet.callers(index), &[], "hello");
        response.is_some_and(|response| response.status == 401 && response.ran() == "no")
    });
}

/// Waits until the instance `from` forwards calls of a program that was opened at `to`.
fn wait_forwards(fleet: &Fleet, from: usize, to: usize) {
    let caller = Caller::new(ALPHA_KEY);
    let token = caller.open(fleet.callers(to), &[]);
    let program = [("Jayreel-Program", token.as_str())];
    wait_until("the other instance forwards", || {
        let response = caller.send_order(fleet.callers(from), &program, "order");
        response.is_some_and(|response| response.status == 200)
    });
}

/// Starts an instance that has no state while the store is down. Prints how long it takes to
/// become ready and to serve the first call.
fn start_and_serve(fleet: &mut Fleet, index: usize, store: Mode) {
    let started = Instant::now();
    fleet.start_late_member(index, store, &[]);
    let started_member = fleet.members.last().unwrap();
    started_member.instance.wait_ready();
    let ready_ms = started.elapsed().as_millis();
    let to = started_member.instance.callers;
    let response = Caller::new(ALPHA_KEY).chat(to, &[], "hello").unwrap();
    let served_ms = started.elapsed().as_millis();
    println!("from nothing: ready_ms={ready_ms} first_call_answered_ms={served_ms}");
    assert_eq!(response.status, 200, "{response:?}");
    let status = operate(started_member.instance.admin, &["status"]).json;
    assert_eq!(status["home_in_force_ppm"], 0, "{status}");
}

// Guards against instances that cannot start while the store is down because they know
// neither peers nor configuration, so that the fleet only shrinks in an outage.
#[test_case(Mode::Cut; "refusing")]
#[test_case(Mode::Freeze; "silent")]
fn instance_starts_from_its_seeds_while_the_store_is(down: Mode) {
    let mut fleet = Fleet::start(2);
    fleet.wait_connected();
    fleet.wait_home_shares();
    fleet.set_store_mode(down);
    let hash = KeyHash::of_key(BETA_KEY).to_string();
    operate(fleet.admin(0), &["key", "withdraw", &hash]);
    wait_key_refused(&fleet, 0);
    start_and_serve(&mut fleet, 2, down);
    wait_key_refused(&fleet, 2);
    // The second instance is not a seed: its address comes from the first one.
    fleet.wait_connected();
    let caller = Caller::new(ALPHA_KEY);
    let token = caller.open(fleet.callers(2), &[]);
    let program = [("Jayreel-Program", token.as_str())];
    for index in [1, 2] {
        let order = caller.send_order(fleet.callers(index), &program, "order");
        assert_eq!(order.unwrap().status, 200);
    }
    // Refused, because the instance responsible for a key without a program is determined by
    // the registrations, which cannot be read.
    let keyed = [("Idempotency-Key", "one")];
    let refused = caller
        .send_order(fleet.callers(2), &keyed, "order")
        .unwrap();
    assert_eq!((refused.status, refused.ran().as_str()), (503, "no"));

    fleet.put("profiles/fresh", &json!({ "budget_tokens": 1_000 }));
    let newest = fleet.store.newest_revision("config/").unwrap();
    fleet.set_store_mode(Mode::Pass);
    wait_until("the new instance is registered", || {
        fleet.store.get("instances/entry-2").unwrap().is_some()
    });
    wait_until("the new instance has the newest configuration", || {
        let status = operate(fleet.admin(2), &["status"]).json;
        status["config_revision"].as_u64() >= Some(newest)
    });
    wait_key_refused(&fleet, 2);
    fleet.wait_home_shares();
    fleet.wait_connected();
}

// Guards against an instance without a home share that gets no loan of a customer's small
// rate, or that refuses calls with another status than 429 until it gets one.
#[test]
fn calls_are_refused_only_until_the_first_loan() {
    let mut fleet = Fleet::start(2);
    fleet.put_customer_rate("alpha", 10_000, 10_000);
    let newest = fleet.store.newest_revision("config/").unwrap();
    for index in 0..2 {
        wait_until("the rate is in force", || {
            let status = operate(fleet.admin(index), &["status"]).json;
            status["config_revision"].as_u64() >= Some(newest)
        });
    }
    fleet.wait_connected();
    fleet.wait_home_shares();
    fleet.set_store_mode(Mode::Cut);
    fleet.start_late_member(2, Mode::Cut, &[("quota", "wait_ms", "0")]);
    fleet.members[2].instance.wait_ready();
    let ready = Instant::now();
    let mut refused = 0;
    wait_until("a call is served", || {
        let response = Caller::new(ALPHA_KEY).chat(fleet.callers(2), &[], "hello");
        let response = response.unwrap();
        if response.status == 200 {
            return true;
        }
        assert_eq!((response.status, response.ran().as_str()), (429, "no"));
        refused += 1;
        false
    });
    let loan_ms = ready.elapsed().as_millis();
    println!("first loan: refused={refused} served_after_ready_ms={loan_ms}");
}

// Guards against a replacement of a dead instance that the others ignore because they cannot
// read that the registration of its predecessor has ended.
#[test]
fn dead_instance_is_replaced_at_another_address_while_the_store_is_down() {
    let mut fleet = Fleet::start(2);
    fleet.wait_connected();
    fleet.wait_home_shares();
    fleet.set_store_mode(Mode::Cut);
    fleet.kill(1);
    start_and_serve(&mut fleet, 1, Mode::Cut);
    wait_forwards(&fleet, 0, 1);
}

// Guards against messages of an instance that was restarted at its old address being mistaken
// for late messages of the process before it.
#[test]
fn dead_instance_is_replaced_at_its_address_while_the_store_is_down() {
    let mut fleet = Fleet::start(2);
    fleet.wait_connected();
    fleet.wait_home_shares();
    fleet.set_store_mode(Mode::Cut);
    let seed = fleet.members[0].peer_relay.address().to_string();
    let options = &mut fleet.members[1].instance.options;
    options.extra.push(("peers".into(), "seeds".into(), seed));
    let started = Instant::now();
    fleet.restart(1);
    println!("restart: ready_ms={}", started.elapsed().as_millis());
    let response = Caller::new(ALPHA_KEY).chat(fleet.callers(1), &[], "hello");
    assert_eq!(response.unwrap().status, 200);
    wait_forwards(&fleet, 0, 1);
}

// Guards against withdrawn keys that are accepted indefinitely because each new instance
// counts `offline_grace_s` from its own start (G7).
#[test]
fn instance_that_starts_after_the_grace_refuses_keys() {
    let mut fleet = Fleet::start(1);
    fleet.wait_home_shares();
    fleet.set_store_mode(Mode::Cut);
    wait_until("the store has been out of reach for 4 s", || {
        let status = operate(fleet.admin(0), &["status"]).json;
        status["store_contact_age_ms"].as_u64() >= Some(4_000)
    });
    fleet.start_late_member(1, Mode::Cut, &[("platform", "offline_grace_s", "4")]);
    fleet.members[1].instance.wait_ready();
    let response = Caller::new(ALPHA_KEY).chat(fleet.callers(1), &[], "hello");
    let response = response.unwrap();
    assert_eq!(
        (response.status, response.code().as_str()),
        (503, "not_ready")
    );
    assert_eq!(response.ran(), "no");
    let served = Caller::new(ALPHA_KEY).chat(fleet.callers(0), &[], "hello");
    assert_eq!(served.unwrap().status, 200);
}

/// Whether the status of an instance lists any peer.
fn has_peer(fleet: &Fleet, index: usize) -> bool {
    let status = operate(fleet.admin(index), &["status"]).json;
    status["peers"]
        .as_array()
        .is_some_and(|peers| !peers.is_empty())
}

// Guards against an instance that started while the store was down and does not rejoin after
// a partition, because each side has discarded the address of the other: it counts as dead
// and is not registered.
#[test]
fn unregistered_instance_returns_after_a_partition() {
    let mut fleet = Fleet::start(1);
    fleet.wait_home_shares();
    fleet.set_store_mode(Mode::Cut);
    fleet.start_late_member(1, Mode::Cut, &[]);
    fleet.wait_connected();
    for member in &fleet.members {
        member.peer_relay.set(Mode::Cut);
    }
    wait_until("neither instance lists the other", || {
        !has_peer(&fleet, 0) && !has_peer(&fleet, 1)
    });
    for member in &fleet.members {
        member.peer_relay.set(Mode::Pass);
    }
    fleet.wait_connected();
}

/// A peer whose messages the test sends.
struct FakePeer {
    network: TcpPeerNetwork,
}

impl FakePeer {
    /// Starts a peer that has the fleet secret and can send to one instance.
    fn start(instance: &str, address: SocketAddr) -> FakePeer {
        let secret = blake3::hash(FLEET_SECRET.as_bytes()).to_string();
        let config = PeerConfig {
            own: "ghost.1".parse().unwrap(),
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
            secret: FleetSecret::derive(&secret),
            deadlines: PeerDeadlines::default(),
        };
        let (network, _) = TcpPeerNetwork::start(config).unwrap();
        network.set_peers([(instance.to_string(), address)].into());
        FakePeer { network }
    }

    fn send_snapshot(&self, to: &str, configuration: &Configuration) {
        let message = PeerMessage {
            id: 1,
            reply_to: None,
            body: MessageBody::Snapshot {
                revision: configuration.revision,
                body: serde_json::to_vec(configuration).unwrap(),
            },
        };
        self.network.send(to, message);
    }
}

// Guards against a snapshot of an older configuration that replaces a newer one (G14), and
// against ignoring the withdrawn keys that such a snapshot contains (G7).
#[test]
fn older_snapshot_is_not_applied_but_its_withdrawals_are() {
    let fleet = Fleet::start(1);
    fleet.wait_home_shares();
    fleet.set_store_mode(Mode::Cut);
    let revision =
        || operate(fleet.admin(0), &["status"]).json["config_revision"].as_u64();
    let before = revision().unwrap();
    let withdrawn = CustomerKey {
        customer: "beta".to_string(),
        withdrawn: true,
    };
    // Contains neither the customers and endpoints nor the other key, so that calls would fail
    // if it were applied.
    let older = Configuration {
        revision: before - 1,
        keys: [(KeyHash::of_key(BETA_KEY), withdrawn)].into(),
        ..Configuration::default()
    };
    let peer = FakePeer::start("entry-0", fleet.members[0].instance.peers);
    peer.send_snapshot("entry-0", &older);
    wait_key_refused(&fleet, 0);
    assert_eq!(revision(), Some(before));
    let response = Caller::new(ALPHA_KEY).chat(fleet.callers(0), &[], "hello");
    assert_eq!(response.unwrap().status, 200);
    peer.network.close();
}
