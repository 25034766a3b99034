//! The prefix cache of the engine: blocks of tokens, each found by a hash of the prefix
//! that ends with it. Blocks that were not used for the longest time are evicted first.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use serde::Serialize;

/// Number of bytes of text that count as one token. The engine has no tokenizer.
pub(crate) const TOKEN_BYTES: usize = 4;

/// Number of tokens in a block. Only full blocks are cached.
const BLOCK_TOKENS: u64 = 16;

/// Number of events kept for `GET /cache/events`. When it is reached, the older half is
/// dropped.
const MAX_STORED_EVENTS: usize = 10_000;

/// Hash of the model and of the text up to the end of a block.
type BlockHash = u64;

#[derive(Debug, Default)]
struct Block {
    /// Value of [`PrefixCache::use_counter`] at the last use. 0 for a new block, which no
    /// used block has.
    last_used: u64,
    /// Cache tags of the calls that stored the block. Empty if they had none.
    tags: BTreeSet<String>,
}

/// A change of the cache, as reported by `GET /cache/events`.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CacheEvent {
    /// Sequence number, 1 for the first event.
    seq: u64,
    /// `stored`, `evicted` or `released`.
    kind: &'static str,
    tag: String,
    /// Number of tokens that were stored, evicted or released. A `stored` event also counts
    /// blocks that were cached before.
    tokens: u64,
    /// Compared with `cache_event_lag_ms` of the faults.
    #[serde(skip)]
    recorded_at: Instant,
}

/// A prefix cache with a fixed capacity.
///
/// Invariant: `by_last_use` holds each block exactly once, under its `last_used`.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity_blocks: usize,
    /// Number of uses of blocks so far. Gives each use a unique key in `by_last_use`.
    use_counter: u64,
    blocks: HashMap<BlockHash, Block>,
    by_last_use: BTreeMap<u64, BlockHash>,
    events: Vec<CacheEvent>,
    /// Sequence number of the next event.
    next_seq: u64,
}

impl PrefixCache {
    /// An empty cache. The capacity is rounded down to full blocks.
    pub(crate) fn new(capacity_tokens: u64) -> PrefixCache {
        PrefixCache {
            capacity_blocks: (capacity_tokens / BLOCK_TOKENS) as usize,
            use_counter: 0,
            blocks: HashMap::new(),
            by_last_use: BTreeMap::new(),
            events: Vec::new(),
            next_seq: 1,
        }
    }

    /// Number of tokens of the longest cached prefix of `text`. Marks its blocks as used.
    pub(crate) fn lookup(&mut self, model: &str, text: &[u8]) -> u64 {
        let hashes = block_hashes(model, text);
        let hits = hashes
            .iter()
            .take_while(|hash| self.blocks.contains_key(hash))
            .count();
        hashes[..hits]
            .iter()
            .for_each(|hash| self.touch(*hash, None));
        hits as u64 * BLOCK_TOKENS
    }

    /// Stores the full blocks of `text`, and adds `tag` to each unless it is empty. Evicts
    /// blocks if the capacity is exceeded.
    pub(crate) fn store(&mut self, model: &str, text: &[u8], tag: &str) {
        let hashes = block_hashes(model, text);
        hashes.iter().for_each(|hash| self.touch(*hash, Some(tag)));
        self.record_event("stored", tag, hashes.len());
        while self.blocks.len() > self.capacity_blocks {
            self.evict_least_recently_used();
        }
    }

    /// Marks a block as used, adds it if it is absent, and adds `tag` unless it is empty.
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

    /// Evicts the least recently used block. Records one event for each of its tags.
    fn evict_least_recently_used(&mut self) {
        let oldest = self.by_last_use.pop_first();
        let block = oldest.and_then(|(_, hash)| self.blocks.remove(&hash));
        for tag in block.unwrap_or_default().tags {
            self.record_event("evicted", &tag, 1);
        }
    }

    /// Removes `tag` from all blocks and drops those that then have no tag. Returns the
    /// number of dropped tokens.
    pub(crate) fn release(&mut self, tag: &str) -> u64 {
        let blocks_before = self.blocks.len();
        let by_last_use = &mut self.by_last_use;
        self.blocks.retain(|_, block| {
            let unused = block.tags.remove(tag) && block.tags.is_empty();
            if unused {
                by_last_use.remove(&block.last_used);
            }
            !unused
        });
        let released = blocks_before - self.blocks.len();
        self.record_event("released", tag, released);
        released as u64 * BLOCK_TOKENS
    }

    /// Number of cached tokens by tag. A block with several tags counts for each of them.
    pub(crate) fn tags(&self) -> BTreeMap<String, u64> {
        let mut tags: BTreeMap<String, u64> = BTreeMap::new();
        for tag in self.blocks.values().flat_map(|block| &block.tags) {
            *tags.entry(tag.clone()).or_default() += BLOCK_TOKENS;
        }
        tags
    }

    /// Number of cached tokens. Blocks with several tags count once.
    pub(crate) fn used_tokens(&self) -> u64 {
        self.blocks.len() as u64 * BLOCK_TOKENS
    }

    /// Appends an event with the next sequence number.
    fn record_event(&mut self, kind: &'static str, tag: &str, blocks: usize) {
        if self.events.len() >= MAX_STORED_EVENTS {
            self.events.drain(..MAX_STORED_EVENTS / 2);
        }
        self.events.push(CacheEvent {
            seq: self.next_seq,
            kind,
            tag: tag.to_string(),
            tokens: blocks as u64 * BLOCK_TOKENS,
            recorded_at: Instant::now(),
        });
        self.next_seq += 1;
    }

    /// The events from sequence number `from` on that are at least `lag_ms` old, without
    /// those whose number is a multiple of `gap`. With `gap` 0, none is omitted.
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

/// The hashes of the full blocks of `text`. Each covers the model and the text up to the
/// end of its block, so that blocks match only if their whole prefixes do.
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
