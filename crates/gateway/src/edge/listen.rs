//! Connections of callers, of the balancer and of those who read metrics; the planned stop.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eyre::{OptionExt, WrapErr};
use http_body_util::Full;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::clock::{now_ms, pause};
use crate::directory::MetadataStore;
use crate::edge::{Edge, call, sync};
use crate::http_connection::set_caller_timeouts;
use crate::protocol::CallProtocol;
use crate::settings::NodeSettings;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Smallest buffer for a head that hyper takes, in bytes.
const LEAST_HEAD_BYTES: usize = 8_192;

/// Pause after a failed accept, in milliseconds, so that a lack of descriptors does not turn
/// into a busy loop.
const ACCEPT_PAUSE_MS: u64 = 20;

/// After a planned stop begins, new connections are still taken for this time, in
/// milliseconds: the balancer notices within two of its looks, which are a second apart.
const STOP_NOTICE_MS: u64 = 2_500;

/// Part of the time for a planned stop that is left for the end of the process, in
/// milliseconds.
const STOP_MARGIN_MS: u64 = 800;

/// Pause between two looks whether the last request has ended, in milliseconds.
const STOP_POLL_MS: u64 = 50;

/// Runs an entry instance until it is told to stop.
///
/// # Errors
///
/// If an address cannot be listened on.
pub async fn run(
    settings: NodeSettings,
    store: Box<dyn MetadataStore>,
    protocol: Box<dyn CallProtocol>,
) -> eyre::Result<()> {
    let front = settings
        .front
        .ok_or_eyre("the settings name no address for callers")?;
    let ready = settings
        .ready
        .ok_or_eyre("the settings name no readiness address")?;
    let metrics = settings.metrics;
    let stop_ms = settings.bounds.stop_ms;
    let edge = Rc::new(Edge::new(settings, store, protocol));
    let front = listen(front)?;
    let ready = listen(ready)?;
    let metrics = listen(metrics)?;
    log::info!("event=started role=edge name={}", edge.settings.name);
    sync::start(&edge);
    let (stopping, is_stopping) = watch::channel(false);
    let accepting =
        tokio::task::spawn_local(accept_calls(Rc::clone(&edge), front, is_stopping));
    tokio::task::spawn_local(serve_ready(Rc::clone(&edge), ready));
    let for_metrics = Rc::clone(&edge);
    tokio::task::spawn_local(serve_text(metrics, move || for_metrics.metrics.text()));
    wait_for_shutdown_signal().await?;
    let began_ms = now_ms();
    log::info!("event=stopping calls={}", edge.metrics.open_calls());
    edge.is_stopping.set(true);
    // No connection may be left to tell.
    let _ = stopping.send(true);
    pause(STOP_NOTICE_MS).await;
    accepting.abort();
    let last_ms = began_ms + stop_ms.saturating_sub(STOP_MARGIN_MS);
    while edge.metrics.open_connections() > 0 && now_ms() < last_ms {
        pause(STOP_POLL_MS).await;
    }
    log::info!("event=stopped calls={}", edge.metrics.open_calls());
    Ok(())
}

/// Returns on SIGTERM or SIGINT. SIGHUP is logged: no setting that may change while the
/// process runs is used after its start.
pub(crate) async fn wait_for_shutdown_signal() -> eyre::Result<()> {
    let mut term = signal(SignalKind::terminate()).wrap_err("no handler for SIGTERM")?;
    let mut interrupt =
        signal(SignalKind::interrupt()).wrap_err("no handler for SIGINT")?;
    let mut hangup = signal(SignalKind::hangup()).wrap_err("no handler for SIGHUP")?;
    loop {
        tokio::select! {
            _ = term.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => log::info!("event=reloaded changed=none"),
        }
    }
}

/// Listens on an address.
pub(crate) fn listen(address: SocketAddr) -> eyre::Result<TcpListener> {
    let socket = TcpSocket::new_v4().wrap_err("cannot open a socket")?;
    let reusing = socket.set_reuseaddr(true);
    reusing.wrap_err("cannot set the option to reuse an address")?;
    let bound = socket.bind(address);
    bound.wrap_err_with(|| format!("cannot bind {address}"))?;
    let listening = socket.listen(BACKLOG);
    listening.wrap_err_with(|| format!("cannot listen on {address}"))
}

/// The next connection.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => match set_caller_timeouts(&stream) {
                Ok(()) => return stream,
                Err(error) => log::warn!("event=socket_option_failed reason={error}"),
            },
            Err(error) => {
                log::warn!("event=accept_failed reason={error}");
                pause(ACCEPT_PAUSE_MS).await;
            }
        }
    }
}

async fn accept_calls(
    edge: Rc<Edge>,
    listener: TcpListener,
    stopping: watch::Receiver<bool>,
) {
    loop {
        let stream = accept(&listener).await;
        let (edge, stopping) = (Rc::clone(&edge), stopping.clone());
        tokio::task::spawn_local(serve_connection(edge, stream, stopping));
    }
}

async fn serve_connection(
    edge: Rc<Edge>,
    stream: TcpStream,
    mut stopping: watch::Receiver<bool>,
) {
    let _open = edge.metrics.open_connection();
    let limits = edge.configuration().limits;
    let for_calls = Rc::clone(&edge);
    let service = service_fn(move |request| {
        let edge = Rc::clone(&for_calls);
        async move {
            let _open = edge.metrics.open_call();
            let mut response = call::serve(Rc::clone(&edge), request).await;
            // A new connection leads to an instance that will go on serving.
            if edge.members.contact().is_out_of_rotation(now_ms()) {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The deadline for a head also runs while the connection is idle.
        .header_read_timeout(Duration::from_millis(limits.idle_ms.max(limits.head_ms)))
        .max_buf_size(limits.head_bytes.max(LEAST_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let stop = stopping.wait_for(|stopping| *stopping);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        _ = stop => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("event=caller_connection_ended reason={error:?}");
    }
}

async fn serve_ready(edge: Rc<Edge>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        let edge = Rc::clone(&edge);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |_| {
                let status = match edge.is_ready() {
                    true => StatusCode::OK,
                    false => StatusCode::SERVICE_UNAVAILABLE,
                };
                answer_text(status, String::new())
            });
            serve_plain(stream, service).await;
        });
    }
}

/// Serves one text to whoever asks.
pub(crate) async fn serve_text(
    listener: TcpListener,
    text: impl Fn() -> String + 'static,
) {
    let text = Rc::new(text);
    loop {
        let stream = accept(&listener).await;
        let text = Rc::clone(&text);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |_| answer_text(StatusCode::OK, text()));
            serve_plain(stream, service).await;
        });
    }
}

async fn serve_plain<S, F>(stream: TcpStream, service: S)
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

async fn answer_text(
    status: StatusCode,
    text: String,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    Ok(response)
}
