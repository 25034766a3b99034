//! Notices that an endpoint has crashed, and which requests it was working on.
//!
//! A lost connection alone is no evidence: connections are reset for other reasons, and idle
//! ones are closed. An endpoint that accepts no connection right after one was lost counts as
//! crashed. All requests that were lost with it are suspects.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use jayreel_ledger::{EndpointRun, Fingerprint, RequestFingerprints, SharedSuspects};
use tokio::sync::Notify;

use crate::balance::{EndpointKey, Pick};
use crate::clock::{now_ms, pause};
use crate::edge::Edge;
use crate::edge::exchange::{
    CONNECT_TIMEOUT_MS, OutgoingRequest, keep_connection, probe_until_reachable,
};
use crate::edge::refusal::Refusal;
use crate::http_connection::HttpConnection;

/// Time in which the connections to a crashed endpoint are lost, in milliseconds. The requests on
/// them are then known together.
const LOSS_WINDOW_MS: u64 = 5;

/// Requests of one crash that are remembered. More than an endpoint runs and queues.
const MAX_SUSPECTS: usize = 256;

/// Longest wait until it is known whether an endpoint has crashed, in milliseconds: a connection
/// attempt and a round trip to the members.
const MAX_CHECK_MS: u64 = CONNECT_TIMEOUT_MS + 80;

/// Requests that were lost at endpoints, until it is known whether these have crashed.
#[derive(Debug, Default)]
pub(crate) struct LostRequests {
    by_endpoint: HashMap<EndpointKey, Loss>,
}

impl LostRequests {
    /// Notified once it is known whether an endpoint has crashed. `None` if nothing was lost there.
    fn check_of(&self, key: EndpointKey) -> Option<Rc<Notify>> {
        let loss = self.by_endpoint.get(&key)?;
        Some(Rc::clone(&loss.checked))
    }
}

/// Requests that were lost at one endpoint.
#[derive(Debug, Default)]
struct Loss {
    /// At most [`MAX_SUSPECTS`].
    requests: Vec<RequestFingerprints>,
    /// Notified once it is known whether the endpoint has crashed, and the members have counted.
    checked: Rc<Notify>,
}

impl Edge {
    /// Records that the connection to an endpoint was lost while it worked on a request, and
    /// finds out in the background whether the endpoint has crashed.
    pub(crate) fn record_lost_request(
        self: &Rc<Self>,
        pick: &Pick,
        outgoing: &OutgoingRequest,
    ) {
        log::info!(
            "event=request_lost request={} fingerprint={} family={} endpoint={}",
            outgoing.request_id,
            outgoing.fingerprints.exact,
            outgoing.fingerprints.family,
            pick.id
        );
        let mut lost = self.lost_requests.borrow_mut();
        let is_first = !lost.by_endpoint.contains_key(&pick.key);
        let loss = lost.by_endpoint.entry(pick.key).or_default();
        if loss.requests.len() < MAX_SUSPECTS {
            loss.requests.push(outgoing.fingerprints);
        }
        if is_first {
            let run = self.balancer.borrow().run(pick);
            tokio::task::spawn_local(check_for_crash(Rc::clone(self), pick.clone(), run));
        }
    }

    /// Refuses a request that has crashed too many endpoints. It has run, so the refusal does not
    /// say that it has not.
    pub(crate) fn check_crashes(
        &self,
        fingerprints: &RequestFingerprints,
    ) -> Result<(), Refusal> {
        match self.suspects.borrow().is_given_up(fingerprints) {
            true => Err(Refusal::outcome_unknown(
                StatusCode::BAD_GATEWAY,
                "crashes_endpoints",
            )),
            false => Ok(()),
        }
    }

    /// Waits until it is known whether the endpoint at which a request was just lost has crashed.
    /// Only requests that were lost in a crash before wait: they are likely to crash the next
    /// endpoint, too.
    pub(crate) async fn wait_for_crash_check(
        &self,
        key: EndpointKey,
        fingerprints: &RequestFingerprints,
    ) {
        if !self.suspects.borrow().is_suspect(fingerprints) {
            return;
        }
        let checked = self.lost_requests.borrow().check_of(key);
        if let Some(checked) = checked {
            let timeout = Duration::from_millis(MAX_CHECK_MS);
            // After the timeout the request is sent again without knowing.
            let _ = tokio::time::timeout(timeout, checked.notified()).await;
        }
    }

    /// Records that a request has ended well. It is no suspect any more, and neither is its family,
    /// unless that was given up.
    pub(crate) fn clear_suspicion(&self, fingerprints: &RequestFingerprints) {
        let mut suspects = self.suspects.borrow_mut();
        let cleared = suspects.record_good_end(now_ms(), fingerprints);
        drop(suspects);
        self.clear_at_members(cleared);
    }

    fn clear_at_members(&self, cleared: Vec<Fingerprint>) {
        if !cleared.is_empty() {
            self.members.clear_suspects(cleared);
        }
    }

    /// Takes the suspects of a member that were requested at `requested_ms`. Gives back to the
    /// members what this one has forgotten.
    pub(crate) fn apply_suspects(&self, requested_ms: u64, shared: SharedSuspects) {
        let mut suspects = self.suspects.borrow_mut();
        let forgotten = suspects.apply(requested_ms, shared);
        let cleared = suspects.clear_good_ends(now_ms());
        drop(suspects);
        self.clear_at_members(cleared);
        if !forgotten.is_empty() {
            log::info!("event=suspects_restored count={}", forgotten.len());
            self.members.restore_suspects(forgotten);
        }
    }
}

/// Connects to an endpoint at which requests were lost. If that fails, it has crashed.
async fn check_for_crash(edge: Rc<Edge>, pick: Pick, run: EndpointRun) {
    pause(LOSS_WINDOW_MS).await;
    let connected = HttpConnection::connect(pick.address, CONNECT_TIMEOUT_MS).await;
    let lost = edge
        .lost_requests
        .borrow_mut()
        .by_endpoint
        .remove(&pick.key);
    let Loss { requests, checked } = lost.unwrap_or_default();
    match connected {
        Ok(http_connection) => {
            log::info!(
                "event=connections_lost endpoint={} requests={}",
                pick.id,
                requests.len()
            );
            keep_connection(&edge, &pick, http_connection);
        }
        Err(error) => {
            edge.metrics.endpoint_crashed();
            let suspects = requests.iter().map(|request| request.exact.to_string());
            let suspects: Vec<String> = suspects.collect();
            log::warn!(
                "event=endpoint_crashed endpoint={} requests={} suspects={} reason={error:?}",
                pick.id,
                requests.len(),
                suspects.join(",")
            );
            probe_until_reachable(&edge, &pick);
            let report = edge
                .suspects
                .borrow()
                .crash_report(now_ms(), run, &requests);
            let crashes = edge.members.report_crash(&report).await;
            let mut suspects = edge.suspects.borrow_mut();
            let reported = report.requests.iter().chain(&report.families);
            for (fingerprint, crashes) in reported.zip(crashes) {
                // Counts as one crash at least if no member has responded.
                suspects.learn(now_ms(), *fingerprint, crashes.max(1));
            }
        }
    }
    checked.notify_waiters();
}
