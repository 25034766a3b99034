//! Random sequences of calls, loans, lost and repeated messages, and restarts in a fleet
//! of three instances.

mod support;

use jayreel_quota::{LoanGrant, LoanRequest, LoanReturn, Quota, QuotaSettings, Take};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::{contracts, key};

const RATE_MREQ_PER_S: u64 = 3_000;
const BURST_MREQ: u64 = 9_000;
const WEIGHTS_PPM: [u32; 3] = [500_000, 300_000, 200_000];
const WARM_MS: u64 = 1_000_000;

#[derive(Clone, Debug)]
enum Event {
    Advance(u64),
    Take(usize),
    Send(usize),
    GiveBack(usize),
    Ask(usize, usize),
    Deliver(usize),
    Duplicate(usize),
    EndLoans(usize),
    Return(usize),
    Restart(usize),
}

#[derive(Clone, Debug)]
enum Message {
    Request(LoanRequest),
    Grant(LoanGrant),
    Return(LoanReturn),
}

struct Fleet {
    now_ms: u64,
    quotas: Vec<Quota>,
    /// Number of restarts, which also numbers the incarnations.
    starts: u64,
    /// For each instance, the times of calls that were taken and are not sent.
    unsent: Vec<Vec<u64>>,
    /// Messages under way, with the index of their receiver.
    messages: Vec<(usize, Message)>,
    /// Times at which calls were sent.
    sent_ms: Vec<u64>,
}

fn start(index: usize, number: u64, now_ms: u64) -> Quota {
    let mut quota = Quota::new(QuotaSettings::new(format!("{index}.{number}")));
    quota.set_customers(now_ms, &contracts(RATE_MREQ_PER_S, BURST_MREQ));
    quota.set_home_weight(now_ms, WEIGHTS_PPM[index], u64::MAX);
    quota
}

fn instance_index(incarnation: &str) -> usize {
    usize::from(incarnation.as_bytes()[0] - b'0')
}

impl Fleet {
    fn new() -> Fleet {
        let mut quotas: Vec<Quota> = (0..3).map(|index| start(index, 0, 0)).collect();
        quotas.iter_mut().for_each(|quota| quota.expire(WARM_MS));
        Fleet {
            now_ms: WARM_MS,
            quotas,
            starts: 0,
            unsent: vec![Vec::new(); 3],
            messages: Vec::new(),
            sent_ms: Vec::new(),
        }
    }

    fn apply(&mut self, event: Event) {
        let now_ms = self.now_ms;
        match event {
            Event::Advance(by_ms) => self.now_ms += by_ms,
            Event::Take(index) => {
                let key = key(&self.quotas[index]);
                if self.quotas[index].take(now_ms, key) == Take::Taken {
                    self.unsent[index].push(now_ms);
                }
            }
            Event::Send(index) => self.send(index),
            Event::GiveBack(index) => {
                if let Some(taken_ms) = self.unsent[index].pop() {
                    let key = key(&self.quotas[index]);
                    self.quotas[index].give_back(now_ms, key, taken_ms);
                }
            }
            Event::Ask(index, peer) => {
                let key = key(&self.quotas[index]);
                if let Some(request) = self.quotas[index].loan_request(now_ms, key) {
                    self.messages.push((peer, Message::Request(request)));
                }
            }
            Event::Deliver(position) => self.deliver(position, false),
            Event::Duplicate(position) => self.deliver(position, true),
            Event::EndLoans(index) => {
                let returns = self.quotas[index].return_expiring_loans(now_ms);
                self.post_returns(returns);
            }
            Event::Return(index) => {
                let returns = self.quotas[index].return_loans(now_ms);
                self.post_returns(returns);
            }
            Event::Restart(index) => {
                self.starts += 1;
                self.quotas[index] = start(index, self.starts, now_ms);
                self.unsent[index].clear();
            }
        }
    }

    fn post_returns(&mut self, returns: Vec<LoanReturn>) {
        for returned in returns {
            let lender = instance_index(&returned.lender);
            self.messages.push((lender, Message::Return(returned)));
        }
    }

    fn send(&mut self, index: usize) {
        let Some(taken_ms) = self.unsent[index].pop() else {
            return;
        };
        let key = key(&self.quotas[index]);
        if self.now_ms - taken_ms > 1_000 {
            self.quotas[index].give_back(self.now_ms, key, taken_ms);
            return;
        }
        self.quotas[index].sent(self.now_ms, key, taken_ms);
        self.sent_ms.push(self.now_ms);
    }

