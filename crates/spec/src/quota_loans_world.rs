//! Model of loans between instances: state of the whole system and its transitions.

use std::rc::Rc;

use jayreel_quota::{LoanGrant, LoanRequest, Take};

use crate::quota_loans::{DEADLINE_TICKS, LoanFault, LoanMessage, LoanScope, TICK_MS};
use crate::quota_loans_instance::Instance;

/// Tokens of one call, in thousandths of a request.
const CALL_MREQ: u64 = 1_000;

/// State of the whole system. The counters tell how often an event may still occur.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LoanWorld {
    pub(crate) scope: Rc<LoanScope>,
    pub(crate) tick: u64,
    pub(crate) instances: Vec<Instance>,
    /// Messages under way, with the index of the receiver. Sorted, since states that differ
    /// only in the order of messages are equivalent.
    pub(crate) messages: Vec<(usize, LoanMessage)>,
    /// Requests that were granted while the lender has not reduced its share yet, with the
    /// index of the lender. Only with [`LoanFault::ReduceAfterGrant`].
    pub(crate) reductions: Vec<(usize, LoanRequest)>,
    pub(crate) loan_requests: u8,
    pub(crate) delayed_calls: u8,
    pub(crate) duplicates: u8,
    pub(crate) restarts: u8,
    pub(crate) clock_lags: u8,
    /// Calls sent in a window minus rate × length of the window, in thousandths of a request:
    /// the largest value over all windows that end now. Must not exceed the burst.
    pub(crate) excess_mreq: u64,
    /// Whether all instances use the lowered contract and no call from before is unsent.
    pub(crate) contract_lowered: bool,
}

impl LoanWorld {
    /// The initial state, with full buckets.
    pub fn new(scope: LoanScope) -> LoanWorld {
        let scope = Rc::new(scope);
        let count = scope.weights_ppm.len();
        let instances = (0..count)
            .map(|index| Instance::new(&scope, index))
            .collect();
        LoanWorld {
            loan_requests: scope.loan_requests,
            delayed_calls: scope.delayed_calls,
            duplicates: scope.duplicates,
            restarts: scope.restarts,
            clock_lags: scope.clock_lags,
            scope,
            tick: 0,
            instances,
            messages: Vec::new(),
            reductions: Vec::new(),
            excess_mreq: 0,
            contract_lowered: false,
        }
    }

    pub(crate) fn has(&self, fault: LoanFault) -> bool {
        self.scope.fault == Some(fault)
    }

    /// Rate and burst of the contract.
    pub(crate) fn contract(&self) -> (u64, u64) {
        let divisor = if self.contract_lowered { 2 } else { 1 };
        (
            self.scope.rate_mreq_per_s / divisor,
            self.scope.burst_mreq / divisor,
        )
    }

    /// Advances the time by one tick, except for the clock of instance `lagging`.
    pub(crate) fn tick(&mut self, lagging: Option<usize>) {
        self.tick += 1;
        let passed_mreq = self.contract().0 * TICK_MS / 1_000;
        self.excess_mreq = self.excess_mreq.saturating_sub(passed_mreq);
        let reads_clock_on_events = self.scope.reads_clock_on_events;
        for (index, instance) in self.instances.iter_mut().enumerate() {
            if Some(index) == lagging {
                continue;
            }
            instance.now_ms += TICK_MS;
            if !reads_clock_on_events {
                Rc::make_mut(&mut instance.quota).expire(instance.now_ms);
            }
        }
    }

    /// A call takes a token and is not sent yet.
    pub(crate) fn take(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        let now_ms = instance.take_ms();
        let key = instance.key();
        let take = Rc::make_mut(&mut instance.quota).take(now_ms, key);
        assert_eq!(take, Take::Taken, "the event is only possible with a token");
        instance.unsent_ms.push(instance.now_ms);
    }

    /// Sends the call that took its token last.
    pub(crate) fn send_newest(&mut self, index: usize) {
        let position = self.instances[index].unsent_ms.len() - 1;
        self.send(index, position);
    }

    /// Sends the call at `position` of the unsent calls.
    pub(crate) fn send(&mut self, index: usize, position: usize) {
        let instance = &mut self.instances[index];
        let taken_ms = instance.unsent_ms.remove(position);
        let (now_ms, key) = (instance.now_ms, instance.key());
        instance.quota_mut().sent(now_ms, key, taken_ms);
        self.excess_mreq += CALL_MREQ;
    }

    /// Gives back the token of the oldest unsent call.
    pub(crate) fn give_back(&mut self, index: usize) {
        let late_refund = self.has(LoanFault::LateRefund);
        let instance = &mut self.instances[index];
        let mut taken_ms = instance.unsent_ms.remove(0);
        let (now_ms, key) = (instance.now_ms, instance.key());
        if late_refund && let Some(newest_ms) = instance.unsent_ms.last() {
            taken_ms = *newest_ms;
        }
        instance.quota_mut().give_back(now_ms, key, taken_ms);
    }

