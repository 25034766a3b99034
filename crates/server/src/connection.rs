//! Serves one connection with hyper and closes it without losing the last response.

use std::future::poll_fn;
use std::sync::Arc;

use futures::future::{BoxFuture, FutureExt};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::listener::Stage;
use crate::response::{BusyBody, IncompleteResponse, ResponseBody};
use crate::settings::ServerSettings;
use crate::timeout_stream::{ConnectionState, TimeoutStream, rejected_head_response};

/// Handles the requests that arrive at a [`Listener`](crate::listener::Listener).
pub(crate) trait HttpService: Send + Sync + 'static {
    /// Handles one request. On [`IncompleteResponse`] the connection is reset.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        stage: Stage,
    ) -> BoxFuture<'static, Result<Response<ResponseBody>, IncompleteResponse>>;
}

/// Serves one connection until the client closes it, a timeout passes or a response stays
/// incomplete.
pub(crate) async fn serve(
    stream: TcpStream,
    service: Arc<dyn HttpService>,
    settings: Arc<ServerSettings>,
    mut stage: watch::Receiver<Stage>,
) {
    let _ = stream.set_nodelay(true);
    let state = Arc::new(ConnectionState::new());
    let io = TimeoutStream::new(
        stream,
        Arc::clone(&state),
        Arc::clone(&settings),
        stage.clone(),
    );
    let request_state = Arc::clone(&state);
    let request_stage = stage.clone();
    let mut connection = http1::Builder::new()
        .half_close(false)
        .header_read_timeout(None)
        .max_headers(settings.max_headers)
        .max_header_size(settings.max_head_bytes)
        .serve_connection(
            TokioIo::new(io),
            service_fn(move |request| {
                let service = Arc::clone(&service);
                handle_request(
                    service,
                    Arc::clone(&request_state),
                    request_stage.clone(),
                    request,
                )
                .boxed()
            }),
        );
    let outcome = loop {
        tokio::select! {
            outcome = poll_fn(|context| connection.poll_without_shutdown(context)) => {
                break outcome;
            }
            // The idle timeout depends on the stage. The next poll recomputes it.
            Ok(()) = stage.changed() => {}
        }
    };
    let mut stream = connection.into_parts().io.into_inner().into_stream();
    if let Err(error) = outcome {
        log::debug!("event=connection_failed error={error:?}");
        if error.is_parse() && !state.has_request() {
            let response = rejected_head_response(error.is_parse_too_large());
            let written = stream.write_all(&response);
            let _ = tokio::time::timeout(settings.write_timeout(), written).await;
        }
    }
    close_gracefully(stream, &state, &settings).await;
}

async fn handle_request(
    service: Arc<dyn HttpService>,
    state: Arc<ConnectionState>,
    stage: watch::Receiver<Stage>,
    request: Request<Incoming>,
) -> Result<Response<BusyBody>, IncompleteResponse> {
    let busy = state.begin();
    let stage_at_start = *stage.borrow();
    let outcome = service.handle(request, stage_at_start).await;
    if outcome.is_err() {
        busy.state().mark_incomplete();
    }
    let mut response = outcome?;
    if *stage.borrow() != Stage::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response.map(|body| BusyBody::new(body, busy)))
}

/// Closes the connection. Closing a socket with unread input sends a reset, on which the
/// client may discard the last response before it has read it. So this shuts down the output
/// first and discards input until its end, for up to `linger_ms`.
async fn close_gracefully(
    mut stream: TcpStream,
    state: &ConnectionState,
    settings: &ServerSettings,
) {
    if state.has_incomplete_response() {
        // A reset signals the incomplete response also to HTTP/1.0 callers, for which a
        // regular close marks the end of the body.
        let _ = stream.set_zero_linger();
        return;
    }
    let discard = async {
        stream.shutdown().await?;
        let mut chunk = [0; 4096];
        while stream.read(&mut chunk).await? > 0 {}
        Ok::<(), std::io::Error>(())
    };
    let _ = tokio::time::timeout(settings.linger(), discard).await;
}
