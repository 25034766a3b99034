//! Sends of many entry instances to a cold endpoint, with the members that grant their tokens.
//!
//! The simulation guards against a crash of the endpoint: 60 instances begin to send to it when
//! they see its registry entry, or go on when it becomes cold again, and each one alone sends
//! little. What counts is how many requests arrive there in any second.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use jayreel_gateway::{
    Balancer, EndpointChange, EndpointEntry, EndpointUpdate, EndpointView, Pick,
};
use jayreel_ledger::{
    ColdReport, ColdTolerance, EndpointCursor, EndpointLimit, EndpointLimits, SendGrant,
};
use test_case::test_case;

const INSTANCES: usize = 60;
const COLD_PER_S: f64 = 28.0;

/// Requests that all instances together get from callers, per second. Several times what a cold
/// endpoint can handle.
const CALLS_PER_S: u64 = 300;

/// Interval at which an instance requests the list of limits from a member, in milliseconds.
const POLL_INTERVAL_MS: u64 = 250;

/// Time that an endpoint takes for a request, in milliseconds.
const SERVICE_TIME_MS: u64 = 60;

/// Requests that a cold endpoint may get in any second.
fn allowed() -> usize {
    let tolerance = ColdTolerance::default();
    (COLD_PER_S * tolerance.overrun + tolerance.slack_requests) as usize
}

/// What goes wrong during a simulation.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// Number of instances without contact with the members. They still read the registry.
    cut_off: usize,
    /// Interval at which a member is restarted, in milliseconds.
    restart_interval_ms: Option<u64>,
    /// When a fourth and a fifth member join the first three, in milliseconds. Each of the others
    /// learns of them within 500 ms.
    growth_ms: Option<u64>,
    /// Members lose half of the reports of cold times.
    loses_reports: bool,
}

#[derive(Debug)]
enum Event {
    /// A caller's request arrives at an instance.
    Call { instance: usize },
    /// A request for a token arrives at a member, the one after `asked` others.
    Ask {
        instance: usize,
        limited: Vec<Pick>,
        unlimited: Option<Pick>,
        asked: usize,
        limits: Vec<EndpointLimit>,
    },
    /// Its response arrives.
    Granted {
        instance: usize,
        limited: Vec<Pick>,
        unlimited: Option<Pick>,
        asked: usize,
        grant: SendGrant,
    },
    /// A request arrives at an endpoint.
    Arrive { instance: usize, pick: Pick },
    /// The response of the endpoint arrives, with the cold time left.
    Answer {
        instance: usize,
        pick: Pick,
        cold_left_ms: u64,
    },
    /// A report of a cold time arrives at a member.
    Report { member: usize, limit: EndpointLimit },
    /// The registry entry of the endpoint arrives at an instance.
    Registered { instance: usize, cold_left_ms: u64 },
    /// An instance requests the list of limits.
    Poll { instance: usize },
    /// The list arrives.
    Listed {
        instance: usize,
        requested_ms: u64,
        limits: Vec<EndpointLimit>,
    },
}

struct Simulation {
    faults: Faults,
    now_ms: u64,
    random: u64,
    sequence: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    balancers: Vec<Balancer>,
    members: Vec<EndpointLimits>,
    /// Cold times of the endpoint `new`: beginnings and ends.
    cold_ms: Vec<(u64, u64)>,
    /// When requests arrived at the endpoint `new`.
    arrivals_ms: Vec<u64>,
    /// Requests that no endpoint got.
    refused: usize,
}

/// The endpoint `new` is preferred: the others are in another zone.
fn entry(id: &str) -> EndpointEntry {
    let zone = if id == "new" { "a" } else { "b" };
    EndpointEntry {
        id: id.to_string(),
        service: "engines".to_string(),
        address: "127.0.0.1:1".parse().expect("an address"),
        availability_zone: zone.to_string(),
        slots: 12,
        is_draining: false,
        started_unix_ms: Some(1),
        cold_left_ms: 0,
    }
}

fn cold_rates(per_s: f64) -> HashMap<String, f64> {
    HashMap::from([("engines".to_string(), per_s)])
}

fn balancer(ids: &[&str]) -> Balancer {
    let mut balancer = Balancer::new("a");
    balancer.set_cold_rates(cold_rates(COLD_PER_S));
    for id in ids {
        balancer.upsert(entry(id));
    }
    balancer
}

