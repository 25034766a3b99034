//! Listeners for callers, readiness checks and metrics, and the graceful shutdown.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eyre::{OptionExt, WrapErr};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::clock::{now_ms, pause};
use crate::directory::MetadataStore;
use crate::edge::explain::{self, EXPLAIN_PATH};
use crate::edge::{Edge, call, sync};
use crate::http_connection::set_caller_timeouts;
use crate::protocol::CallProtocol;
use crate::settings::NodeSettings;

/// Length of the listen queue: connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Smallest buffer for a request head that hyper accepts, in bytes.
const MIN_HEAD_BUFFER_BYTES: usize = 8_192;

/// Pause after a failed accept, in milliseconds. Without it, running out of file descriptors
/// would cause a busy loop.
const ACCEPT_RETRY_MS: u64 = 20;

/// After a graceful shutdown begins, new connections are still accepted for this time, in
/// milliseconds: the load balancer reacts after two readiness checks, which are one second
/// apart.
const ACCEPT_AFTER_STOP_MS: u64 = 2_500;

/// Part of `Bounds::stop_ms` that is reserved for the exit of the process, in milliseconds.
const EXIT_RESERVE_MS: u64 = 800;

/// Interval at which the shutdown checks whether all connections are closed, in milliseconds.
const DRAIN_POLL_MS: u64 = 50;

/// Runs an entry instance until SIGTERM or SIGINT, then shuts it down gracefully: readiness checks
/// fail, connections close after their current request, and requests get a response before the
/// time is over (see [`crate::edge::shutdown`]).
///
/// # Errors
///
/// If the settings lack an address, an address cannot be bound or a signal handler cannot be
/// installed.
pub async fn run(
    settings: NodeSettings,
    store: Box<dyn MetadataStore>,
    protocol: Box<dyn CallProtocol>,
) -> eyre::Result<()> {
    let front = settings
        .front
        .ok_or_eyre("settings: the \"front\" listen address is missing")?;
    let ready = settings
        .ready
        .ok_or_eyre("settings: the \"ready\" listen address is missing")?;
    let metrics = settings.metrics;
    let stop_ms = settings.bounds.stop_ms;
    let edge = Rc::new(Edge::new(settings, store, protocol));
    let front = listen(front)?;
    let ready = listen(ready)?;
    let metrics = listen(metrics)?;
    log::info!("event=started role=edge name={}", edge.settings.name);
    sync::start(&edge);
    let (stopping, stage) = watch::channel(Stage::Serving);
    let accept_task =
        tokio::task::spawn_local(accept_calls(Rc::clone(&edge), front, stage));
    tokio::task::spawn_local(serve_readiness(Rc::clone(&edge), ready));
    let for_metrics = Rc::clone(&edge);
    let report = move |uri: &Uri| match uri.path() {
        EXPLAIN_PATH => explain::respond(&for_metrics, uri),
        _ => (StatusCode::OK, for_metrics.metrics_text()),
    };
    tokio::task::spawn_local(serve_text(metrics, report));
    wait_for_shutdown_signal().await?;
    let began_ms = now_ms();
    log::info!("event=stopping calls={}", edge.metrics.open_calls());
    let close_ms = began_ms + stop_ms.saturating_sub(EXIT_RESERVE_MS);
    edge.shutdown.begin(close_ms);
    // Fails only if no connection is open.
    let _ = stopping.send(Stage::Draining);
    pause(ACCEPT_AFTER_STOP_MS).await;
    let _ = stopping.send(Stage::Closing);
    // Fails only if the task has panicked.
    let _ = accept_task.await;
    while edge.metrics.open_connections() > 0 && now_ms() < close_ms {
        pause(DRAIN_POLL_MS).await;
    }
    log::info!("event=stopped calls={}", edge.metrics.open_calls());
    Ok(())
}

/// Returns on SIGTERM or SIGINT. SIGHUP, which requests a reload, is only logged: the settings
/// that may change at runtime are used only at startup.
pub(crate) async fn wait_for_shutdown_signal() -> eyre::Result<()> {
    let mut term =
        signal(SignalKind::terminate()).wrap_err("cannot install the SIGTERM handler")?;
    let mut interrupt =
        signal(SignalKind::interrupt()).wrap_err("cannot install the SIGINT handler")?;
    let mut hangup =
        signal(SignalKind::hangup()).wrap_err("cannot install the SIGHUP handler")?;
    loop {
        tokio::select! {
            _ = term.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => log::info!("event=reloaded changed=none"),
        }
    }
}

