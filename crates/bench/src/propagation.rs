//! Time until an added or withdrawn customer key takes effect at every instance, and until
//! the streams opened with a withdrawn key end. Measured without faults and while one instance
//! has lost its connections to the store or from its peers.

use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{bail, eyre};
use hdrhistogram::Histogram;
use jayreel_model::KeyHash;
use jayreel_standin::{Engine, EngineSettings};
use serde_json::{Value, json};

use crate::overhead_fleet::{self, ADMIN_KEY, Addresses, Instance, TestBed};
use crate::slopes_relay::{Relay, Relays};

/// Number of availability zones over which the instances are spread.
const ZONES: u64 = 4;
/// Pause between two requests that check whether a change has taken effect.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which a change that has not taken effect at an instance counts as missed.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after the start of the fleet for the instances' home shares of the quotas to settle.
const SETTLE_TIME: Duration = Duration::from_secs(15);
/// Time between two rounds for the faulty instance to restore its connections.
const RECOVERY_TIME: Duration = Duration::from_secs(4);
/// Bound that the target sets for an accepted change to take effect at every instance.
const CHANGE_BOUND_MS: u64 = 5_000;
/// Bound for a withdrawn key to be refused at every instance, from section 1.2 of the design.
const REVOCATION_BOUND_MS: u64 = 3_000;
/// Time between two tokens of a stream, in microseconds.
const TOKEN_US: u64 = 20_000;
/// Tokens of a stream, so many that no stream ends by itself during a round.
const STREAM_TOKENS: u64 = 10_000;

/// Network fault that affects one instance during a round.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// The open connections to the store stay open but carry no data. New connections work.
    OpenConnectionsSilent,
    /// The open connections to the store and from the peers stay open but carry no data. New
    /// connections work.
    AllOpenConnectionsSilent,
    /// Open and new connections to the store stay open but carry no data.
    StoreSilent,
    /// Open connections to the store are closed, and so are new ones.
    StoreCut,
}

const FAULTS: [(&str, Fault); 5] = [
    ("none", Fault::None),
    ("store connections silent", Fault::OpenConnectionsSilent),
    ("store and peers silent", Fault::AllOpenConnectionsSilent),
    ("store silent", Fault::StoreSilent),
    ("store cut", Fault::StoreCut),
];

/// Command line of the subcommand `propagation`.
pub fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u64).range(2..=200))
            .help(help)
    };
    Command::new("propagation")
        .about("Time until an added or withdrawn key takes effect at every instance")
        .arg(number("instances", "7", "number of instances"))
        .arg(number(
            "rounds",
            "20",
            "keys added and withdrawn for each fault",
        ))
        .arg(
            Arg::new("fault")
                .long("fault")
                .value_name("NAME")
                .value_parser(FAULTS.map(|(name, _)| name))
                .help("measure only this fault"),
        )
}

/// Runs the rounds of all chosen faults and prints the times for each fault.
pub fn run(options: &ArgMatches) -> eyre::Result<()> {
    let number = |name: &str| options.get_one::<u64>(name).copied().unwrap_or(2);
    println!("machine load before: {}", overhead_fleet::machine_load());
    let fleet = Fleet::start(number("instances"))?;
    thread::sleep(SETTLE_TIME);
    let only = options.get_one::<String>("fault");
    let chosen = |name: &str| only.is_none_or(|only| only == name);
    for (name, fault) in FAULTS.into_iter().filter(|(name, _)| chosen(name)) {
        let mut times = Times::new()?;
        for round in 0..number("rounds") {
            let key = format!("{fault:?}-{round}");
            fleet.run_round(&key, fault, round, &mut times)?;
        }
        times.print(name);
    }
    println!("machine load after: {}", overhead_fleet::machine_load());
    Ok(())
}

/// Times in milliseconds, one for each instance and round.
struct Times {
    key_added: Histogram<u64>,
    key_withdrawn: Histogram<u64>,
    streams_ended: Histogram<u64>,
    /// Changes that had not taken effect at an instance after [`PROPAGATION_TIMEOUT`].
    timed_out: u64,
}

impl Times {
    fn new() -> eyre::Result<Times> {
        let histogram = || Histogram::new(3).map_err(|error| eyre!("{error}"));
        Ok(Times {
            key_added: histogram()?,
            key_withdrawn: histogram()?,
            streams_ended: histogram()?,
            timed_out: 0,
        })
    }

