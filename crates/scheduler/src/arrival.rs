//! Handling of an arriving call: checks, program admission, overload admission and queueing.

use jayreel_model::{Refusal, RefusalReason};

use crate::call::{Call, CallKey, CallState, Running, Target};
use crate::check::CheckedCall;
use crate::effect::Effect;
use crate::event::{CallArrived, CallOperation};
use crate::group::GroupKey;
use crate::policy::AdmissionRequest;
use crate::program_admission::{ProgramCall, ProgramDecision, ProgramGrant};
use crate::scheduler::{Scheduler, refuse};

/// Average number of bytes per token of ordinary text. Used to estimate the length of a
/// prompt, of which only the upper bound from its bytes is known.
const BYTES_PER_TOKEN: u64 = 4;

impl Scheduler {
    /// Checks a call and then queues, forwards, answers or refuses it. A repeated request id
    /// is ignored.
    pub(crate) fn handle_arrival(
        &mut self,
        now_ms: u64,
        arrived: CallArrived,
        out: &mut Vec<Effect>,
    ) {
        let request_id = arrived.request_id;
        if self.calls_by_id.contains_key(&request_id) {
            return;
        }
        let checked = match self.check(now_ms, &arrived) {
            Ok(checked) => checked,
            Err(refusal) => return refuse(out, request_id, refusal),
        };
        let decision = self.programs.admit(
            now_ms,
            ProgramCall {
                arrived: &arrived,
                customer: checked.customer.as_deref(),
                profile_name: &checked.profile_name,
                profile: &checked.profile,
                max_tokens: checked.max_tokens,
                repeatable: checked.repeatable,
            },
        );
        let key = self.insert_call(now_ms, &arrived, checked);
        self.apply_program_decision(now_ms, key, decision, out);
    }

    fn insert_call(
        &mut self,
        now_ms: u64,
        arrived: &CallArrived,
        checked: CheckedCall,
    ) -> CallKey {
        let (prompt_bound, prefix_hashes) = match &arrived.operation {
            CallOperation::Chat {
                prompt_bound_tokens,
                prefix_hashes,
                ..
            } => (*prompt_bound_tokens, prefix_hashes.clone()),
            _ => (0, Vec::new()),
        };
        let customer = checked.customer.as_deref();
        self.last_sequence += 1;
        let key = self.calls.insert(Call {
            request_id: arrived.request_id,
            key: checked.key,
            customer: customer.and_then(|name| self.customers.find(name)),
            target: checked.target.unwrap_or(Target::Group(String::new())),
            class: checked.profile.class,
            max_tokens: checked.max_tokens,
            prompt_tokens: prompt_bound / BYTES_PER_TOKEN,
            prefix_hashes,
            response_headers: Vec::new(),
            repeatable: checked.repeatable,
            sequence: self.last_sequence,
            waiting_since_ms: now_ms,
            max_wait_ms: checked.profile.max_wait_ms,
            program: None,
            in_program_admission: false,
            quota_taken_at_ms: None,
            over_rate_since_ms: None,
            rate_retry_after_ms: 0,
            failed_attempts: 0,
            avoid_endpoint: None,
            may_have_run: false,
            state: CallState::AwaitingProgram,
        });
        self.calls_by_id.insert(arrived.request_id, key);
        key
    }

    /// Applies what program admission has decided since the last event, and releases the
    /// cache of programs that have ended.
    pub(crate) fn apply_program_changes(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        loop {
            let changes = self.programs.take_changes(now_ms);
            if changes.decided.is_empty() && changes.ended.is_empty() {
                return;
            }
            for (request_id, decision) in changes.decided {
                if let Some(key) = self.calls_by_id.get(&request_id).copied() {
                    self.apply_program_decision(now_ms, key, decision, out);
                }
            }
            for tag in changes.ended {
                out.extend(self.program_ended(now_ms, &tag));
                let releases = self
                    .program_table
                    .end_program(&tag, self.retention_policy.as_mut());
                self.request_releases(now_ms, releases, out);
            }
        }
    }