impl Simulation {
    /// All instances know the endpoints `ids`. The endpoint `new` is cold at the times `cold_ms`.
    fn new(
        seed: u64,
        faults: Faults,
        ids: &[&str],
        cold_ms: &[(u64, u64)],
    ) -> Simulation {
        let mut simulation = Simulation {
            faults,
            now_ms: 0,
            random: seed,
            sequence: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            balancers: (0..INSTANCES).map(|_| balancer(ids)).collect(),
            members: (0..5).map(|_| EndpointLimits::default()).collect(),
            cold_ms: cold_ms.to_vec(),
            arrivals_ms: Vec::new(),
            refused: 0,
        };
        for instance in 0..INSTANCES {
            let at_ms = simulation.within(POLL_INTERVAL_MS);
            simulation.at(at_ms, Event::Call { instance });
            simulation.at(at_ms, Event::Poll { instance });
        }
        simulation
    }

    /// A random number below `bound`, by the generator SplitMix64.
    fn within(&mut self, bound: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed =
            (self.random ^ (self.random >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }

    fn at(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at_ms, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    /// After the time that a message takes, in one direction.
    fn after_delay(&mut self, event: Event) {
        let delay_ms = 1 + self.within(20);
        self.at(self.now_ms + delay_ms, event);
    }

    fn is_cut_off(&self, instance: usize) -> bool {
        instance < self.faults.cut_off
    }

    /// Number of members among which a member divides the rates. `None` if it has not joined.
    fn shares(&self, member: usize) -> Option<usize> {
        match self.faults.growth_ms {
            None => Some(5),
            Some(growth_ms) if member >= 3 => (self.now_ms >= growth_ms).then_some(5),
            Some(growth_ms) => {
                let knows_ms = growth_ms + 250 * member as u64;
                Some(if self.now_ms >= knows_ms { 5 } else { 3 })
            }
        }
    }

    fn cold_left_ms(&self) -> u64 {
        let mut times = self.cold_ms.iter();
        let current = times.find(|(from, until)| (*from..*until).contains(&self.now_ms));
        current.map_or(0, |(_, until_ms)| until_ms - self.now_ms)
    }

    fn run(&mut self, until_ms: u64) {
        while let Some(Reverse((at_ms, number))) = self.queue.pop() {
            if at_ms > until_ms {
                return;
            }
            if let Some(interval_ms) = self.faults.restart_interval_ms {
                for restart in self.now_ms / interval_ms..at_ms / interval_ms {
                    self.members[restart as usize % 5] = EndpointLimits::default();
                }
            }
            self.now_ms = at_ms;
            let event = self.events.remove(&number).expect("it is queued once");
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let now_ms = self.now_ms;
        match event {
            Event::Call { instance } => {
                let mean_ms = INSTANCES as u64 * 1_000 / CALLS_PER_S;
                let next_ms = now_ms + 1 + self.within(2 * mean_ms);
                self.at(next_ms, Event::Call { instance });
                self.choose(instance);
            }
            Event::Ask {
                instance,
                limited,
                unlimited,
                asked,
                limits,
            } => {
                let member = (instance + asked * (1 + now_ms as usize % 4)) % 5;
                let grant = match self.shares(member) {
                    None => SendGrant {
                        granted: None,
                        waits_ms: Vec::new(),
                    },
                    Some(shares) => self.members[member].take(now_ms, &limits, shares),
                };
                self.after_delay(Event::Granted {
                    instance,
                    limited,
                    unlimited,
                    asked,
                    grant,
                });
            }
            Event::Granted {
                instance,
                limited,
                unlimited,
                asked,
                grant,
            } => {
                let granted = grant.granted.map(|index| limited[index as usize].clone());
                match granted {
                    Some(pick) => self.send(instance, pick),
                    None if asked < 4 && (unlimited.is_none() || asked < 1) => {
                        self.ask(instance, limited, unlimited, asked + 1)
                    }
                    None => {
                        let wait_ms = grant.waits_ms.first().copied().unwrap_or(100);
                        for pick in limited {
                            let wait_ms = u64::from(wait_ms.max(10));
                            self.balancers[instance]
                                .exhaust_limit(now_ms, pick.key, wait_ms);
                        }
                        self.send_unlimited(instance, unlimited);
                    }
                }
            }
            Event::Arrive { instance, pick } => {
                if pick.id == "new" {
                    self.arrivals_ms.push(now_ms);
                }
                let cold_left_ms = match pick.id == "new" {
                    true => self.cold_left_ms(),
                    false => 0,
                };
                let answer = Event::Answer {
                    instance,
                    pick,
                    cold_left_ms,
                };
                self.at(now_ms + SERVICE_TIME_MS, answer);
            }
            Event::Answer {
                instance,
                pick,
                cold_left_ms,
            } => {
                let balancer = &mut self.balancers[instance];
                balancer.end(pick.key);
                let news = balancer.hear_cold(now_ms, pick.key, cold_left_ms);
                for member in 0..5 {
                    let is_lost = self.faults.loses_reports && self.within(2) == 0;
                    if let Some(limit) = news.clone().filter(|_| !is_lost)
                        && !self.is_cut_off(instance)
                    {
                        self.after_delay(Event::Report { member, limit });
                    }
                }
            }
            Event::Report { member, limit } => {
                if let Some(cold) = limit.cold {
                    self.members[member].report_cold(now_ms, &limit.endpoint, cold);
                }
            }
            Event::Registered {
                instance,
                cold_left_ms,
            } => {
                let balancer = &mut self.balancers[instance];
                balancer.upsert(entry("new"));
                balancer.register_cold(now_ms, "new", cold_left_ms);
            }
            Event::Poll { instance } => {
                self.at(now_ms + POLL_INTERVAL_MS, Event::Poll { instance });
                if !self.is_cut_off(instance) {
                    let limits = self.members[instance % 3].current(now_ms);
                    self.after_delay(Event::Listed {
                        instance,
                        requested_ms: now_ms,
                        limits,
                    });
                }
            }
            Event::Listed {
                instance,
                requested_ms,
                limits,
            } => {
                self.balancers[instance].learn_limits(requested_ms, &limits);
            }
        }
    }

    /// Chooses an endpoint for a request, as `Edge::pick_within_limits` does.
    fn choose(&mut self, instance: usize) {
        let balancer = &self.balancers[instance];
        let candidates = balancer.candidates(self.now_ms, "engines", None, &[]);
        let (limited, mut unlimited): (Vec<Pick>, Vec<Pick>) =
            candidates.into_iter().partition(|pick| pick.needs_token);
        let unlimited = unlimited.pop();
        match limited.is_empty() || self.is_cut_off(instance) {
            true => self.send_unlimited(instance, unlimited),
            false => self.ask(instance, limited, unlimited, 0),
        }
    }

    fn ask(
        &mut self,
        instance: usize,
        limited: Vec<Pick>,
        unlimited: Option<Pick>,
        asked: usize,
    ) {
        let balancer = &self.balancers[instance];
        let report = |pick: &Pick| balancer.limit_report(self.now_ms, pick.key);
        let limits = limited
            .iter()
            .map(|pick| report(pick).expect("it is known"));
        let limits = limits.collect();
        self.after_delay(Event::Ask {
            instance,
            limited,
            unlimited,
            asked,
            limits,
        });
    }

    fn send_unlimited(&mut self, instance: usize, unlimited: Option<Pick>) {
        match unlimited {
            Some(pick) => self.send(instance, pick),
            None => self.refused += 1,
        }
    }

    fn send(&mut self, instance: usize, pick: Pick) {
        self.balancers[instance].begin(pick.key);
        self.after_delay(Event::Arrive { instance, pick });
    }

    /// The entry of the endpoint `new`, written now, reaches each instance within two seconds.
    fn register(&mut self) {
        let cold_left_ms = self.cold_left_ms();
        for instance in 0..INSTANCES {
            let at_ms = self.now_ms + self.within(2_000);
            let registered = Event::Registered {
                instance,
                cold_left_ms,
            };
            self.at(at_ms, registered);
        }
    }

    /// The largest number of requests that arrived at `new` in a second between two times.
    fn most_in_second(&self, from_ms: u64, until_ms: u64) -> usize {
        let mut window = VecDeque::new();
        let mut most = 0;
        let arrivals = self.arrivals_ms.iter();
        for at_ms in arrivals.filter(|at_ms| (from_ms..until_ms).contains(*at_ms)) {
            window.push_back(*at_ms);
            while window.front().is_some_and(|first| first + 1_000 <= *at_ms) {
                window.pop_front();
            }
            most = most.max(window.len());
        }
        most
    }

    fn arrivals(&self, from_ms: u64, until_ms: u64) -> usize {
        let arrivals = self.arrivals_ms.iter();
        arrivals
            .filter(|at_ms| (from_ms..until_ms).contains(*at_ms))
            .count()
    }
}

const NO_FAULTS: Faults = Faults {
    cut_off: 0,
    restart_interval_ms: None,
    growth_ms: None,
    loses_reports: false,
};

/// An endpoint joins one that can take all the load, and is cold for 8 s. It rewrites its entry
/// every 700 ms, and the entries reach the instances up to 2 s late.
#[test_case(NO_FAULTS; "no faults")]
#[test_case(Faults { cut_off: 20, ..NO_FAULTS }; "instances are cut off")]
#[test_case(Faults { restart_interval_ms: Some(800), ..NO_FAULTS }; "members are restarted")]
#[test_case(Faults { growth_ms: Some(4_000), ..NO_FAULTS }; "members join")]
#[test_case(Faults { cut_off: 20, restart_interval_ms: Some(1_900), growth_ms: Some(3_000), loses_reports: true }; "all of it")]
fn instances_together_keep_to_the_rate_of_a_new_endpoint(faults: Faults) {
    for seed in 0..5 {
        let (from_ms, until_ms) = (2_000, 10_000);
        let cold_ms = [(from_ms, until_ms)];
        let mut simulation = Simulation::new(seed, faults, &["old"], &cold_ms);
        simulation.run(from_ms);
        for write_ms in (from_ms..until_ms).step_by(700) {
            simulation.run(write_ms);
            simulation.now_ms = write_ms;
            simulation.register();
        }
        simulation.run(until_ms + 8_000);
        let most = simulation.most_in_second(from_ms, until_ms);
        assert!(most <= allowed(), "seed {seed}: {most} of {}", allowed());
        let used = simulation.arrivals(from_ms + 3_000, until_ms);
        let least = if faults.restart_interval_ms.is_some() {
            60
        } else {
            100
        };
        assert!(used >= least, "seed {seed}: {used} requests in 5 s");
        assert_eq!(simulation.refused, 0, "the other endpoint has room");
        // At most 2 s late, the cold time is over for all instances, and 3 s later the ramp.
        let later = simulation.arrivals(until_ms + 6_000, until_ms + 8_000);
        assert!(later >= 200, "seed {seed}: {later} requests in 2 s");
    }
}

/// Time after which all instances that are not cut off know that an endpoint has become cold
/// again: one answer, the report of it, an interval of their polls, and a request that was chosen
/// just before.
const KNOWN_AFTER_MS: u64 = 600;

/// Time in which requests without tokens still arrive at an endpoint that has become cold, in
/// milliseconds: that of the first answers, and most of the interval of the polls.
const SURPRISE_MS: u64 = 220;

/// An endpoint that gets nearly all of the load becomes cold, again while its rate is still rising, and a
/// last time much later. Only its answers say so, and its entry up to 2 s later.
#[test_case(NO_FAULTS; "no faults")]
#[test_case(Faults { cut_off: 6, ..NO_FAULTS }; "instances are cut off")]
#[test_case(Faults { restart_interval_ms: Some(1_900), ..NO_FAULTS }; "members are restarted")]
#[test_case(Faults { loses_reports: true, ..NO_FAULTS }; "reports are lost")]
fn endpoint_that_becomes_cold_again_is_spared(faults: Faults) {
    for seed in 0..5 {
        let cold_ms = [(3_000, 6_000), (7_500, 10_500), (18_000, 21_000)];
        let ids = ["new", "old", "older"];
        let mut simulation = Simulation::new(seed, faults, &ids, &cold_ms);
        for (from_ms, _) in cold_ms {
            simulation.run(from_ms);
            simulation.now_ms = from_ms;
            simulation.register();
        }
        simulation.run(30_000);
        assert!(simulation.arrivals(1_000, 3_000) > 120, "the usual load");
        for (from_ms, until_ms) in cold_ms {
            let most = simulation.most_in_second(from_ms + KNOWN_AFTER_MS, until_ms);
            assert!(most <= allowed(), "seed {seed}: {most} of {}", allowed());
            // What all instances send until they know of it, and no tokens in addition.
            let most = simulation.most_in_second(from_ms, until_ms);
            let unavoidable = (CALLS_PER_S * SURPRISE_MS / 1_000) as usize;
            assert!(most <= unavoidable, "seed {seed}: {most} of {unavoidable}");
        }
        assert_eq!(simulation.refused, 0, "the other endpoints have room");
        assert!(simulation.arrivals(28_000, 30_000) > 120, "the usual load");
    }
}

/// Without another endpoint, what the cold one cannot take is rejected, and instances without
/// contact with the members reject all.
#[test]
fn requests_beyond_the_rate_are_rejected_without_another_endpoint() {
    let faults = Faults {
        cut_off: INSTANCES,
        ..NO_FAULTS
    };
    let mut simulation = Simulation::new(1, faults, &[], &[(0, 10_000)]);
    simulation.register();
    simulation.run(10_000);
    assert_eq!(simulation.arrivals(0, 10_000), 0);
    let mut simulation = Simulation::new(1, NO_FAULTS, &[], &[(0, 10_000)]);
    simulation.register();
    simulation.run(10_000);
    assert!(simulation.most_in_second(0, 10_000) <= allowed());
    assert!(simulation.refused > 1_000);
}

fn pick(balancer: &Balancer, now_ms: u64) -> Pick {
    let pick = balancer.pick(now_ms, "engines", None, &[]);
    pick.expect("an endpoint")
}

/// The first send to a new endpoint needs a token, and each one until the rate has risen after
/// the cold time. A service without a rate needs none, and no messages.
#[test]
fn only_services_with_a_rate_need_tokens_for_cold_endpoints() {
    let mut cold = balancer(&["new"]);
    assert!(cold.register_cold(1_000, "new", 2_500));
    assert!(pick(&cold, 1_000).needs_token && pick(&cold, 1_000).is_cold);
    assert!(pick(&cold, 6_499).needs_token);
    assert!(!pick(&cold, 6_500).needs_token);
    let mut free = balancer(&["new"]);
    free.set_cold_rates(HashMap::new());
    assert!(!free.register_cold(1_000, "new", 2_500));
    let key = pick(&free, 1_000).key;
    assert_eq!(free.hear_cold(1_100, key, 2_500), None);
    assert!(!pick(&free, 1_100).needs_token);
    assert_eq!(
        free.limit_report(1_100, key).and_then(|limit| limit.cold),
        None
    );
    // The operator sets a rate while the endpoint is cold.
    free.set_cold_rates(cold_rates(COLD_PER_S));
    assert!(pick(&free, 1_200).needs_token);
}

/// Every answer names the cold time. The members are told at once, then once a second.
#[test]
fn unchanged_cold_time_is_not_reported_with_each_answer() {
    let mut balancer = balancer(&["new"]);
    let key = pick(&balancer, 0).key;
    let times_ms = (10_000..13_000).step_by(100);
    let reports = times_ms.filter(|now_ms| {
        let report = balancer.hear_cold(*now_ms, key, 14_000 - now_ms);
        report.is_some()
    });
    assert_eq!(reports.count(), 3);
}

/// A restart under the same identifier is a new endpoint. The cold time of the run before does not
/// hold for it.
#[test]
fn cold_time_ends_with_the_run_of_an_endpoint() {
    let mut balancer = balancer(&["new"]);
    balancer.register_cold(1_000, "new", 2_500);
    balancer.upsert(EndpointEntry {
        started_unix_ms: Some(2),
        ..entry("new")
    });
    assert!(!pick(&balancer, 1_100).needs_token);
    assert!(balancer.register_cold(1_100, "new", 100));
    assert!(pick(&balancer, 1_200).needs_token);
}

// Guards against a process that ends because another one sends a cold time beyond the range of the
// sum.
#[test]
fn largest_cold_time_from_a_member_is_bounded() {
    let mut balancer = balancer(&["new"]);
    let cold = ColdReport {
        left_ms: i64::MAX,
        per_s: COLD_PER_S,
        was_in_use: false,
    };
    let limit = EndpointLimit {
        cold: Some(cold),
        ..EndpointLimit::unlimited("new")
    };
    balancer.learn_limits(1_000, &[limit]);
    assert!(pick(&balancer, 1_000).is_cold);
    assert!(!pick(&balancer, 1_000 + 603_000).is_cold);
    let mut view = EndpointView::new(1);
    let entry = EndpointEntry {
        cold_left_ms: u64::MAX,
        ..entry("new")
    };
    let update = EndpointUpdate {
        cursor: EndpointCursor::default(),
        revision: 1,
        is_complete: true,
        changes: vec![EndpointChange::Present(entry)],
    };
    let applied = view.apply_update(1_000, update).expect("it is newer");
    assert!(
        matches!(&applied[..], [EndpointChange::Present(entry)] if entry.cold_left_ms == 600_000)
    );
}
