//! Continuous batching: a fixed number of slots for running calls, and the queue of calls
//! that wait for a slot.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

/// Age from which load samples are dropped, in milliseconds. With a larger `load_lag_ms`
/// there may be no sample that is old enough; the load is then reported as zero.
const LOAD_HISTORY_MS: u64 = 60_000;

/// A waiting call's priority (lower runs first) and arrival number.
type QueueKey = (i64, u64);

/// The waiting calls in the order in which they get a slot. A message on the channel
/// grants the slot.
type WaitQueue = BTreeMap<QueueKey, oneshot::Sender<()>>;

#[derive(Debug, Default)]
struct BatchState {
    /// Number of occupied slots.
    running: usize,
    /// Arrival number of the call that arrived last.
    last_arrival: u64,
    /// The number that [`Batch::next_id`] returned last.
    last_id: u64,
    waiting: WaitQueue,
    /// Times with the number of running and waiting calls from then on, oldest first.
    load_history: VecDeque<(Instant, usize, usize)>,
}

impl BatchState {
    /// Adds a load sample. Called after each change of the load.
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

    /// Frees a slot and grants it to the first waiting call that has not been cancelled.
    fn release(&mut self) {
        self.running -= 1;
        while let Some((_, grant_sender)) = self.waiting.pop_first() {
            if grant_sender.send(()).is_ok() {
                self.running += 1;
                break;
            }
        }
        self.record_load();
    }
}

/// The slots of an engine and the calls that occupy or wait for them.
#[derive(Debug)]
pub(crate) struct Batch {
    slots: usize,
    state: Mutex<BatchState>,
}

impl Batch {
    /// A batch with at least one slot.
    pub(crate) fn new(slots: usize) -> Batch {
        Batch {
            slots: slots.max(1),
            state: Mutex::new(BatchState::default()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BatchState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a slot. Lower priorities get one first. The slot is freed when the result
    /// is dropped. If the future is dropped, the call leaves the queue.
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
                    let (grant_sender, grant) = oneshot::channel();
                    state.waiting.insert(key, grant_sender);
                    SlotRequest::waiting(self, key, grant)
                }
            };
            state.record_load();
            request
        };
        request.wait_for_grant().await;
        request.into_slot()
    }

    /// Number of running and of waiting calls, as they were `lag_ms` ago.
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

    /// A number that is unique within the engine, for the id of a response.
    pub(crate) fn next_id(&self) -> u64 {
        let mut state = self.lock();
        state.last_id += 1;
        state.last_id
    }

    /// Number of running calls.
    pub(crate) fn running(&self) -> usize {
        self.lock().running
    }
}

/// A call that waits for a slot or has been granted one, until [`Self::into_slot`]. If it
/// is dropped before, the call leaves the queue or frees the granted slot.
struct SlotRequest<'a> {
    batch: &'a Batch,
    /// The key in the queue and the grant. `None` once the call knows of its grant.
    wait: Option<(QueueKey, oneshot::Receiver<()>)>,
    /// Whether a [`Slot`] has been created, which then frees the slot.
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
        key: QueueKey,
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
        // A call that is no longer in the queue was granted a slot, even if it has not
        // seen the grant yet.
        let is_queued = match &self.wait {
            Some((key, _)) => state.waiting.remove(key).is_some(),
            None => false,
        };
        match is_queued {
            true => state.record_load(),
            false => state.release(),
        }
    }
}

/// An occupied slot. Dropping it frees the slot for the next waiting call.
pub(crate) struct Slot<'a> {
    batch: &'a Batch,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.batch.lock().release();
    }
}
