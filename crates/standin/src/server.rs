//! The HTTP/1.1 server of all stand-ins: runs a [`Handler`] on one thread of its own and
//! injects the faults of connections and requests.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::faults::{ConnectionFaults, Down, FaultControls, Faults};
use crate::http::{HttpRequest, HttpResponse, OutgoingBody};

/// Path of the current [`Faults`]: `GET` reads them, any other method replaces them by
/// those in the body.
pub const FAULTS_PATH: &str = "/standin/faults";

/// Prefix of the control paths. Requests to them are not subject to faults, except that
/// none can arrive while connections are refused.
const CONTROL_PREFIX: &str = "/standin/";

/// Interval at which the listener and each open connection check whether the server is
/// down.
const DOWN_CHECK_INTERVAL_MS: u64 = 20;

/// The future of a response, as returned by [`Handler::handle`].
pub type ResponseFuture<'a> = Pin<Box<dyn Future<Output = HttpResponse> + Send + 'a>>;

/// Produces the responses of a server. Runs on the server's thread, so it must not block.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request. The future is dropped when the client closes the connection.
    fn handle(&self, request: HttpRequest) -> ResponseFuture<'_>;
}

/// A running HTTP server. Use [`Self::close`] to stop it.
pub struct HttpServer {
    address: SocketAddr,
    faults: Arc<FaultControls>,
    stop: watch::Sender<bool>,
    thread: JoinHandle<()>,
}

impl HttpServer {
    /// Binds `address` (port 0: chosen by the system) and serves until [`Self::close`].
    ///
    /// # Errors
    ///
    /// Any error of binding the address or starting the thread.
    pub fn start(
        address: SocketAddr,
        handler: Arc<dyn Handler>,
    ) -> io::Result<HttpServer> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let faults = FaultControls::new();
        let (stop, stopped) = watch::channel(false);
        let shared = Shared {
            handler,
            faults: Arc::clone(&faults),
            stopped,
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let thread = std::thread::Builder::new()
            .name("standin".into())
            .spawn(move || runtime.block_on(serve(listener, address, shared)))?;
        Ok(HttpServer {
            address,
            faults,
            stop,
            thread,
        })
    }

    /// The bound address, with the port that the system chose.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the faults that this server injects.
    pub fn faults(&self) -> &Arc<FaultControls> {
        &self.faults
    }

    /// Closes the listener and all connections, and waits for the server thread to end.
    pub fn close(self) {
        self.stop.send_replace(true);
        let _ = self.thread.join();
    }
}

/// What the listener shares with the tasks of its connections.
#[derive(Clone)]
struct Shared {
    handler: Arc<dyn Handler>,
    faults: Arc<FaultControls>,
    stopped: watch::Receiver<bool>,
}

/// Accepts connections until stopped. Closes the listener while connections are refused,
/// and binds the same address again afterwards.
async fn serve(listener: std::net::TcpListener, address: SocketAddr, shared: Shared) {
    let mut stopped = shared.stopped.clone();
    let mut listener = TcpListener::from_std(listener).ok();
    while !*stopped.borrow() {
        tokio::select! {
            _ = stopped.changed() => return,
            _ = sleep_ms(DOWN_CHECK_INTERVAL_MS) => {}
            stream = accept(listener.as_ref()) => spawn_connection(stream, &shared),
        }
        let refuse = shared.faults.down() == Down::Refuse;
        listener = match listener {
            Some(_) if refuse => None,
            None if !refuse => TcpListener::bind(address).await.ok(),
            unchanged => unchanged,
        };
    }
}

async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Accepts a connection; never completes while there is no listener.
async fn accept(listener: Option<&TcpListener>) -> Option<TcpStream> {
    match listener {
        Some(listener) => listener.accept().await.ok().map(|(stream, _)| stream),
        None => std::future::pending().await,
    }
}

fn spawn_connection(stream: Option<TcpStream>, shared: &Shared) {
    if let Some(stream) = stream {
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve_connection(stream, shared.clone()));
    }
}