    fn deliver(&mut self, position: usize, keep: bool) {
        if self.messages.is_empty() {
            return;
        }
        let position = position % self.messages.len();
        let (to, message) = match keep {
            true => self.messages[position].clone(),
            false => self.messages.remove(position),
        };
        let (now_ms, quota) = (self.now_ms, &mut self.quotas[to]);
        match message {
            Message::Request(request) => {
                let borrower = instance_index(&request.id.borrower);
                let grant = quota.lend(now_ms, &request);
                self.messages.push((borrower, Message::Grant(grant)));
            }
            Message::Grant(grant) => {
                quota.receive(now_ms, grant);
            }
            Message::Return(returned) => {
                quota.accept_return(now_ms, &returned);
            }
        }
    }

    /// Sum of the weights in use by all instances.
    fn weight_ppm(&mut self) -> u32 {
        let now_ms = self.now_ms;
        let quotas = self.quotas.iter_mut();
        quotas.map(|quota| support::weight_ppm(quota, now_ms)).sum()
    }

    /// The largest number of calls beyond rate × T in any window of length T, in
    /// microrequests.
    fn excess_ureq(&self) -> u64 {
        let mut excess_ureq: u64 = 0;
        let mut most_ureq = 0;
        let mut last_ms = WARM_MS;
        for &sent_ms in &self.sent_ms {
            let passed_ureq = (sent_ms - last_ms) * RATE_MREQ_PER_S;
            excess_ureq = excess_ureq.saturating_sub(passed_ureq) + 1_000_000;
            most_ureq = most_ureq.max(excess_ureq);
            last_ms = sent_ms;
        }
        most_ureq
    }
}

fn event() -> impl Strategy<Value = Event> {
    let instance = 0..3usize;
    let pair = (instance.clone(), 1..3usize);
    prop_oneof![
        6 => prop_oneof![0..50u64, 0..1_000u64, 0..4_000u64].prop_map(Event::Advance),
        10 => instance.clone().prop_map(Event::Take),
        8 => instance.clone().prop_map(Event::Send),
        1 => instance.clone().prop_map(Event::GiveBack),
        8 => pair.prop_map(|(index, by)| Event::Ask(index, (index + by) % 3)),
        10 => any::<usize>().prop_map(Event::Deliver),
        2 => any::<usize>().prop_map(Event::Duplicate),
        4 => instance.clone().prop_map(Event::EndLoans),
        1 => instance.clone().prop_map(Event::Return),
        1 => instance.prop_map(Event::Restart),
    ]
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(42),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against any order of events in which a customer sends more than burst +
    /// rate × T calls in a window of length T, or the weights in use sum to more than the
    /// contract.
    #[test]
    fn no_customer_exceeds_contract(events in prop::collection::vec(event(), 1..300)) {
        let mut fleet = Fleet::new();
        for event in events {
            fleet.apply(event);
            prop_assert!(fleet.weight_ppm() <= 1_000_000);
        }
        prop_assert!(fleet.excess_ureq() <= BURST_MREQ * 1_000);
    }

    /// Guards against a paused process that gains tokens: after the pause its state must
    /// be the same as if it had been updated all the time.
    #[test]
    fn a_pause_changes_no_state(steps in prop::collection::vec(1..3_000u64, 1..20)) {
        let (mut fleet, mut paused) = (Fleet::new(), Fleet::new());
        for fleet in [&mut fleet, &mut paused] {
            for _ in 0..9 {
                fleet.apply(Event::Take(0));
                fleet.apply(Event::Send(0));
                fleet.apply(Event::Ask(0, 1));
                fleet.apply(Event::Deliver(0));
                fleet.apply(Event::Deliver(0));
            }
        }
        let total_ms: u64 = steps.iter().sum();
        for step_ms in steps {
            fleet.apply(Event::Advance(step_ms));
            fleet.quotas.iter_mut().for_each(|quota| quota.expire(fleet.now_ms));
        }
        paused.apply(Event::Advance(total_ms));
        paused.quotas.iter_mut().for_each(|quota| quota.expire(paused.now_ms));
        prop_assert!(fleet.quotas == paused.quotas);
    }
}
