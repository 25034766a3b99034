//! The prefix cache: blocks of tokens, found by the hash of the whole prefix, evicted
//! least recently used first.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use serde::Serialize;

/// Bytes of text in one token.
pub(crate) const TOKEN_BYTES: usize = 4;

/// Tokens in one block, the unit of caching.
const BLOCK_TOKENS: u64 = 16;

/// Events kept for `GET /cache/events`.
const MAX_STORED_EVENTS: usize = 10_000;

type BlockHash = u64;

#[derive(Debug, Default)]
struct Block {
    last_used: u64,
    tags: BTreeSet<String>,
}

/// A change of the cache as published to watchers.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CacheEvent {
    seq: u64,
    kind: &'static str,
    tag: String,
    tokens: u64,
    #[serde(skip)]
    recorded_at: Instant,
}

/// Invariant: `order` holds each block exactly once, under its `last_used`.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity_blocks: usize,
    use_counter: u64,
    blocks: HashMap<BlockHash, Block>,
    by_last_use: BTreeMap<u64, BlockHash>,
    events: Vec<CacheEvent>,
    next_event: u64,
}

impl PrefixCache {
    pub(crate) fn new(capacity_tokens: u64) -> PrefixCache {
        PrefixCache {
            capacity_blocks: (capacity_tokens / BLOCK_TOKENS) as usize,
            use_counter: 0,
            blocks: HashMap::new(),
            by_last_use: BTreeMap::new(),
            events: Vec::new(),
            next_event: 1,
        }
    }

    /// Tokens of the longest cached prefix of `text`. Marks its blocks as used.
    pub(crate) fn lookup(&mut self, model: &str, text: &[u8]) -> u64 {
        let hashes = block_hashes(model, text);
        let hit = hashes
            .iter()
            .take_while(|hash| self.blocks.contains_key(hash))
            .count();
        hashes[..hit]
            .iter()
            .for_each(|hash| self.touch(*hash, None));
        hit as u64 * BLOCK_TOKENS
    }

    /// Stores the blocks of `text` under `tag`. An empty tag belongs to no program.
    pub(crate) fn store(&mut self, model: &str, text: &[u8], tag: &str) {
        let hashes = block_hashes(model, text);
        hashes.iter().for_each(|hash| self.touch(*hash, Some(tag)));
        self.record_event("stored", tag, hashes.len());
        while self.blocks.len() > self.capacity_blocks {
            self.evict_oldest();
        }
    }

    fn touch(&mut self, hash: BlockHash, tag: Option<&str>) {
        self.use_counter += 1;
        let block = self.blocks.entry(hash).or_default();
        self.by_last_use.remove(&block.last_used);
        block.last_used = self.use_counter;
        self.by_last_use.insert(self.use_counter, hash);
        if let Some(tag) = tag.filter(|tag| !tag.is_empty()) {
            block.tags.insert(tag.to_string());
        }
    }

    fn evict_oldest(&mut self) {
        let oldest = self.by_last_use.pop_first();
        let block = oldest.and_then(|(_, hash)| self.blocks.remove(&hash));
        for tag in block.unwrap_or_default().tags {
            self.record_event("evicted", &tag, 1);
        }
    }

    /// Drops the blocks that only `tag` holds. Returns their tokens.
    pub(crate) fn release(&mut self, tag: &str) -> u64 {
        let before = self.blocks.len();
        let by_last_use = &mut self.by_last_use;
        self.blocks.retain(|_, block| {
            let unused = block.tags.remove(tag) && block.tags.is_empty();
            if unused {
                by_last_use.remove(&block.last_used);
            }
            !unused
        });
        let released = before - self.blocks.len();
        self.record_event("released", tag, released);
        released as u64 * BLOCK_TOKENS
    }

    /// Tokens held by each tag. Shared blocks count for each of their tags.
    pub(crate) fn tags(&self) -> BTreeMap<String, u64> {
        let mut tags: BTreeMap<String, u64> = BTreeMap::new();
        for tag in self.blocks.values().flat_map(|block| &block.tags) {
            *tags.entry(tag.clone()).or_default() += BLOCK_TOKENS;
        }
        tags
    }

    pub(crate) fn used_tokens(&self) -> u64 {
        self.blocks.len() as u64 * BLOCK_TOKENS
    }

    fn record_event(&mut self, kind: &'static str, tag: &str, blocks: usize) {
        if self.events.len() >= MAX_STORED_EVENTS {
            self.events.drain(..MAX_STORED_EVENTS / 2);
        }
        self.events.push(CacheEvent {
            seq: self.next_event,
            kind,
            tag: tag.to_string(),
            tokens: blocks as u64 * BLOCK_TOKENS,
            recorded_at: Instant::now(),
        });
        self.next_event += 1;
    }

    /// Events from sequence number `from` on that are at least `lag_ms` old, without
    /// every `gap`-th one (0: none is left out).
    pub(crate) fn events(&self, from: u64, lag_ms: u64, gap: u64) -> Vec<CacheEvent> {
        let lag = Duration::from_millis(lag_ms);
        self.events
            .iter()
            .filter(|event| event.seq >= from && event.recorded_at.elapsed() >= lag)
            .filter(|event| gap == 0 || event.seq % gap != 0)
            .cloned()
            .collect()
    }
}

/// The hashes of all full blocks. Each covers the model and the text up to its end.
fn block_hashes(model: &str, text: &[u8]) -> Vec<BlockHash> {
    let mut hasher = DefaultHasher::new();
    model.hash(&mut hasher);
    text.chunks_exact(BLOCK_TOKENS as usize * TOKEN_BYTES)
        .map(|block| {
            block.hash(&mut hasher);
            hasher.finish()
        })
        .collect()
}
