//! Builds the prompts of turns from the turns before them, which are read from the storage group if
//! they are not in memory.
//!
//! What is read has its memory before it is sent: a request to a member says how much it may send,
//! and a member that needs more says so.

use std::collections::HashMap;
use std::rc::Rc;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::{LocalBoxFuture, Shared, WeakShared};
use hyper::StatusCode;
use jayreel_ledger::TurnDigest;

use crate::edge::Edge;
use crate::edge::admission::memory_refusal;
use crate::edge::call::{AdmittedCall, NO_QUORUM_RETRY_AFTER_MS, stored_retention_ms};
use crate::edge::members::ChainLookup;
use crate::edge::refusal::Refusal;
use crate::edge::turn_memory::{HeldTurn, OutOfMemory};
use crate::http_connection::SegmentedBody;
use crate::log_fields::OrNone;
use crate::storage::MAX_RESPONSE_BYTES;

/// Number of turns in the first request for a conversation's history. If callers alternate
/// between two zones, this instance lacks only the last one or two turns and has the older ones
/// in memory.
const FIRST_FETCH_TURNS: u32 = 2;

/// Number of turns in each further request: more than most conversations have.
const MAX_FETCH_TURNS: u32 = 256;

/// Size of a response for which memory is claimed if there is not enough for the largest one, in
/// bytes. Longer than almost all turns.
const SMALL_FETCH_BYTES: u64 = 64 << 10;

/// A response is in memory twice while it is decoded.
const COPIES_WHILE_DECODED: usize = 2;

/// Length from which prompts are logged, in bytes: about ten times the longest of usual
/// conversations.
const LONG_PROMPT_BYTES: usize = 256 << 10;

/// Why a turn could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FetchError {
    /// No member has it.
    Missing,
    /// Too few members responded.
    Unreachable,
    OutOfMemory(OutOfMemory),
}

impl From<OutOfMemory> for FetchError {
    fn from(error: OutOfMemory) -> FetchError {
        FetchError::OutOfMemory(error)
    }
}

type Fetch = LocalBoxFuture<'static, Result<Rc<HeldTurn>, FetchError>>;

/// The reads of turns that are in progress. Requests that need the same turn share one.
#[derive(Debug, Default)]
pub(crate) struct Fetches {
    /// Some of them have ended.
    by_turn: HashMap<TurnDigest, WeakShared<Fetch>>,
}

impl Fetches {
    fn get(&self, turn: TurnDigest) -> Option<Shared<Fetch>> {
        self.by_turn.get(&turn)?.upgrade()
    }

    fn insert(&mut self, turn: TurnDigest, fetch: &Shared<Fetch>) {
        self.by_turn.retain(|_, fetch| fetch.upgrade().is_some());
        self.by_turn
            .extend(fetch.downgrade().map(|fetch| (turn, fetch)));
    }
}

/// Builds the body that an endpoint receives for a request. On routes that store turns, it is the
/// input and output of all earlier turns, oldest first, and then the new input. These are not copied:
/// requests that continue the same turn share them.
pub(crate) async fn assemble_prompt(
    edge: &Rc<Edge>,
    admitted: &AdmittedCall,
) -> Result<SegmentedBody, Refusal> {
    let previous = admitted.call.previous_turn.as_deref();
    let Some(previous) = previous.filter(|_| admitted.route.stores_turns) else {
        return Ok(admitted.outgoing.body.clone());
    };
    let turns = read_conversation(edge, admitted, previous).await?;
    let earlier = turns.iter().rev().flat_map(|turn| {
        let record = &turn.record;
        [record.input.clone(), record.output.clone()]
    });
    let mut segments: Vec<Bytes> = earlier.collect();
    segments.push(admitted.input.clone());
    let memory = Rc::new((turns, Rc::clone(&admitted.input_claim)));
    let prompt = SegmentedBody::new(segments, memory);
    log_long_prompt(edge, admitted, &prompt);
    Ok(prompt)
}

