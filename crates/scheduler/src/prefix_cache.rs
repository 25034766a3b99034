//! Estimate of the prompt prefixes that an endpoint has cached, from the calls that this
//! instance sent to it.

use std::collections::{BTreeMap, HashMap};

/// Maximum number of prefixes per endpoint. The least recently used ones are evicted, as in
/// the engine.
const CAPACITY: usize = 8_192;

/// Prompt prefixes of the calls that this instance sent to one endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixCache {
    /// Entries by prefix hash.
    entries: HashMap<u64, Entry>,
    /// Prefix hashes by the number of their last use, for eviction. Contains exactly the
    /// prefixes in `entries`.
    by_last_use: BTreeMap<u64, u64>,
    /// Number of uses so far, of all prefixes.
    use_count: u64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    last_use: u64,
    length: Length,
}

/// Length of a prefix in tokens.
#[derive(Clone, Copy, Debug)]
enum Length {
    /// Length of a whole prompt that was equal to the prefix.
    Known(u64),
    /// Lowest estimate derived from the longer prompts that begin with the prefix.
    Estimated(u64),
}

impl Length {
    fn tokens(self) -> u64 {
        match self {
            Length::Known(tokens) | Length::Estimated(tokens) => tokens,
        }
    }

    /// The more accurate of two lengths of the same prefix.
    fn refine(self, other: Length) -> Length {
        match (self, other) {
            (Length::Known(_), _) => self,
            (_, Length::Known(_)) => other,
            _ if other.tokens() < self.tokens() => other,
            _ => self,
        }
    }
}

impl PrefixCache {
    /// Records that a prompt was sent to the endpoint, which will cache all its prefixes.
    /// `prefix_hashes` has one hash per message, shortest prefix first. The length of a
    /// prefix that was no whole prompt before is estimated as if all messages had the same
    /// length.
    pub fn record(&mut self, prefix_hashes: &[u64], prompt_tokens: u64) {
        let count = prefix_hashes.len();
        for (index, hash) in prefix_hashes.iter().enumerate() {
            let observed = match index + 1 == count {
                true => Length::Known(prompt_tokens),
                false => {
                    let messages = index as u64 + 1;
                    Length::Estimated(prompt_tokens * messages / count as u64)
                }
            };
            let previous = self.remove(*hash);
            self.use_count += 1;
            let entry = Entry {
                last_use: self.use_count,
                length: previous.map_or(observed, |entry| entry.length.refine(observed)),
            };
            self.entries.insert(*hash, entry);
            self.by_last_use.insert(self.use_count, *hash);
        }
        while self.entries.len() > CAPACITY {
            if let Some((_, hash)) = self.by_last_use.pop_first() {
                self.entries.remove(&hash);
            }
        }
    }

    /// Removes a prefix that the endpoint was told to release.
    pub fn forget(&mut self, prefix_hash: u64) {
        self.remove(prefix_hash);
    }

    fn remove(&mut self, prefix_hash: u64) -> Option<Entry> {
        let entry = self.entries.remove(&prefix_hash)?;
        self.by_last_use.remove(&entry.last_use);
        Some(entry)
    }

    /// Estimated number of tokens of a prompt that the endpoint has cached, from the longest
    /// known prefix. `prefix_hashes` has the shortest prefix first.
    pub fn cached_tokens(&self, prefix_hashes: &[u64], prompt_tokens: u64) -> u64 {
        let mut longest_first = prefix_hashes.iter().rev();
        let longest = longest_first.find_map(|hash| self.entries.get(hash));
        longest.map_or(0, |entry| entry.length.tokens().min(prompt_tokens))
    }
}
