//! Model of the home weight record: state of the whole system and its transitions.

use std::collections::BTreeMap;
use std::rc::Rc;

use jayreel_model::Incarnation;
use jayreel_quota::LoanGrant;
use jayreel_quota::home_weights::{HomeRecord, HomeStep, HomeWeight};

use crate::home_weights::{HomeFault, HomeScope, StoreCall, TICK_MS, TTL_TICKS};
use crate::home_weights_instance::{Instance, View, name, owner};

/// Distance between the start times of the clocks of two instances. It is large because the
/// protocol must not compare times of different clocks.
const CLOCK_OFFSET_MS: u64 = 1_000_000;

/// Number of calls to the store that may be under way at the same time.
pub(crate) const MAX_CALLS: usize = 2;

/// A registration in the store.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Registration {
    pub(crate) incarnation: Incarnation,
    pub(crate) expires_at_tick: u64,
}

/// State of the whole system. The counters tell how often an event may still occur.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct HomeWorld {
    pub(crate) scope: Rc<HomeScope>,
    pub(crate) tick: u64,
    /// The record in the store.
    pub(crate) record: Rc<HomeRecord>,
    pub(crate) revision: u64,
    pub(crate) registrations: BTreeMap<String, Registration>,
    pub(crate) instances: Vec<Instance>,
    /// Calls under way to the store, with the index and the incarnation of the sender.
    pub(crate) calls: Vec<(usize, Incarnation, StoreCall)>,
    /// Grants under way, with the index of the borrower.
    pub(crate) grants: Vec<(usize, LoanGrant)>,
    pub(crate) store_contacts: u8,
    pub(crate) abandoned_calls: u8,
    pub(crate) lost_responses: u8,
    pub(crate) clock_lags: u8,
    pub(crate) crashes: u8,
    pub(crate) restarts: u8,
    pub(crate) stops: u8,
    pub(crate) loans: u8,
    pub(crate) removals: u8,
}

impl HomeWorld {
    /// The initial state: all instances have just registered, have read the record, and use
    /// their weights.
    pub fn new(scope: HomeScope) -> HomeWorld {
        let mut world = HomeWorld {
            tick: 0,
            record: Rc::new(record(&scope)),
            revision: 1,
            registrations: BTreeMap::new(),
            instances: Vec::new(),
            calls: Vec::new(),
            grants: Vec::new(),
            store_contacts: scope.store_contacts,
            abandoned_calls: scope.abandoned_calls,
            lost_responses: scope.lost_responses,
            clock_lags: scope.clock_lags,
            crashes: scope.crashes,
            restarts: scope.restarts,
            stops: scope.stops,
            loans: scope.loans,
            removals: scope.removals,
            scope: Rc::new(scope),
        };
        for index in 0..world.scope.weights_ppm.len() {
            let now_ms = CLOCK_OFFSET_MS * (index as u64 + 1);
            let mut instance = Instance::new(index, 0, now_ms, &world.scope);
            world.register(&instance.owner.incarnation);
            instance.renewed_ms = Some(now_ms);
            let weight_ppm = world.scope.weights_ppm[index];
            instance.use_weight(weight_ppm, weight_ppm);
            instance.refresh_cached_usage();
            world.instances.push(instance);
        }
        for index in 0..world.instances.len() {
            world.read(index);
        }
        world
    }

    /// Registers or renews a process, unless another process of the same name is registered.
    pub(crate) fn register(&mut self, incarnation: &Incarnation) -> bool {
        let name = &incarnation.instance;
        let current = self.registrations.get(name);
        let is_available = current.is_none_or(|entry| entry.incarnation == *incarnation);
        if is_available {
            let expires_at_tick = self.tick + TTL_TICKS;
            let incarnation = incarnation.clone();
            let entry = Registration {
                incarnation,
                expires_at_tick,
            };
            self.registrations.insert(name.clone(), entry);
        }
        is_available
    }

    /// Advances the time by one tick, except for the clock of instance `lagging`.
    pub(crate) fn tick(&mut self, lagging: Option<usize>) {
        self.tick += 1;
        let tick = self.tick;
        self.registrations
            .retain(|_, entry| entry.expires_at_tick > tick);
        for (index, instance) in self.instances.iter_mut().enumerate() {
            if Some(index) != lagging {
                instance.now_ms += TICK_MS;
            }
        }
        for index in 0..self.scope.steady_instances {
            self.renew_and_read(index);
        }
    }

    /// A steady instance renews its registration and reads the record.
    pub(crate) fn renew_and_read(&mut self, index: usize) {
        let instance = &self.instances[index];
        let incarnation = instance.owner.incarnation.clone();
        if instance.alive && self.register(&incarnation) {
            let instance = &mut self.instances[index];
            instance.on_renewal_response(instance.now_ms, self.scope.fault);
            self.read(index);
        }
    }

    /// An instance reads the record and the registrations. Steady instances also note which
    /// registrations are absent.
    pub(crate) fn read(&mut self, index: usize) {
        let entries = self.registrations.iter();
        let registered: BTreeMap<String, Incarnation> = entries
            .map(|(name, entry)| (name.clone(), entry.incarnation.clone()))
            .collect();
        let instance = &mut self.instances[index];
        if index < self.scope.steady_instances {
            let now_ms = instance.now_ms;
            instance.absence.observe(now_ms, &self.record, &registered);
        }
        instance.view = Some(Rc::new(View {
            record: (*self.record).clone(),
            revision: self.revision,
            registered,
        }));
    }

