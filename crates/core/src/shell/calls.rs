//! Table of the calls whose response is not complete.
//!
//! Holds the request bodies and the responders, so that the reducer handles only request
//! ids. The responder is what the response is sent through; the thread that runs a call
//! takes it out of the table, and while it is out, a refusal or a cancellation from the
//! reducer is noted in the table instead.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use jayreel_endpoint::CancelHandle;
use jayreel_model::{KeyHash, Refusal, RequestId};
use jayreel_scheduler::event::CallArrived;
use jayreel_server::{Operation, Responder};

/// The parts of a request that are sent to an endpoint or to another instance. The
/// caller's key is not among them, so it cannot leak that way.
pub(crate) struct RequestParts {
    /// HTTP method of the caller's request.
    pub(crate) method: String,
    /// Path with the query string.
    pub(crate) path: String,
    /// The request as the server parsed it.
    pub(crate) operation: Operation,
    /// Headers of the caller that are sent on to the endpoint.
    pub(crate) headers: Vec<(String, String)>,
    /// The body as the caller sent it.
    pub(crate) body: Vec<u8>,
}

struct OpenCall {
    parts: Arc<RequestParts>,
    arrived: CallArrived,
    arrived_at_ms: u64,
    /// `None` while a thread holds it for an attempt to serve the call.
    responder: Option<Responder>,
    /// Set while a request to an endpoint is in progress.
    cancel: Option<Box<dyn CancelHandle>>,
    cancelled: bool,
    /// A refusal that the reducer issued while a thread held the responder.
    refusal: Option<Refusal>,
}

/// All open calls of the instance, shared by the threads that serve them.
#[derive(Default)]
pub(crate) struct CallTable {
    calls: Mutex<HashMap<RequestId, OpenCall>>,
}

impl CallTable {
    fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, OpenCall>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of open calls, including those that peers forwarded here.
    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    /// Adds a call under `arrived.request_id`.
    pub(crate) fn insert(
        &self,
        now_ms: u64,
        parts: RequestParts,
        responder: Responder,
        arrived: CallArrived,
    ) {
        let id = arrived.request_id;
        let call = OpenCall {
            parts: Arc::new(parts),
            arrived,
            arrived_at_ms: now_ms,
            responder: Some(responder),
            cancel: None,
            cancelled: false,
            refusal: None,
        };
        self.lock().insert(id, call);
    }

    /// The arrival event of an open call, which is sent along when the call is forwarded.
    pub(crate) fn arrived(&self, id: RequestId) -> Option<CallArrived> {
        self.lock().get(&id).map(|call| call.arrived.clone())
    }

    /// Hash of the caller's key and time of arrival, in milliseconds of the instance's clock.
    /// `None` if the call is no longer open.
    pub(crate) fn origin(&self, id: RequestId) -> Option<(Option<KeyHash>, u64)> {
        self.lock()
            .get(&id)
            .map(|call| (call.arrived.key, call.arrived_at_ms))
    }

    /// Takes the responder out of the table for an attempt to serve the call. `None` if the
    /// call is no longer open or was cancelled. The thread must call
    /// [`CallTable::return_responder`] or [`CallTable::remove`] afterwards.
    pub(crate) fn take_responder(
        &self,
        id: RequestId,
    ) -> Option<(Arc<RequestParts>, Responder)> {
        let mut calls = self.lock();
        let call = calls.get_mut(&id).filter(|call| !call.cancelled)?;
        let responder = call.responder.take()?;
        Some((Arc::clone(&call.parts), responder))
    }

    /// Puts the responder back after an attempt that sent nothing to the caller. Sends the
    /// refusal that the reducer issued in the meantime, if there is one.
    pub(crate) fn return_responder(&self, id: RequestId, responder: Responder) {
        let mut calls = self.lock();
        let Some(call) = calls.get_mut(&id) else {
            return;
        };
        call.cancel = None;
        match call.refusal.take() {
            Some(refusal) => {
                calls.remove(&id);
                drop(calls);
                responder.refuse(&refusal);
            }
            None => call.responder = Some(responder),
        }
    }

    /// Stores the handle that cancels the request to the endpoint. If the call was cancelled
    /// before or is no longer open, the request is cancelled at once.
    pub(crate) fn set_cancel_handle(&self, id: RequestId, handle: Box<dyn CancelHandle>) {
        match self.lock().get_mut(&id) {
            Some(call) if !call.cancelled => call.cancel = Some(handle),
            _ => handle.cancel(),
        }
    }

    /// Cancels the request to the endpoint, or prevents it if it has not begun.
    pub(crate) fn cancel(&self, id: RequestId) {
        let handle = match self.lock().get_mut(&id) {
            Some(call) => {
                call.cancelled = true;
                call.cancel.take()
            }
            None => None,
        };
        if let Some(handle) = handle {
            handle.cancel();
        }
    }

    /// Removes a call whose response is complete or was aborted.
    pub(crate) fn remove(&self, id: RequestId) {
        self.lock().remove(&id);
    }

    /// Refuses a call. If a thread holds the responder, the refusal is sent when the thread
    /// returns it; it is dropped if the thread has begun to send a response.
    pub(crate) fn refuse(&self, id: RequestId, refusal: &Refusal) {
        let mut calls = self.lock();
        let Some(call) = calls.get_mut(&id) else {
            return;
        };
        match call.responder.take() {
            Some(responder) => {
                calls.remove(&id);
                drop(calls);
                responder.refuse(refusal);
            }
            None => call.refusal = Some(refusal.clone()),
        }
    }

    /// Sends a complete response and removes the call.
    pub(crate) fn reply(
        &self,
        id: RequestId,
        status: u16,
        headers: &[(String, String)],
        body: &[u8],
    ) {
        let responder = self.lock().remove(&id).and_then(|call| call.responder);
        let Some(mut responder) = responder else {
            return;
        };
        let sent = responder
            .head(status, headers)
            .and_then(|()| responder.chunk(body));
        match sent {
            Ok(()) => responder.close(),
            Err(_) => responder.abort(),
        }
    }
}