    fn print(&self, fault: &str) {
        let rows = [
            ("key given", &self.key_added, CHANGE_BOUND_MS),
            ("key withdrawn", &self.key_withdrawn, REVOCATION_BOUND_MS),
            ("streams cut", &self.streams_ended, REVOCATION_BOUND_MS),
        ];
        for (name, times, bound_ms) in rows {
            let over = times.len() - times.count_between(0, bound_ms);
            println!(
                "fault {fault:<24} {name:<14} n {:4}  p50 {:5} ms  p99 {:5} ms  max {:5} ms  \
                 over {bound_ms} ms: {over}",
                times.len(),
                times.value_at_quantile(0.5),
                times.value_at_quantile(0.99),
                times.max(),
            );
        }
        println!(
            "fault {fault:<24} not in force within {PROPAGATION_TIMEOUT:?}: {}",
            self.timed_out
        );
    }

    /// Receives an end time from each instance and records the time since `start`. `None`
    /// counts as timed out.
    fn record_all(
        times: &mut Histogram<u64>,
        timed_out: &mut u64,
        end_times: &Receiver<Option<Instant>>,
        start: Instant,
    ) -> eyre::Result<()> {
        for end in end_times {
            match end {
                Some(end) => {
                    let elapsed = end.saturating_duration_since(start);
                    times.record(u64::try_from(elapsed.as_millis())?)?;
                }
                None => *timed_out += 1,
            }
        }
        Ok(())
    }
}

/// An instance with one relay on its connections to the store and one on the connections from
/// its peers.
struct Member {
    instance: Instance,
    store_relay: Relay,
    peer_relay: Relay,
}

/// A fleet in which each instance has its own relays, so that a fault can affect just one.
struct Fleet {
    test_bed: TestBed,
    _engine: Engine,
    members: Vec<Member>,
    _relays: Relays,
}

impl Member {
    fn start(test_bed: &TestBed, relays: &Relays, index: u64) -> eyre::Result<Member> {
        let store_relay = relays.add()?;
        store_relay.set_target(test_bed.gateway.address());
        let peer_relay = relays.add()?;
        let addresses = Addresses {
            store: store_relay.address,
            advertise: Some(peer_relay.address),
        };
        let name = format!("entry-{index}");
        let zone = format!("zone-{}", index % ZONES);
        let instance = test_bed.start_instance(&name, &zone, addresses)?;
        peer_relay.set_target(instance.peers);
        Ok(Member {
            instance,
            store_relay,
            peer_relay,
        })
    }

    /// Applies a fault to this instance. [`Fleet::run_round`] ends it.
    fn apply(&self, fault: Fault) {
        match fault {
            Fault::None => {}
            Fault::OpenConnectionsSilent => self.store_relay.silence_open_connections(),
            Fault::AllOpenConnectionsSilent => {
                self.store_relay.silence_open_connections();
                self.peer_relay.silence_open_connections();
            }
            Fault::StoreSilent => self.store_relay.set_frozen(true),
            Fault::StoreCut => self.store_relay.set_cut(true),
        }
    }
}

impl Fleet {
    fn start(size: u64) -> eyre::Result<Fleet> {
        let test_bed = TestBed::new()?;
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = EngineSettings {
            token_us: TOKEN_US,
            answer_tokens: STREAM_TOKENS,
            ..EngineSettings::default()
        };
        let engine = Engine::start(any, settings)?;
        test_bed.put_engine("engine-0", engine.address())?;
        let relays = Relays::start()?;
        let mut members = Vec::new();
        for index in 0..size {
            members.push(Member::start(&test_bed, &relays, index)?);
        }
        for member in &members {
            member.instance.wait_ready()?;
        }
        Ok(Fleet {
            test_bed,
            _engine: engine,
            members,
            _relays: relays,
        })
    }

    /// Adds a key, opens a stream with it at each instance, and withdraws it through the first
    /// instance. The fault affects the others in turn, one in each round.
    fn run_round(
        &self,
        key: &str,
        fault: Fault,
        round: u64,
        times: &mut Times,
    ) -> eyre::Result<()> {
        let faulty = 1 + usize::try_from(round)? % (self.members.len() - 1);
        let member = &self.members[faulty];
        member.apply(fault);
        let hash = KeyHash::of_key(key);
        let put_at = Instant::now();
        self.test_bed
            .put(&format!("keys/{hash}"), &json!({ "customer": "bench" }))?;
        let end_times = self.poll_all(key, |status| status != 401);
        Times::record_all(
            &mut times.key_added,
            &mut times.timed_out,
            &end_times,
            put_at,
        )?;
        let streams = self.open_streams(key)?;
        // The instance may have replaced silenced connections in the meantime. This silences
        // the new ones.
        member.apply(fault);
        let withdrawal_sent_at = Instant::now();
        let end_times = self.poll_all(key, |status| status == 401);
        self.withdraw_key(&hash)?;
        Times::record_all(
            &mut times.key_withdrawn,
            &mut times.timed_out,
            &end_times,
            withdrawal_sent_at,
        )?;
        Times::record_all(
            &mut times.streams_ended,
            &mut times.timed_out,
            &streams,
            withdrawal_sent_at,
        )?;
        member.store_relay.set_frozen(false);
        member.store_relay.set_cut(false);
        if fault != Fault::None {
            thread::sleep(RECOVERY_TIME);
        }
        Ok(())
    }

