//! Test harness: a scheduler with a small configuration, helpers that send it events, and
//! helpers that extract effects.

use std::sync::Arc;

use jayreel_model::{
    Configuration, Customer, CustomerKey, Endpoint, EndpointKind, EndpointState,
    Incarnation, KeyHash, Profile, Ran, Refusal, RefusalReason, RequestId, Route,
};
use jayreel_scheduler::effect::{Dispatch, Reply};
use jayreel_scheduler::event::{CallArrived, CallOperation, LoadReport, TokenUsage};
use jayreel_scheduler::program_admission::LocalPrograms;
use jayreel_scheduler::quota_admission::{QuotaAdmission, UnlimitedQuota};
use jayreel_scheduler::{
    Effect, Event, PolicySettings, Scheduler, SchedulerBuilder, SchedulerSettings,
};

pub const MODEL: &str = "m";
pub const LOCAL_ZONE: &str = "hobart-a";
pub const REMOTE_ZONE: &str = "glenorchy-b";

pub fn key(customer: &str) -> KeyHash {
    KeyHash::of_key(&format!("key of {customer}"))
}

pub fn endpoint(group: &str, slots: u32) -> Endpoint {
    Endpoint {
        kind: EndpointKind::ModelEngine,
        group: group.to_string(),
        availability_zone: LOCAL_ZONE.to_string(),
        address: "127.0.0.1:1".to_string(),
        models: Vec::new(),
        versions: Default::default(),
        adapters: Default::default(),
        slots,
        checks_fencing: false,
        state: EndpointState::Active,
    }
}

/// A model engine that serves [`MODEL`].
pub fn worker(slots: u32) -> Endpoint {
    Endpoint {
        models: vec![MODEL.to_string()],
        ..endpoint("drafting-models", slots)
    }
}

pub fn route(path_prefix: &str, repeatable: bool, open: bool) -> Route {
    Route {
        path_prefix: path_prefix.to_string(),
        group: "records-office".to_string(),
        repeatable,
        open,
    }
}

/// A configuration with customers of weight 1 and one model engine for each entry of
/// `worker_slots`, named `w0`, `w1` and so on.
pub fn configuration(customers: &[&str], worker_slots: &[u32]) -> Configuration {
    let mut configuration = Configuration {
        revision: 1,
        ..Configuration::default()
    };
    for name in customers {
        add_customer(&mut configuration, name, 1);
    }
    for (index, slots) in worker_slots.iter().enumerate() {
        let name = format!("w{index}");
        configuration.endpoints.insert(name, worker(*slots));
    }
    configuration
}

pub fn add_customer(configuration: &mut Configuration, name: &str, weight: u32) {
    let customer = Customer {
        rate_mreq_per_s: 10_000,
        burst_mreq: 10_000,
        weight,
    };
    let customer_key = CustomerKey {
        customer: name.to_string(),
        withdrawn: false,
    };
    configuration.customers.insert(name.to_string(), customer);
    configuration.keys.insert(key(name), customer_key);
}

pub fn chat(id: u64, customer: &str) -> CallArrived {
    CallArrived {
        request_id: RequestId(id),
        key: Some(key(customer)),
        profile: None,
        program: None,
        parent: None,
        turn: None,
        epoch: None,
        idempotency_key: None,
        was_forwarded: false,
        operation: CallOperation::Chat {
            model: MODEL.to_string(),
            max_tokens: Some(100),
            prompt_bound_tokens: 4_000,
            prefix_hashes: Vec::new(),
        },
    }
}

pub fn service(id: u64, customer: &str, path: &str) -> CallArrived {
    CallArrived {
        operation: CallOperation::Service {
            path: path.to_string(),
        },
        ..chat(id, customer)
    }
}

/// A scheduler with its configuration and clock. Each event advances the clock by 1 ms.
pub struct Harness {
    pub scheduler: Scheduler,
    pub configuration: Configuration,
    pub now_ms: u64,
}

impl Harness {
    pub fn new(configuration: Configuration, policies: PolicySettings) -> Harness {
        let quota = Box::new(UnlimitedQuota);
        Harness::with_quota(configuration, policies, quota)
    }

    pub fn with_quota(
        configuration: Configuration,
        policies: PolicySettings,
        quota: Box<dyn QuotaAdmission>,
    ) -> Harness {
        let incarnation = Incarnation {
            instance: "i1".to_string(),
            number: 1,
        };
        let mut settings = SchedulerSettings::new(incarnation, LOCAL_ZONE, 7);
        settings.policies = policies;
        let scheduler = SchedulerBuilder::new(settings)
            .programs(Box::<LocalPrograms>::default())
            .quota(quota)
            .build();
        let mut harness = Harness {
            scheduler,
            configuration,
            now_ms: 0,
        };
        harness.reconfigure(|_| {});
        harness
    }

