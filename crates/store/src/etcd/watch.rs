//! An etcd watch: a thread reads the streamed response and queues its messages for the
//! caller of [`Watch::next`].

use std::io::{BufReader, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam::channel::{self, Receiver, RecvTimeoutError, Sender};
use serde_json::Deserializer;
use ureq::Body;
use ureq::http::Response;

use super::wire::{self, WatchMessage};
use crate::Watch;
use crate::error::StoreError;
use crate::record::Change;

/// Number of messages queued for a slow caller. When the queue is full, the thread stops
/// reading, and TCP flow control slows the store down.
const MAX_QUEUED_MESSAGES: usize = 1_024;

type Message = Result<WatchMessage, StoreError>;

/// An open watch with a connection and a thread of its own.
pub(super) struct EtcdWatch {
    messages: Receiver<Message>,
    /// Makes the connection fail, so that the thread ends.
    closed: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl EtcdWatch {
    /// Starts to read the response to a watch request and waits up to `timeout` for the
    /// message that confirms the watch.
    pub(super) fn open(
        response: Response<Body>,
        closed: Arc<AtomicBool>,
        timeout: Duration,
    ) -> Result<Box<dyn Watch>, StoreError> {
        let status = response.status().as_u16();
        let mut reader = response.into_body().into_reader();
        if status != 200 {
            let mut body = Vec::new();
            let _ = reader.by_ref().take(1_000).read_to_end(&mut body);
            let reason = format!("status {status}: {}", wire::error_text(&body));
            return Err(StoreError::Unavailable(reason));
        }
        let (sender, messages) = channel::bounded(MAX_QUEUED_MESSAGES);
        let thread = std::thread::Builder::new()
            .name("store-watch".into())
            .spawn(move || read_messages(reader, &sender))
            .map_err(|error| StoreError::Unavailable(error.to_string()))?;
        let watch = Box::new(EtcdWatch {
            messages,
            closed,
            thread: Some(thread),
        });
        watch.await_created(timeout)?;
        Ok(watch)
    }

    fn await_created(&self, timeout: Duration) -> Result<(), StoreError> {
        let message = self
            .messages
            .recv_timeout(timeout)
            .map_err(receive_error)??;
        match message.is_created() {
            true => Ok(()),
            false => message.into_changes().and_then(|_| {
                let reason = "the first message does not confirm the watch";
                Err(StoreError::Protocol(reason.into()))
            }),
        }
    }

    /// Ends the thread and waits for it. A thread that waits for room in the queue is
    /// released by emptying the queue and dropping the receiver.
    fn stop(&mut self) {
        self.closed.store(true, Ordering::Relaxed);
        while self.messages.try_recv().is_ok() {}
        if let Some(thread) = self.thread.take() {
            let (_, disconnected) = channel::bounded(0);
            self.messages = disconnected;
            let _ = thread.join();
        }
    }
}

fn receive_error(error: RecvTimeoutError) -> StoreError {
    StoreError::Unavailable(match error {
        RecvTimeoutError::Timeout => "the store did not confirm the watch in time".into(),
        RecvTimeoutError::Disconnected => "the watch stream ended".into(),
    })
}

/// Queues the messages of the stream until it ends, fails or the receiver is dropped. An
/// error is queued as the last message.
fn read_messages(reader: impl Read, messages: &Sender<Message>) {
    let stream = Deserializer::from_reader(BufReader::new(reader));
    for message in stream.into_iter::<WatchMessage>() {
        let message = message.map_err(|error| StoreError::Unavailable(error.to_string()));
        let failed = message.is_err();
        if messages.send(message).is_err() || failed {
            return;
        }
    }
}

impl Watch for EtcdWatch {
    fn next(&mut self, timeout: Duration) -> Result<Vec<Change>, StoreError> {
        match self.messages.recv_timeout(timeout) {
            Ok(message) => message?.into_changes(),
            Err(RecvTimeoutError::Timeout) => Ok(Vec::new()),
            Err(error) => Err(receive_error(error)),
        }
    }

    fn close(mut self: Box<Self>) {
        self.stop();
    }
}

impl Drop for EtcdWatch {
    fn drop(&mut self) {
        self.stop();
    }
}