/// Serves a connection until it ends, the server stops, or a fault closes it.
async fn serve_connection(stream: TcpStream, shared: Shared) {
    let connection = shared.faults.new_connection();
    let service = service_fn(|request| respond(request, &shared, &connection));
    let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let mut stopped = shared.stopped.clone();
    tokio::select! {
        _ = serving => {}
        _ = stopped.changed() => {}
        _ = wait_until_down(&shared.faults, &connection) => {}
    }
}

/// Completes when the connection must be closed because the server is down. A connection
/// that was opened while the server was down with [`Down::Close`] is not closed here: it
/// ends with its first request, unless that is to a control path.
async fn wait_until_down(faults: &FaultControls, connection: &ConnectionFaults) {
    let mut was_up = false;
    loop {
        match faults.down() {
            _ if connection.is_control() => {}
            Down::No => was_up = true,
            Down::Refuse => return,
            Down::Close if was_up => return,
            Down::Close => {}
        }
        sleep_ms(DOWN_CHECK_INTERVAL_MS).await;
    }
}

/// An error of the hyper service that makes hyper close the connection without a
/// response.
#[derive(Debug)]
struct ConnectionAborted;

impl std::fmt::Display for ConnectionAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection broken by fault injection")
    }
}

impl std::error::Error for ConnectionAborted {}

/// Reads and handles a request, with the faults of its connection and path applied.
async fn respond(
    request: Request<Incoming>,
    shared: &Shared,
    connection: &Arc<ConnectionFaults>,
) -> Result<Response<OutgoingBody>, ConnectionAborted> {
    let is_control = request.uri().path().starts_with(CONTROL_PREFIX);
    match is_control {
        true => connection.mark_control(),
        false => apply_request_faults(&shared.faults, connection).await?,
    }
    let request = read_request(request).await.ok_or(ConnectionAborted)?;
    let path = request.path.clone();
    let late_ms = match is_control {
        true => None,
        false => shared.faults.take_lost_request(&path),
    };
    if let Some(late_ms) = late_ms {
        handle_late(request, shared, late_ms);
        return Err(ConnectionAborted);
    }
    let response = match path.as_str() {
        FAULTS_PATH => handle_faults_request(&request, &shared.faults),
        _ => shared.handler.handle(request).await,
    };
    if !is_control && shared.faults.take_lost_answer(&path) {
        return Err(ConnectionAborted);
    }
    if !is_control && connection.is_silenced() {
        std::future::pending::<()>().await;
    }
    // The response to a control request is sent even on a silenced connection.
    let connection = match is_control {
        true => FaultControls::new().new_connection(),
        false => Arc::clone(connection),
    };
    Ok(response.into_response(connection))
}

/// Handles a request after its connection was closed, as if the network had delayed it.
/// Does nothing if `late_ms` is 0.
fn handle_late(request: HttpRequest, shared: &Shared, late_ms: u64) {
    if late_ms == 0 {
        return;
    }
    let handler = Arc::clone(&shared.handler);
    tokio::spawn(async move {
        sleep_ms(late_ms).await;
        handler.handle(request).await;
    });
}

/// Applies the faults that affect a request before it is read: a server that is down,
/// silenced connections and delays.
async fn apply_request_faults(
    faults: &FaultControls,
    connection: &ConnectionFaults,
) -> Result<(), ConnectionAborted> {
    if faults.down() != Down::No {
        return Err(ConnectionAborted);
    }
    if connection.is_silenced() {
        std::future::pending::<()>().await;
    }
    let slow_ms = faults.get().slow_ms;
    if slow_ms > 0 {
        sleep_ms(slow_ms).await;
    }
    Ok(())
}

async fn read_request(request: Request<Incoming>) -> Option<HttpRequest> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some(HttpRequest {
        method: head.method,
        path: head.uri.path().to_string(),
        query: head.uri.query().unwrap_or("").to_string(),
        headers: head.headers,
        body,
    })
}

/// Handles a request to [`FAULTS_PATH`].
fn handle_faults_request(request: &HttpRequest, faults: &FaultControls) -> HttpResponse {
    if request.method == Method::GET {
        return HttpResponse::json(StatusCode::OK, &faults.get());
    }
    match serde_json::from_slice::<Faults>(&request.body) {
        Ok(new_faults) => {
            faults.set(new_faults);
            HttpResponse::json(StatusCode::OK, &faults.get())
        }
        Err(error) => HttpResponse::error(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}