    /// The `ProgramEnded` effect if the program with this cache tag is a root program.
    fn program_ended(&self, now_ms: u64, tag: &str) -> Option<Effect> {
        let root = self.program_table.ending_root(tag)?;
        let customer = root.customer.and_then(|id| self.customers.name(id));
        Some(Effect::ProgramEnded {
            customer: customer.unwrap_or_default().to_string(),
            class: root.class,
            lasted_ms: now_ms.saturating_sub(root.started_at_ms),
        })
    }

    fn apply_program_decision(
        &mut self,
        now_ms: u64,
        key: CallKey,
        decision: ProgramDecision,
        out: &mut Vec<Effect>,
    ) {
        let call = &mut self.calls[key];
        let request_id = call.request_id;
        call.in_program_admission = matches!(
            decision,
            ProgramDecision::Proceed(_) | ProgramDecision::Wait
        );
        match decision {
            ProgramDecision::Proceed(grant) => self.admit_call(now_ms, key, grant, out),
            ProgramDecision::Wait => {}
            ProgramDecision::Forward { to } => {
                call.state = CallState::Running(Running {
                    slot: None,
                    sent: false,
                    response_started: false,
                    cancelled: false,
                });
                out.push(Effect::Forward { request_id, to });
            }
            ProgramDecision::Refuse(refusal) => {
                self.refuse_waiting(now_ms, key, refusal, out)
            }
            ProgramDecision::Reply(reply) => {
                self.remove_call(now_ms, key, None, out);
                out.push(Effect::Reply { request_id, reply });
            }
        }
    }

    /// Queues a call that program admission lets run, unless its group is overloaded.
    fn admit_call(
        &mut self,
        now_ms: u64,
        key: CallKey,
        grant: ProgramGrant,
        out: &mut Vec<Effect>,
    ) {
        let call = &mut self.calls[key];
        call.max_tokens = grant.max_tokens;
        call.response_headers = grant.response_headers;
        call.program = grant.program.map(|identity| {
            let retention = self.retention_policy.as_mut();
            let (class, customer) = (call.class, call.customer);
            self.program_table
                .begin_call(now_ms, &identity, class, customer, retention)
        });
        let call = &self.calls[key];
        let admitted = self
            .group_for(&call.target)
            .and_then(|group| self.check_admission(group, call));
        if let Err(refusal) = admitted {
            return self.refuse_waiting(now_ms, key, refusal, out);
        }
        self.enqueue(now_ms, key, out);
    }

    /// Applies the admission policy to a call for the group.
    fn check_admission(&self, group: GroupKey, call: &Call) -> Result<(), Refusal> {
        let expected_wait_ms = self.expected_wait_ms(group, call.customer);
        let admitted = self.admission_policy.admits(&AdmissionRequest {
            expected_wait_ms,
            max_wait_ms: call.max_wait_ms,
        });
        match admitted {
            true => Ok(()),
            false => {
                let refusal = Refusal::not_run(
                    RefusalReason::Overloaded,
                    "the expected wait exceeds the profile's limit",
                );
                Err(refusal.retry_after_ms(self.retry_after_ms(group, call.customer)))
            }
        }
    }

    /// Adds a call to the queue of the group that serves it. Refuses the call if there is
    /// no such group.
    pub(crate) fn enqueue(&mut self, now_ms: u64, key: CallKey, out: &mut Vec<Effect>) {
        match self.group_for(&self.calls[key].target) {
            Ok(group) => {
                let call = &mut self.calls[key];
                call.state = CallState::Waiting { group };
                let flow = self.groups[group].flow(call.customer);
                self.groups[group].queue.push(flow, key);
            }
            Err(refusal) => self.refuse_waiting(now_ms, key, refusal, out),
        }
    }
}
