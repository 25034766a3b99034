//! Rendezvous hashing over endpoints. Each instance computes the same candidates for a key
//! without exchanging messages, and few keys move when endpoints join or leave.

use jayreel_membership::rank;

/// Number of candidates for a key. The second one takes over when the first is full or gone, and
/// then gets the requests of all instances.
pub const CANDIDATES: usize = 2;

/// The hash of what related requests have in common: the object, the program or the turn.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct AffinityKey(u64);

impl AffinityKey {
    /// The key of requests on one object. The same identifier means the same object only within
    /// one service.
    pub fn object(service: &str, id: &str) -> AffinityKey {
        AffinityKey(rank(service, id))
    }

    /// The key of the requests of one program.
    pub fn program(id: &str) -> AffinityKey {
        AffinityKey(rank("", id))
    }

    /// The key of the requests that continue one turn.
    pub fn turn(id: &str) -> AffinityKey {
        AffinityKey(rank("turn", id))
    }
}

/// The hash of an endpoint's identifier.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointHash(u64);

impl EndpointHash {
    /// The hash of an identifier, the same in every process.
    pub fn new(id: &str) -> EndpointHash {
        EndpointHash(rank(id, ""))
    }

    /// The weight of the endpoint for a key. The endpoints with the highest weights are the key's
    /// candidates.
    fn weight(self, key: AffinityKey) -> u64 {
        // The finalizer of SplitMix64, so that each key orders the endpoints differently.
        let mixed = self.0 ^ key.0.rotate_left(32);
        let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}

/// The endpoints with the highest weights for a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidates<E> {
    /// Highest weight first.
    best: [Option<(u64, E)>; CANDIDATES],
}

impl<E> Default for Candidates<E> {
    /// No candidates.
    fn default() -> Candidates<E> {
        Candidates {
            best: [const { None }; CANDIDATES],
        }
    }
}

impl<E: Copy + PartialEq> Candidates<E> {
    /// The candidates for a key among `endpoints`.
    pub fn new(
        key: AffinityKey,
        endpoints: impl IntoIterator<Item = (E, EndpointHash)>,
    ) -> Candidates<E> {
        let mut candidates = Candidates::default();
        for (endpoint, hash) in endpoints {
            candidates.offer(hash.weight(key), endpoint);
        }
        candidates
    }

    fn offer(&mut self, weight: u64, endpoint: E) {
        let mut offered = Some((weight, endpoint));
        for place in &mut self.best {
            let weight_of =
                |entry: &Option<(u64, E)>| entry.as_ref().map(|(weight, _)| *weight);
            if weight_of(&offered) > weight_of(place) {
                std::mem::swap(place, &mut offered);
            }
        }
    }

    /// Position of an endpoint among the candidates, where 0 has the highest weight. `None` if it
    /// is no candidate.
    pub fn position(&self, endpoint: E) -> Option<usize> {
        self.best
            .iter()
            .position(|entry| entry.is_some_and(|(_, candidate)| candidate == endpoint))
    }

    /// The candidates, the one with the highest weight first.
    pub fn iter(&self) -> impl Iterator<Item = E> {
        self.best.iter().flatten().map(|(_, endpoint)| *endpoint)
    }
}