    /// Sends requests with the key to each instance until the status is as expected. The
    /// receiver gets the time of the first such response, or `None` after the timeout.
    fn poll_all(
        &self,
        key: &str,
        is_expected: fn(u16) -> bool,
    ) -> Receiver<Option<Instant>> {
        let (sender, end_times) = channel();
        for member in &self.members {
            let url = format!("http://{}/v1/models", member.instance.callers);
            let (sender, key) = (sender.clone(), key.to_string());
            thread::spawn(move || sender.send(poll_until(&url, &key, is_expected)));
        }
        end_times
    }

    /// Opens a stream at each instance, and fails if one is refused. The receiver gets the
    /// time at which each stream ends.
    fn open_streams(&self, key: &str) -> eyre::Result<Receiver<Option<Instant>>> {
        let (sender, end_times) = channel();
        let (opened_sender, opened) = channel();
        for member in &self.members {
            let callers = member.instance.callers;
            let url = format!("http://{callers}/v1/chat/completions");
            let (sender, key) = (sender.clone(), key.to_string());
            let opened = opened_sender.clone();
            thread::spawn(move || {
                let response = open_stream(&url, &key);
                let _ = opened.send(response.as_ref().map_or(0, status));
                drop(opened);
                sender.send(response.ok().and_then(read_to_end))
            });
        }
        drop(opened_sender);
        let refused: Vec<u16> = opened.iter().filter(|status| *status != 200).collect();
        if !refused.is_empty() {
            bail!("instances refused to open a stream; statuses: {refused:?}");
        }
        Ok(end_times)
    }

    /// Withdraws a key through the admin API of the first instance.
    fn withdraw_key(&self, hash: &KeyHash) -> eyre::Result<()> {
        let instance = &self.members[0].instance;
        let url = format!("http://{}/admin/v1/keys/{hash}", instance.admin);
        let answer = agent(PROPAGATION_TIMEOUT)
            .delete(&url)
            .header("Authorization", format!("Bearer {ADMIN_KEY}"))
            .call()?;
        match status(&answer) {
            200 => Ok(()),
            status => bail!("the admin API returned status {status} for the withdrawal"),
        }
    }
}

type Response = ureq::http::Response<ureq::Body>;

fn status(response: &Response) -> u16 {
    response.status().as_u16()
}

fn agent(limit: Duration) -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(limit))
        .build()
        .into()
}

/// Sends requests with the key until the status is as expected. Returns the time of that
/// response, or `None` after [`PROPAGATION_TIMEOUT`].
fn poll_until(url: &str, key: &str, is_expected: fn(u16) -> bool) -> Option<Instant> {
    let agent = agent(Duration::from_secs(2));
    let start = Instant::now();
    while start.elapsed() < PROPAGATION_TIMEOUT {
        let answer = agent
            .get(url)
            .header("Authorization", format!("Bearer {key}"))
            .call();
        if answer.is_ok_and(|answer| is_expected(status(&answer))) {
            return Some(Instant::now());
        }
        thread::sleep(POLL_INTERVAL);
    }
    None
}

/// Starts a streamed chat completion that lasts longer than a round.
fn open_stream(url: &str, key: &str) -> Result<Response, ureq::Error> {
    let body: Value = json!({
        "model": "test-model",
        "stream": true,
        "max_tokens": STREAM_TOKENS,
        "ignore_eos": true,
        "messages": [{ "role": "user", "content": "tell me everything" }],
    });
    agent(PROPAGATION_TIMEOUT * 2)
        .post(url)
        .header("Authorization", format!("Bearer {key}"))
        .header("Content-Type", "application/json")
        .send(body.to_string())
}

/// Reads a stream until it ends or fails, and returns that time.
fn read_to_end(response: Response) -> Option<Instant> {
    let mut reader = response.into_body().into_reader();
    let _ = std::io::copy(&mut reader, &mut std::io::sink());
    Some(Instant::now())
}
