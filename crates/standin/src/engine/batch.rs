//! Slots of the running batch, and the calls that wait for one.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

/// Load samples older than this are dropped, so a larger `load_lag_ms` has no effect.
const LOAD_HISTORY_MS: u64 = 60_000;

/// WaitQueue calls in order of priority (lower runs first), then arrival.
type WaitQueue = BTreeMap<(i64, u64), oneshot::Sender<()>>;

#[derive(Debug, Default)]
struct BatchState {
    running: usize,
    last_arrival: u64,
    last_id: u64,
    waiting: WaitQueue,
    load_history: VecDeque<(Instant, usize, usize)>,
}

impl BatchState {
    fn record_load(&mut self) {
        let now = Instant::now();
        let keep = Duration::from_millis(LOAD_HISTORY_MS);
        self.load_history
            .push_back((now, self.running, self.waiting.len()));
        while self.load_history.len() > 1
            && now.duration_since(self.load_history[1].0) > keep
        {
            self.load_history.pop_front();
        }
    }

    /// Gives a freed slot to the first waiting call that still exists.
    fn release(&mut self) {
        self.running -= 1;
        while let Some((_, waiting)) = self.waiting.pop_first() {
            if waiting.send(()).is_ok() {
                self.running += 1;
                break;
            }
        }
        self.record_load();
    }
}

/// The running batch of an engine.
#[derive(Debug)]
pub(crate) struct Batch {
    slots: usize,
    state: Mutex<BatchState>,
}

impl Batch {
    pub(crate) fn new(slots: usize) -> Batch {
        Batch {
            slots: slots.max(1),
            state: Mutex::new(BatchState::default()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BatchState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a slot. The slot is free again when the result is dropped.
    pub(crate) async fn acquire(&self, priority: i64) -> Slot<'_> {
        let mut request = {
            let mut state = self.lock();
            state.last_arrival += 1;
            let key = (priority, state.last_arrival);
            let request = match state.running < self.slots {
                true => {
                    state.running += 1;
                    SlotRequest::running(self)
                }
                false => {
                    let (granted, grant) = oneshot::channel();
                    state.waiting.insert(key, granted);
                    SlotRequest::waiting(self, key, grant)
                }
            };
            state.record_load();
            request
        };
        request.wait_for_grant().await;
        request.into_slot()
    }

    /// Running and waiting calls as they were `lag_ms` ago.
    pub(crate) fn load(&self, lag_ms: u64) -> (usize, usize) {
        let state = self.lock();
        if lag_ms == 0 {
            return (state.running, state.waiting.len());
        }
        let lag = Duration::from_millis(lag_ms);
        let sample = state
            .load_history
            .iter()
            .rev()
            .find(|(at, _, _)| at.elapsed() >= lag);
        sample.map_or((0, 0), |(_, running, waiting)| (*running, *waiting))
    }

    /// A number for the id of a response.
    pub(crate) fn next_id(&self) -> u64 {
        let mut state = self.lock();
        state.last_id += 1;
        state.last_id
    }

    pub(crate) fn running(&self) -> usize {
        self.lock().running
    }
}

/// A call that waits for a slot or has one. Dropping it gives up either.
struct SlotRequest<'a> {
    batch: &'a Batch,
    wait: Option<((i64, u64), oneshot::Receiver<()>)>,
    has_slot_guard: bool,
}

impl<'a> SlotRequest<'a> {
    fn running(batch: &'a Batch) -> SlotRequest<'a> {
        SlotRequest {
            batch,
            wait: None,
            has_slot_guard: false,
        }
    }

    fn waiting(
        batch: &'a Batch,
        key: (i64, u64),
        grant: oneshot::Receiver<()>,
    ) -> SlotRequest<'a> {
        SlotRequest {
            batch,
            wait: Some((key, grant)),
            has_slot_guard: false,
        }
    }

    async fn wait_for_grant(&mut self) {
        if let Some((_, grant)) = &mut self.wait {
            let _ = grant.await;
            self.wait = None;
        }
    }

    fn into_slot(mut self) -> Slot<'a> {
        self.has_slot_guard = true;
        Slot { batch: self.batch }
    }
}

impl Drop for SlotRequest<'_> {
    fn drop(&mut self) {
        if self.has_slot_guard {
            return;
        }
        let mut state = self.batch.lock();
        let still_waits = match &self.wait {
            Some((key, _)) => state.waiting.remove(key).is_some(),
            None => false,
        };
        match still_waits {
            true => state.record_load(),
            false => state.release(),
        }
    }
}

/// A slot of the batch.
pub(crate) struct Slot<'a> {
    batch: &'a Batch,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.batch.lock().release();
    }
}