/// Returns a turn and all turns before it, newest first.
async fn read_conversation(
    edge: &Rc<Edge>,
    admitted: &AdmittedCall,
    newest: &str,
) -> Result<Vec<Rc<HeldTurn>>, Refusal> {
    let customer = admitted.outgoing.customer.as_deref().unwrap_or_default();
    let mut turns: Vec<Rc<HeldTurn>> = Vec::new();
    let mut digests = Vec::new();
    let mut next = Some(newest.to_string());
    while let Some(name) = next.take() {
        let digest = TurnDigest::of(&name);
        let held = edge.turns.borrow().get(digest);
        let turn = match held {
            Some(turn) => turn,
            None => {
                let fetched = fetch(edge, name, turns.is_empty()).await;
                fetched.map_err(|error| refusal(edge, error, turns.is_empty()))?
            }
        };
        if turn.record.customer != customer {
            return Err(Refusal::denied(StatusCode::NOT_FOUND, "no_turn"));
        }
        next.clone_from(&turn.record.previous);
        turns.push(turn);
        digests.push(digest);
    }
    let retention_ms = stored_retention_ms(&admitted.route);
    edge.members.record_use(&digests, retention_ms);
    Ok(turns)
}

/// Refusal for a turn that could not be read. `is_newest` marks the turn that the caller named: if
/// it is missing, the caller's reference is wrong, whereas a missing older turn is treated as
/// temporarily unreachable.
fn refusal(edge: &Edge, error: FetchError, is_newest: bool) -> Refusal {
    match error {
        FetchError::Missing if is_newest => {
            Refusal::denied(StatusCode::NOT_FOUND, "no_turn")
        }
        FetchError::Missing | FetchError::Unreachable => {
            Refusal::retry_later("turns_unreachable", NO_QUORUM_RETRY_AFTER_MS)
        }
        FetchError::OutOfMemory(OutOfMemory { bytes }) => {
            memory_refusal(edge.turns.borrow().account(), bytes)
        }
    }
}

/// Reads a turn, and others before it, from the members into memory. Requests for the same turn
/// share one read.
async fn fetch(
    edge: &Rc<Edge>,
    turn: String,
    is_newest: bool,
) -> Result<Rc<HeldTurn>, FetchError> {
    let digest = TurnDigest::of(&turn);
    let pending = edge.fetches.borrow().get(digest);
    let fetch = pending.unwrap_or_else(|| {
        let fetch = fetch_from_members(Rc::clone(edge), turn, is_newest);
        let fetch = fetch.boxed_local().shared();
        edge.fetches.borrow_mut().insert(digest, &fetch);
        fetch
    });
    fetch.await
}

async fn fetch_from_members(
    edge: Rc<Edge>,
    turn: String,
    is_newest: bool,
) -> Result<Rc<HeldTurn>, FetchError> {
    let max_turns = match is_newest {
        true => FIRST_FETCH_TURNS,
        false => MAX_FETCH_TURNS,
    };
    let claim_copies = |bytes: u64| {
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        let bytes = bytes.saturating_mul(COPIES_WHILE_DECODED);
        edge.turns.borrow_mut().claim(bytes)
    };
    let mut max_bytes = MAX_RESPONSE_BYTES;
    let mut claimed = claim_copies(max_bytes);
    if claimed.is_err() {
        max_bytes = SMALL_FETCH_BYTES;
        claimed = claim_copies(max_bytes);
    }
    let mut claim = claimed?;
    loop {
        let found = edge.members.chain(&turn, max_turns, max_bytes).await;
        match found.map_err(|_| FetchError::Unreachable)? {
            ChainLookup::Turns(records) => {
                drop(claim);
                let mut turns = edge.turns.borrow_mut();
                let mut records = records.into_iter();
                let newest = records.next().ok_or(FetchError::Unreachable)?;
                let newest = turns.insert(newest)?;
                // Those for which there is no memory now are read again when they are needed.
                records
                    .map_while(|record| turns.insert(record).ok())
                    .for_each(drop);
                return Ok(newest);
            }
            ChainLookup::Missing => return Err(FetchError::Missing),
            ChainLookup::TurnTooLarge { bytes } if bytes <= max_bytes => {
                return Err(FetchError::Unreachable);
            }
            ChainLookup::TurnTooLarge { bytes } => {
                drop(claim);
                max_bytes = bytes;
                claim = claim_copies(max_bytes)?;
            }
        }
    }
}

/// Logs a prompt of at least `LONG_PROMPT_BYTES`, with the memory of all turns.
fn log_long_prompt(edge: &Edge, admitted: &AdmittedCall, prompt: &SegmentedBody) {
    let prompt_bytes = prompt.remaining_bytes();
    if prompt_bytes >= LONG_PROMPT_BYTES {
        log::info!(
            "event=long_prompt request={} previous={} bytes={prompt_bytes} turns_bytes={}",
            admitted.call.request_id,
            OrNone(admitted.call.previous_turn.as_deref()),
            edge.turns.borrow().account().usage().used_bytes,
        );
    }
}
