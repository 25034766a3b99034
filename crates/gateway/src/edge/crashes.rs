//! Notices that an endpoint has crashed, and which requests it was working on.
//!
//! A lost connection alone is no evidence: connections are reset for other reasons, and idle
//! ones are closed. An endpoint that accepts no connection right after one was lost counts as
//! crashed. All requests that were lost with it are suspects.

use std::collections::HashMap;
use std::rc::Rc;

use jayreel_ledger::Fingerprint;

use crate::balance::{EndpointKey, Pick};
use crate::clock::pause;
use crate::edge::Edge;
use crate::edge::exchange::{
    CONNECT_TIMEOUT_MS, OutgoingRequest, keep_connection, probe_until_reachable,
};
use crate::http_connection::HttpConnection;

/// Time in which the connections to a crashed endpoint are lost, in milliseconds. The requests on
/// them are then known together.
const LOSS_WINDOW_MS: u64 = 5;

/// Requests of one crash that are remembered. More than an endpoint runs and queues.
const MAX_SUSPECTS: usize = 256;

/// Requests that were lost at endpoints, until it is known whether these have crashed.
#[derive(Debug, Default)]
pub(crate) struct LostRequests {
    /// At most [`MAX_SUSPECTS`] for each endpoint.
    by_endpoint: HashMap<EndpointKey, Vec<Fingerprint>>,
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
            "event=request_lost request={} fingerprint={} endpoint={}",
            outgoing.request_id,
            outgoing.fingerprint,
            pick.id
        );
        let mut lost = self.lost_requests.borrow_mut();
        let is_first = !lost.by_endpoint.contains_key(&pick.key);
        let requests = lost.by_endpoint.entry(pick.key).or_default();
        if requests.len() < MAX_SUSPECTS {
            requests.push(outgoing.fingerprint);
        }
        if is_first {
            tokio::task::spawn_local(check_for_crash(Rc::clone(self), pick.clone()));
        }
    }
}

/// Connects to an endpoint at which requests were lost. If that fails, it has crashed.
async fn check_for_crash(edge: Rc<Edge>, pick: Pick) {
    pause(LOSS_WINDOW_MS).await;
    let connected = HttpConnection::connect(pick.address, CONNECT_TIMEOUT_MS).await;
    let lost = edge
        .lost_requests
        .borrow_mut()
        .by_endpoint
        .remove(&pick.key);
    let requests = lost.unwrap_or_default();
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
            let suspects: Vec<String> =
                requests.iter().map(Fingerprint::to_string).collect();
            log::warn!(
                "event=endpoint_crashed endpoint={} requests={} suspects={} reason={error:?}",
                pick.id,
                requests.len(),
                suspects.join(",")
            );
            probe_until_reachable(&edge, &pick);
        }
    }
}
