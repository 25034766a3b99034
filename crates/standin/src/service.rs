//! A plain HTTP service that echoes any request as JSON and counts how often each one was
//! handled.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use serde_json::json;

use crate::faults::FaultControls;
use crate::http::{HttpRequest, HttpResponse};
use crate::record::{Recorder, Runs};
use crate::server::{Handler, HttpServer, ResponseFuture};

/// Path at which every stand-in server reports its [`Runs`] as JSON.
pub const RUNS_PATH: &str = "/standin/runs";

/// Settings of a [`PlainService`].
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceSettings {
    /// Time that each request takes to handle, in milliseconds.
    pub work_ms: u64,
}

/// A running plain service. It echoes each request as JSON.
pub struct PlainService {
    server: HttpServer,
    recorder: Arc<Recorder>,
}

impl PlainService {
    /// Binds `address` (port 0: chosen by the system) and serves until closed.
    ///
    /// # Errors
    ///
    /// Any error of binding the address or starting the thread.
    pub fn start(
        address: SocketAddr,
        settings: ServiceSettings,
    ) -> io::Result<PlainService> {
        let recorder = Arc::new(Recorder::default());
        let handler = Arc::new(ServiceHandler {
            recorder: Arc::clone(&recorder),
            settings,
        });
        let server = HttpServer::start(address, handler)?;
        Ok(PlainService { server, recorder })
    }

    /// The bound address, with the port that the system chose.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the faults that this server injects.
    pub fn faults(&self) -> &Arc<FaultControls> {
        self.server.faults()
    }

    /// The requests handled so far, also those that were cancelled.
    pub fn runs(&self) -> Runs {
        self.recorder.runs()
    }

    /// Closes all connections and waits for the server thread to end.
    pub fn close(self) {
        self.server.close();
    }
}

struct ServiceHandler {
    recorder: Arc<Recorder>,
    settings: ServiceSettings,
}

impl Handler for ServiceHandler {
    fn handle(&self, request: HttpRequest) -> ResponseFuture<'_> {
        Box::pin(async move {
            match request.path.as_str() {
                RUNS_PATH => HttpResponse::json(StatusCode::OK, &self.recorder.runs()),
                _ => self.run(request).await,
            }
        })
    }
}

impl ServiceHandler {
    async fn run(&self, request: HttpRequest) -> HttpResponse {
        self.recorder.record(&request);
        let guard = CancelGuard::new(&self.recorder);
        tokio::time::sleep(Duration::from_millis(self.settings.work_ms)).await;
        guard.disarm();
        let echo = json!({
            "method": request.method.as_str(),
            "path": request.path,
            "query": request.query,
            "body": String::from_utf8_lossy(&request.body),
        });
        HttpResponse::json(StatusCode::OK, &echo)
    }
}

/// Records a cancelled request if it is dropped before [`Self::disarm`]. A handler's
/// future is dropped when the client closes the connection.
pub(crate) struct CancelGuard<'a> {
    recorder: &'a Recorder,
    armed: bool,
}

impl<'a> CancelGuard<'a> {
    pub(crate) fn new(recorder: &'a Recorder) -> CancelGuard<'a> {
        CancelGuard {
            recorder,
            armed: true,
        }
    }

    /// Marks the request as completed.
    pub(crate) fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.recorder.record_cancelled();
        }
    }
}