/// Opens a listening IPv4 socket with SO_REUSEADDR.
pub(crate) fn listen(address: SocketAddr) -> eyre::Result<TcpListener> {
    let socket = TcpSocket::new_v4().wrap_err("cannot open a socket")?;
    let option_set = socket.set_reuseaddr(true);
    option_set.wrap_err("cannot set SO_REUSEADDR")?;
    let bound = socket.bind(address);
    bound.wrap_err_with(|| format!("cannot bind {address}"))?;
    let listening = socket.listen(BACKLOG);
    listening.wrap_err_with(|| format!("cannot listen on {address}"))
}

/// Accepts the next connection, with TCP options that detect a silent peer. Errors are logged and
/// retried.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => match set_caller_timeouts(&stream) {
                Ok(()) => return stream,
                Err(error) => log::warn!("event=socket_option_failed reason={error}"),
            },
            Err(error) => {
                log::warn!("event=accept_failed reason={error}");
                pause(ACCEPT_RETRY_MS).await;
            }
        }
    }
}

/// Stage of a graceful shutdown. Never goes back to an earlier one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Stage {
    /// Normal operation.
    Serving,
    /// Connections are accepted, and responses ask callers to close theirs.
    Draining,
    /// No connections are accepted, and idle ones are closed.
    Closing,
}

/// Accepts callers' connections and serves each in its own task. Ends at [`Stage::Closing`], once
/// all connections that were established by then have been accepted.
async fn accept_calls(
    edge: Rc<Edge>,
    listener: TcpListener,
    mut stage: watch::Receiver<Stage>,
) {
    let for_connections = stage.clone();
    let serve = |stream| {
        let (edge, stage) = (Rc::clone(&edge), for_connections.clone());
        tokio::task::spawn_local(serve_connection(edge, stream, stage));
    };
    loop {
        tokio::select! {
            stream = accept(&listener) => serve(stream),
            _ = stage.wait_for(|stage| *stage == Stage::Closing) => break,
        }
    }
    let Ok(listener) = listener.into_std() else {
        return;
    };
    // Uses the socket directly, because tokio may have missed connections that were queued since.
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream
            .set_nonblocking(true)
            .and_then(|()| TcpStream::from_std(stream))
            .and_then(|stream| set_caller_timeouts(&stream).map(|()| stream));
        match stream {
            Ok(stream) => serve(stream),
            Err(error) => log::warn!("event=accept_failed reason={error}"),
        }
    }
}

/// Serves one caller's connection. While the instance drains, the connection closes after its next
/// response, so that few are idle when all of those are closed.
async fn serve_connection(
    edge: Rc<Edge>,
    stream: TcpStream,
    mut stage: watch::Receiver<Stage>,
) {
    let _open = edge.metrics.open_connection();
    let limits = edge.configuration().limits;
    let for_calls = Rc::clone(&edge);
    let service = service_fn(move |request| {
        let edge = Rc::clone(&for_calls);
        async move {
            let _open = edge.metrics.open_call();
            let mut response = call::handle_request(Rc::clone(&edge), request).await;
            // Without contact with the group for this long, the load balancer sends new
            // connections to other instances, so the caller should open one.
            let is_lost = edge.members.contact().is_out_of_rotation(now_ms());
            if is_lost || edge.is_stopping() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper applies this timeout also while the connection is idle.
        .header_read_timeout(Duration::from_millis(
            limits.idle_timeout_ms.max(limits.head_timeout_ms),
        ))
        .max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let close = stage.wait_for(|stage| *stage == Stage::Closing);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        _ = close => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("event=caller_connection_ended reason={error:?}");
    }
}

/// Responds to readiness checks on any path: 200 if callers should be sent here, otherwise 503.
async fn serve_readiness(edge: Rc<Edge>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        let edge = Rc::clone(&edge);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |_| {
                let status = match edge.is_ready() {
                    true => StatusCode::OK,
                    false => StatusCode::SERVICE_UNAVAILABLE,
                };
                text_response(status, String::new())
            });
            serve_http1(stream, service).await;
        });
    }
}

/// Responds to every request with the current result of `report` for its target. Used for metrics.
pub(crate) async fn serve_text(
    listener: TcpListener,
    report: impl Fn(&Uri) -> (StatusCode, String) + 'static,
) {
    let report = Rc::new(report);
    loop {
        let stream = accept(&listener).await;
        let report = Rc::clone(&report);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let (status, text) = report(request.uri());
                text_response(status, text)
            });
            serve_http1(stream, service).await;
        });
    }
}

/// Serves a connection that is not a caller's, with the default limits of hyper.
async fn serve_http1<S, F>(stream: TcpStream, service: S)
where
    S: hyper::service::Service<
            hyper::Request<hyper::body::Incoming>,
            Response = Response<Full<Bytes>>,
            Error = Infallible,
            Future = F,
        >,
    F: Future<Output = Result<Response<Full<Bytes>>, Infallible>>,
{
    let connection =
        http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("event=connection_ended reason={error:?}");
    }
}

async fn text_response(
    status: StatusCode,
    text: String,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    Ok(response)
}
