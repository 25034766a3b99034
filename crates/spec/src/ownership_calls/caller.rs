//! Steps of the caller, of messages under way, and of the endpoint.

use super::model::CallsModel;
use super::world::{Message, Request, Response, State};
use crate::ownership::Step;

impl CallsModel {
    pub(super) fn caller_steps(&self, state: &State, steps: &mut Vec<(Step, State)>) {
        let may_send = (state.awaited_request.is_none() || !self.caller_waits)
            && !state.caller_has_stopped
            && state.action < self.actions
            && state.requests.len() < self.max_requests;
        if !may_send {
            return;
        }
        for at in 0..self.processes {
            if !state.processes[at].is_running {
                continue;
            }
            let mut next = state.clone();
            let request = next.requests.len();
            next.requests.push(Request {
                action: state.action,
                epoch: state.epoch,
                runs: 0,
                was_refused_as_not_run: false,
            });
            next.awaited_request = Some(request);
            next.messages.insert(Message::Call {
                request,
                at,
                forwarder: None,
            });
            steps.push((Step::new("caller sends", at, request), next));
        }
    }

    pub(super) fn message_steps(
        &self,
        state: &State,
        message: Message,
        steps: &mut Vec<(Step, State)>,
    ) {
        let mut next = state.clone();
        match message {
            Message::Call {
                request,
                at,
                forwarder,
            } => {
                next.messages.remove(&message);
                if next.processes[at].is_running {
                    self.receive(&next, request, at, forwarder, steps);
                }
            }
            Message::Handover => {
                self.import(&mut next);
                steps.push((Step::new("handover arrives", 1, 0), next));
            }
            Message::Endpoint { request, by } => {
                next.messages.remove(&message);
                next.run(request);
                self.on_endpoint_response(&mut next, by, request);
                steps.push((Step::new("endpoint runs", by, request), next));
            }
        }
    }

    /// The caller receives a response. It ignores responses to all but its newest request.
    fn deliver_response(&self, state: &mut State, request: usize, response: Response) {
        if state.awaited_request != Some(request) {
            return;
        }
        state.awaited_request = None;
        match response {
            Response::Done => {
                state.action += 1;
            }
            Response::NotRun => {}
            Response::Unknown(Some(epoch)) => state.epoch = Some(epoch),
            // A caller that waits for each response cannot find out the outcome, and stops.
            Response::Unknown(None) => state.caller_has_stopped = self.caller_waits,
        }
    }

    /// Sends a response to the caller, or to the instance that forwarded the call if there is
    /// one. That instance passes the response on unless its connection broke before.
    pub(super) fn respond(
        &self,
        state: &mut State,
        request: usize,
        forwarder: Option<usize>,
        response: Response,
    ) {
        match forwarder {
            Some(to) if state.remove_pending_call(to, request) => {
                self.respond(state, request, None, response);
            }
            // The connection of the forwarding instance broke before.
            Some(_) => {}
            None => {
                state.requests[request].was_refused_as_not_run |=
                    response == Response::NotRun;
                self.deliver_response(state, request, response);
            }
        }
    }
}

impl State {
    /// The endpoint runs a request.
    fn run(&mut self, request: usize) {
        let action = self.requests[request].action;
        self.requests[request].runs += 1;
        self.is_out_of_order |= action < self.highest_run_action;
        self.highest_run_action = self.highest_run_action.max(action);
    }

    /// Removes a pending call. Returns false if the process has none for this request.
    pub(super) fn remove_pending_call(&mut self, at: usize, request: usize) -> bool {
        let pending_calls = &mut self.process(at).pending_calls;
        let count_before = pending_calls.len();
        pending_calls.retain(|call| call.request != request);
        pending_calls.len() < count_before
    }
}
