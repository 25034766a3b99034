//! Fault injection, shared by all stand-in servers.
//!
//! Faults are set through [`FaultControls`] in the same process, or over HTTP at
//! [`crate::server::FAULTS_PATH`]. [`crate::server`] applies the faults of connections
//! and requests; the engine applies those of its load and cache reports.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Whether a server is down, and what a client then sees.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Down {
    /// The server is up.
    #[default]
    No,
    /// Connections are accepted, but closed without a response; open ones are closed as
    /// well. Requests to paths under `/standin/` are still served.
    Close,
    /// New connections are refused and open ones are closed. [`Faults`] cannot be changed
    /// over HTTP in this state, so a client that sets it over HTTP must also set
    /// `down_for_ms`.
    Refuse,
}

/// The faults that a server injects. The default is none.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether the server is down, and what a client then sees.
    pub down: Down,
    /// Time after which the server is up again, in milliseconds since the faults were
    /// set. 0 means that it stays down until the faults are replaced.
    pub down_for_ms: u64,
    /// Delay before each request is read and handled, in milliseconds.
    pub slow_ms: u64,
    /// Number of requests that are handled, but whose connection is then closed without a
    /// response. Counts down to 0.
    pub lose_answers: u64,
    /// Number of requests whose connection is closed before they are handled. Counts
    /// down to 0.
    pub lose_requests: u64,
    /// Delay after which the requests of `lose_requests` are handled nevertheless, in
    /// milliseconds after their connection was closed. 0 means that they are never
    /// handled.
    pub late_ms: u64,
    /// Path prefix that limits `lose_requests` and `lose_answers` to matching requests.
    /// Empty matches all.
    pub lose_path: String,
    /// Requests get no response and response streams stop. Their connections stay open
    /// but send nothing more, even after this fault is cleared.
    pub freeze: bool,
    /// Connections that are open when the faults are set stay open but send nothing more,
    /// even after this fault is cleared. Connections opened later work.
    pub silence_open_connections: bool,
    /// Age of the load that the engine reports at `GET /load`, in milliseconds.
    pub load_lag_ms: u64,
    /// The engine omits cache events whose sequence number is a multiple of this. 0 means
    /// that it omits none.
    pub cache_event_gap: u64,
    /// Delay before the engine reports a cache event, in milliseconds.
    pub cache_event_lag_ms: u64,
}

struct State {
    faults: Faults,
    set_at: Instant,
}

/// Sets and reads the faults of one server. Shared by the server's thread and its owner.
pub struct FaultControls {
    state: Mutex<State>,
    /// Increased by `silence_open_connections`. Connections of an older generation are
    /// silenced.
    generation: AtomicU64,
}

impl FaultControls {
    pub(crate) fn new() -> Arc<FaultControls> {
        Arc::new(FaultControls {
            state: Mutex::new(State {
                faults: Faults::default(),
                set_at: Instant::now(),
            }),
            generation: AtomicU64::new(0),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces all faults and restarts the time of `down_for_ms`.
    pub fn set(&self, faults: Faults) {
        let mut state = self.lock();
        if faults.silence_open_connections {
            self.generation.fetch_add(1, Ordering::SeqCst);
        }
        state.faults = faults;
        state.set_at = Instant::now();
    }

    /// Clears all faults. Connections that were silenced stay so.
    pub fn clear(&self) {
        self.set(Faults::default());
    }

    /// The current faults, with the remaining numbers of requests to lose. `down` is as
    /// set, also when `down_for_ms` has passed; see [`Self::down`].
    pub fn get(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Whether the server is down now, with `down_for_ms` taken into account.
    pub fn down(&self) -> Down {
        let state = self.lock();
        let down_for = Duration::from_millis(state.faults.down_for_ms);
        let expired = !down_for.is_zero() && state.set_at.elapsed() >= down_for;
        if expired { Down::No } else { state.faults.down }
    }

    /// Takes one of `lose_requests` for a request to `path`. Returns `None` if the request
    /// is to be handled normally, else the `late_ms` of the lost request.
    pub(crate) fn take_lost_request(&self, path: &str) -> Option<u64> {
        let mut state = self.lock();
        let faults = &mut state.faults;
        let applies = faults.lose_requests > 0 && path.starts_with(&faults.lose_path);
        faults.lose_requests -= u64::from(applies);
        applies.then_some(faults.late_ms)
    }

    /// Takes one of `lose_answers` for a request to `path`. Returns whether the response
    /// is lost.
    pub(crate) fn take_lost_answer(&self, path: &str) -> bool {
        let mut state = self.lock();
        let faults = &mut state.faults;
        let applies = faults.lose_answers > 0 && path.starts_with(&faults.lose_path);
        faults.lose_answers -= u64::from(applies);
        applies
    }

    /// The fault state of a connection that is opened now.
    pub(crate) fn new_connection(self: &Arc<FaultControls>) -> Arc<ConnectionFaults> {
        Arc::new(ConnectionFaults {
            generation: self.generation.load(Ordering::SeqCst),
            silenced: AtomicBool::new(false),
            is_control: AtomicBool::new(false),
            controls: Arc::clone(self),
        })
    }
}

/// The fault state of one connection. Once silenced, a connection stays so.
pub(crate) struct ConnectionFaults {
    /// The generation of [`FaultControls`] when the connection was opened.
    generation: u64,
    silenced: AtomicBool,
    /// Whether the connection has carried a request to a path under `/standin/`.
    is_control: AtomicBool,
    controls: Arc<FaultControls>,
}

impl ConnectionFaults {
    /// Exempts the connection from being closed while the server is down, so that the
    /// response to the request that takes the server down still arrives.
    pub(crate) fn mark_control(&self) {
        self.is_control.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_control(&self) -> bool {
        self.is_control.load(Ordering::SeqCst)
    }

    /// Whether the connection must send nothing more.
    pub(crate) fn is_silenced(&self) -> bool {
        let is_older = self.generation != self.controls.generation.load(Ordering::SeqCst);
        let silenced = is_older
            || self.silenced.load(Ordering::SeqCst)
            || self.controls.lock().faults.freeze;
        if silenced {
            self.silenced.store(true, Ordering::SeqCst);
        }
        silenced
    }
}