    /// A harness with the customer `a` and the default policies.
    pub fn simple(worker_slots: &[u32]) -> Harness {
        let configuration = configuration(&["a"], worker_slots);
        Harness::new(configuration, PolicySettings::default())
    }

    pub fn apply(&mut self, event: Event) -> Vec<Effect> {
        self.now_ms += 1;
        self.scheduler.apply(self.now_ms, event)
    }

    pub fn reconfigure(
        &mut self,
        change: impl FnOnce(&mut Configuration),
    ) -> Vec<Effect> {
        self.configuration.revision += 1;
        change(&mut self.configuration);
        let configuration = Arc::new(self.configuration.clone());
        self.apply(Event::ConfigurationChanged(configuration))
    }

    pub fn arrive(&mut self, arrived: CallArrived) -> Vec<Effect> {
        self.apply(Event::CallArrived(Box::new(arrived)))
    }

    pub fn sent(&mut self, id: u64) {
        let request_id = RequestId(id);
        assert_eq!(self.apply(Event::CallSent { request_id }), []);
    }

    pub fn first_token(&mut self, id: u64) {
        let request_id = RequestId(id);
        assert_eq!(self.apply(Event::FirstToken { request_id }), []);
    }

    pub fn finish(&mut self, id: u64) -> Vec<Effect> {
        self.finish_with(id, None)
    }

    pub fn finish_with(&mut self, id: u64, usage: Option<TokenUsage>) -> Vec<Effect> {
        let request_id = RequestId(id);
        self.apply(Event::CallFinished { request_id, usage })
    }

    pub fn fail(&mut self, id: u64, ran: Ran, reason: RefusalReason) -> Vec<Effect> {
        self.apply(Event::CallFailed {
            request_id: RequestId(id),
            ran,
            reason,
            message: "the endpoint failed".to_string(),
        })
    }

    pub fn caller_gone(&mut self, id: u64) -> Vec<Effect> {
        let request_id = RequestId(id);
        self.apply(Event::CallerGone { request_id })
    }

    /// Advances the clock by `ms` and sends a tick.
    pub fn tick_after(&mut self, ms: u64) -> Vec<Effect> {
        self.now_ms += ms;
        self.apply(Event::Tick)
    }

    /// Sends a load report of an endpoint that has no waiting calls.
    pub fn report(&mut self, endpoint: &str, running: u32, age_ms: u64) -> Vec<Effect> {
        self.apply(Event::LoadReported {
            endpoint: endpoint.to_string(),
            report: LoadReport {
                running,
                waiting: 0,
                age_ms,
            },
        })
    }

    /// Opens a program for customer `a` and returns its token.
    pub fn open_program(&mut self, id: u64, parent: Option<&str>) -> String {
        let effects = self.arrive(CallArrived {
            parent: parent.map(str::to_string),
            operation: CallOperation::OpenProgram {
                budget_tokens: None,
            },
            ..chat(id, "a")
        });
        match effects.as_slice() {
            [
                Effect::Reply {
                    reply: Reply::ProgramOpened { token, .. },
                    ..
                },
            ] => token.clone(),
            other => panic!("expected an opened program, got {other:?}"),
        }
    }

    pub fn close_program(&mut self, id: u64, token: &str) -> Vec<Effect> {
        self.arrive(CallArrived {
            operation: CallOperation::CloseProgram {
                token: token.to_string(),
            },
            ..chat(id, "a")
        })
    }
}

pub fn profile_with(change: impl FnOnce(&mut Profile)) -> Profile {
    let mut profile = Profile::default();
    change(&mut profile);
    profile
}

pub fn dispatches(effects: &[Effect]) -> Vec<&Dispatch> {
    let dispatches = effects.iter().filter_map(|effect| match effect {
        Effect::Dispatch(dispatch) => Some(dispatch),
        _ => None,
    });
    dispatches.collect()
}

/// Ids of the dispatched calls, with the names of their endpoints.
pub fn dispatched_to(effects: &[Effect]) -> Vec<(u64, &str)> {
    let dispatches = dispatches(effects).into_iter();
    dispatches
        .map(|dispatch| (dispatch.request_id.0, dispatch.endpoint.as_str()))
        .collect()
}

/// Ids of the refused calls, with their refusals.
pub fn refusals(effects: &[Effect]) -> Vec<(u64, &Refusal)> {
    let refusals = effects.iter().filter_map(|effect| match effect {
        Effect::Refuse {
            request_id,
            refusal,
        } => Some((request_id.0, refusal)),
        _ => None,
    });
    refusals.collect()
}

/// Ids of the refused calls, with reason and whether they may have run.
pub fn refused(effects: &[Effect]) -> Vec<(u64, RefusalReason, Ran)> {
    let refusals = refusals(effects).into_iter();
    refusals
        .map(|(id, refusal)| (id, refusal.reason, refusal.ran))
        .collect()
}