    pub(crate) fn request_loan(&mut self, index: usize, peer: usize) {
        self.loan_requests -= 1;
        if let Some(request) = self.instances[index].request_loan() {
            self.post(peer, LoanMessage::Request(request));
        }
    }

    pub(crate) fn post(&mut self, to: usize, message: LoanMessage) {
        self.messages.push((to, message));
        self.messages.sort();
    }

    /// Delivers the message at `position`. With `keep_copy` a copy stays under way.
    pub(crate) fn deliver(&mut self, position: usize, keep_copy: bool) {
        let (to, message) = match keep_copy {
            true => self.messages[position].clone(),
            false => self.messages.remove(position),
        };
        match message {
            LoanMessage::Request(request) => self.lend(to, &request),
            LoanMessage::Grant(grant) => self.receive(to, grant),
            LoanMessage::Return(returned) => {
                let instance = &mut self.instances[to];
                let now_ms = instance.now_ms;
                instance.quota_mut().accept_return(now_ms, &returned);
            }
        }
    }

    /// Instance `to` responds to a loan request, and sends a grant unless the loan is 0.
    pub(crate) fn lend(&mut self, to: usize, request: &LoanRequest) {
        let reduces_later = self.has(LoanFault::ReduceAfterGrant);
        let instance = &mut self.instances[to];
        let now_ms = instance.now_ms;
        let before = Rc::clone(&instance.quota);
        let grant = instance.quota_mut().lend(now_ms, request);
        if grant.weight_ppm == 0 {
            return;
        }
        if reduces_later {
            instance.quota = before;
            self.reductions.push((to, request.clone()));
        }
        let borrower = self.index_of(&request.id.borrower);
        self.post(borrower, LoanMessage::Grant(grant));
    }

    /// The borrower receives a grant.
    pub(crate) fn receive(&mut self, to: usize, mut grant: LoanGrant) {
        let accepts_as_new = self.has(LoanFault::TermFromReceipt)
            || self.has(LoanFault::DuplicateAccepted);
        let uses_absolute_amounts = self.has(LoanFault::AbsoluteAmounts);
        let instance = &mut self.instances[to];
        if accepts_as_new && let Some(request) = instance.request_loan() {
            grant.id = request.id;
        }
        if uses_absolute_amounts && instance.contract_lowered {
            grant.weight_ppm *= 2;
        }
        let now_ms = instance.now_ms;
        instance.quota_mut().receive(now_ms, grant);
    }

    /// An instance begins a planned stop and returns its loans.
    pub(crate) fn return_loans(&mut self, index: usize) {
        let keeps_using = self.has(LoanFault::ReturnKeptInUse);
        let instance = &mut self.instances[index];
        let now_ms = instance.now_ms;
        let before = Rc::clone(&instance.quota);
        let returns = instance.quota_mut().return_loans(now_ms);
        instance.stopping = true;
        if keeps_using {
            instance.quota = before;
        }
        for returned in returns {
            let lender = self.index_of(&returned.lender);
            self.post(lender, LoanMessage::Return(returned));
        }
    }

    /// Index of the instance with this incarnation.
    pub(crate) fn index_of(&self, incarnation: &str) -> usize {
        let (index, _) = incarnation
            .split_once('.')
            .expect("incarnations have the form INDEX.STARTS");
        index.parse().expect("the index is a number")
    }

    pub(crate) fn restart(&mut self, index: usize) {
        self.restarts -= 1;
        let backdated = self.has(LoanFault::RestartWithoutDelay);
        self.instances[index].restart(&self.scope, index, backdated);
    }

    /// Begins to check the lowered contract once all instances use it and no call from before
    /// is unsent.
    pub(crate) fn finish_contract_change(&mut self) {
        let all_lowered = self
            .instances
            .iter()
            .all(|instance| instance.contract_lowered);
        let none_unsent = self
            .instances
            .iter()
            .all(|instance| instance.unsent_ms.is_empty());
        if all_lowered && none_unsent && !self.contract_lowered {
            self.contract_lowered = true;
            self.excess_mreq = 0;
        }
    }

    /// Capacity that an instance uses: that of its weight, or that of the calls which it may
    /// still send, whichever is larger.
    pub(crate) fn in_use_mreq(&self, instance: &Instance) -> u64 {
        let weight_ppm = u64::from(instance.summary.weight_ppm);
        let capacity_mreq = weight_ppm * self.contract().1 / 1_000_000;
        let deadline_ms = DEADLINE_TICKS * TICK_MS;
        let sendable = instance
            .unsent_ms
            .iter()
            .filter(|&&taken_ms| instance.now_ms - taken_ms <= deadline_ms)
            .count() as u64;
        capacity_mreq.max(sendable * CALL_MREQ)
    }
}