    pub(crate) fn send_call(&mut self, index: usize, call: StoreCall) {
        let instance = &mut self.instances[index];
        instance.awaits_response = true;
        let incarnation = instance.owner.incarnation.clone();
        self.calls.push((index, incarnation, call));
    }

    pub(crate) fn renew(&mut self, index: usize) {
        let instance = &self.instances[index];
        let incarnation = instance.owner.incarnation.clone();
        let sent_ms = instance.now_ms;
        self.send_call(
            index,
            StoreCall::Renew {
                incarnation,
                sent_ms,
            },
        );
    }

    /// The store processes a call. Its sender ignores the response after it has restarted or
    /// stopped waiting.
    pub(crate) fn process_call(&mut self, position: usize, response_arrives: bool) {
        let (index, sender, call) = self.calls.remove(position);
        let succeeded = match &call {
            StoreCall::Renew { incarnation, .. } => self.register(incarnation),
            StoreCall::Write {
                revision,
                record,
                requires_absent,
            } => self.write(*revision, record, requires_absent),
        };
        let instance = &mut self.instances[index];
        let is_sender = instance.owner.incarnation == sender && instance.alive;
        if !is_sender || !instance.awaits_response {
            return;
        }
        instance.awaits_response = false;
        match call {
            StoreCall::Renew { sent_ms, .. } if response_arrives && succeeded => {
                instance.on_renewal_response(sent_ms, self.scope.fault);
            }
            _ => {}
        }
    }

    /// Writes the record if it has `revision` and none of the instances in `absent` is
    /// registered.
    pub(crate) fn write(
        &mut self,
        revision: u64,
        record: &HomeRecord,
        absent: &[String],
    ) -> bool {
        let is_present = absent
            .iter()
            .any(|name| self.registrations.contains_key(name));
        if revision != self.revision || is_present {
            return false;
        }
        self.record = Rc::new(record.clone());
        self.revision += 1;
        true
    }

    /// Executes the step that an instance plans, or a faulty one in its place.
    pub(crate) fn execute_next_step(&mut self, index: usize) {
        let fault = self.scope.fault;
        let instance = &mut self.instances[index];
        match instance.next_step(fault) {
            HomeStep::Wait => {}
            HomeStep::Use { weight_ppm, .. }
                if fault == Some(HomeFault::WriteBeforeReduce)
                    && weight_ppm < instance.held_ppm =>
            {
                self.write_reduced(index, weight_ppm);
            }
            HomeStep::Use {
                weight_ppm,
                settled_ppm,
            } => instance.use_weight(weight_ppm, settled_ppm),
            HomeStep::Write {
                mut record,
                requires_absent,
            } => {
                let own_ppm = record.weight_ppm(instance.name());
                if fault == Some(HomeFault::UseBeforeReadBack) {
                    instance.use_weight(own_ppm, 0);
                }
                let Some(view) = instance.view.clone() else {
                    return;
                };
                instance.apply_record_fault(&view.record, &mut record, fault);
                instance.last_write_on = Some(view.revision);
                let revision = view.revision;
                self.send_call(
                    index,
                    StoreCall::Write {
                        revision,
                        record,
                        requires_absent,
                    },
                );
            }
        }
    }

    /// Sends a write of a smaller weight without reducing the weight in use, for
    /// [`HomeFault::WriteBeforeReduce`].
    pub(crate) fn write_reduced(&mut self, index: usize, weight_ppm: u32) {
        let instance = &self.instances[index];
        let Some(view) = instance.view.clone() else {
            return;
        };
        let mut record = view.record.clone();
        if let Some(entry) = record.weights.get_mut(instance.name()) {
            entry.weight_ppm = weight_ppm;
        }
        let (revision, requires_absent) = (view.revision, Vec::new());
        self.send_call(
            index,
            StoreCall::Write {
                revision,
                record,
                requires_absent,
            },
        );
    }

    /// Counts a renewal or read by an instance that is not steady.
    pub(crate) fn count_store_contact(&mut self, index: usize) {
        if index >= self.scope.steady_instances {
            self.store_contacts -= 1;
        }
    }

    /// Whether record or registrations differ from what the instance read last.
    pub(crate) fn has_unread_changes(&self, instance: &Instance) -> bool {
        let Some(view) = &instance.view else {
            return true;
        };
        let known = view.registered.iter();
        let current = self.registrations.iter();
        let current = current.map(|(name, entry)| (name, &entry.incarnation));
        view.revision != self.revision || !known.eq(current)
    }

    /// Replaces the process of an instance by a new one without memory.
    pub(crate) fn restart(&mut self, index: usize) {
        let instance = &self.instances[index];
        let number = instance.owner.incarnation.number + 1;
        let now_ms = instance.now_ms;
        self.instances[index] = Instance::new(index, number, now_ms, &self.scope);
    }
}

/// The initial record, written by the first processes of all instances.
fn record(scope: &HomeScope) -> HomeRecord {
    let weights = scope.weights_ppm.iter().enumerate();
    let held = weights.filter(|(_, weight_ppm)| **weight_ppm > 0);
    let entries = held.map(|(index, weight_ppm)| {
        let owner = owner(index, 0);
        let entry = HomeWeight {
            weight_ppm: *weight_ppm,
            incarnation: owner.incarnation,
            address: owner.address,
            written_on: 0,
            settled_ppm: *weight_ppm,
        };
        (name(index), entry)
    });
    let record = HomeRecord {
        weights: entries.collect(),
        founder: None,
        released_ppm: 0,
    };
    HomeRecord {
        released_ppm: record.unassigned_ppm(),
        ..record
    }
}
