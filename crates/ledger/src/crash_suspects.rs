//! Requests that may crash the endpoints that run them.
//!
//! When an endpoint crashes, all requests that were lost with it are suspects, and most of them
//! are innocent. One that was lost in [`MAX_CRASHES`] crashes is not sent to endpoints any more. A
//! request that ends well, before or after that, is cleared: several endpoints may have crashed
//! together for another reason, while copies of it ran at each of them.
//!
//! Suspects are requests and families of related requests
//! ([`crate::RequestFingerprints`]). Many different requests may be of one family, so a second
//! crash counts for it only after the time in which each entry instance can learn of the
//! suspicion and clear it, if a request of the family has just ended well there.
//!
//! Entry instances report crashes to all members of the group, so that each member can count
//! them alone, whichever instance the request came through. Nothing is written to disk: entry
//! instances give back what a restarted member has forgotten.

use std::cmp::Reverse;
use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::record::turn_digest;

/// Crashes after which a request is not sent to endpoints any more.
pub const MAX_CRASHES: u32 = 3;

/// Crashes from which other entry instances are told of a request. Most suspects end well at once.
/// Of families they are told after the first one.
const MIN_SHARED_CRASHES: u32 = 2;

/// Time in which losses at the same run of an endpoint are the same crash, in milliseconds.
/// Several entry instances report it. The registry may still hold the entry of the run that
/// crashed when the next one has begun.
const SAME_CRASH_MS: u64 = 500;

/// Time after the first crash of a family in which no further one counts for it, in milliseconds:
/// longer than an entry instance takes to learn of a suspect and to clear it.
const FAMILY_OBJECTION_MS: u64 = 300;

/// Lifetime of a suspicion after the last crash, in milliseconds: longer than callers repeat a
/// request.
const SUSPICION_LIFETIME_MS: u64 = 60_000;

/// Lifetime of a suspect that was given up after its last crash, in milliseconds. After that it
/// may crash some endpoints again. Until then, a customer without other requests is refused those
/// of the family.
const GIVEN_UP_LIFETIME_MS: u64 = 600_000;

/// Number of suspects that are remembered. The one with the fewest crashes, and among these the
/// oldest, makes room for another.
const MAX_SUSPECTS: usize = 4_096;

/// Number of suspects of which entry instances are told: those with the most crashes, and among
/// these the newest.
const MAX_SHARED: usize = 512;

/// How long a suspect with this number of crashes is remembered after the last one, in
/// milliseconds.
pub fn suspicion_lifetime_ms(crashes: u32) -> u64 {
    match crashes >= MAX_CRASHES {
        true => GIVEN_UP_LIFETIME_MS,
        false => SUSPICION_LIFETIME_MS,
    }
}

/// Identifies one run of an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct EndpointRun(u64);

impl EndpointRun {
    /// The run of the endpoint `id` that started at a Unix time, if that is known.
    pub fn new(id: &str, started_unix_ms: Option<u64>) -> EndpointRun {
        let started_unix_ms = started_unix_ms.unwrap_or_default();
        EndpointRun(turn_digest(&format!("{id}/{started_unix_ms}")))
    }
}

/// A crash, as one entry instance saw it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CrashReport {
    /// What crashed.
    pub run: EndpointRun,
    /// The requests of the entry instance that were lost.
    pub requests: Vec<Fingerprint>,
    /// Their families, but for those of which a request has recently ended well.
    pub families: Vec<Fingerprint>,
}

/// A suspect, as one instance tells another.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspect {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Crashes in which it was lost. 0 if it was given up, and then ended well.
    pub crashes: u32,
    /// Time since the last one, or since it ended well, in milliseconds.
    pub age_ms: u64,
}

/// A state of the suspects of one member.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectsVersion {
    /// Identifies the member and its start. 0 for none.
    pub start: u64,
    /// Number of the last change.
    pub sequence: u64,
}

/// The suspects of a member, for entry instances.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SharedSuspects {
    /// What state they are.
    pub version: SuspectsVersion,
    /// `None` if the requester has this state already.
    pub suspects: Option<Vec<Suspect>>,
    /// Whether `suspects` has all requests that are given up. There may be too many.
    pub is_complete: bool,
}

/// What a fingerprint stands for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SuspectKind {
    Family,
    Request,
}

/// What a member knows about one suspect.
#[derive(Debug)]
struct KnownSuspect {
    kind: SuspectKind,
    /// Set if it was given up, and then ended well. No crashes count for it as long as it is
    /// remembered, so that late reports do not matter, and other instances are told of it.
    is_cleared: bool,
    /// 0 once it is cleared.
    crashes: u32,
    first_ms: u64,
    /// The newest crashes, at most [`MAX_CRASHES`], and when each was reported first.
    recent: Vec<(EndpointRun, u64)>,
    last_ms: u64,
}

impl KnownSuspect {
    fn is_current(&self, now_ms: u64) -> bool {
        now_ms < self.last_ms + suspicion_lifetime_ms(self.crashes)
    }

    /// Whether entry instances are told of it.
    fn is_shared(&self) -> bool {
        match self.kind {
            SuspectKind::Family => true,
            SuspectKind::Request => self.is_cleared || self.crashes >= MIN_SHARED_CRASHES,
        }
    }

    /// Counts a crash, unless it is known or too early. Returns whether it was counted.
    fn count(&mut self, now_ms: u64, run: EndpointRun) -> bool {
        let is_known = self
            .recent
            .iter()
            .any(|(known, at_ms)| *known == run && now_ms < *at_ms + SAME_CRASH_MS);
        let is_early = self.kind == SuspectKind::Family
            && self.crashes > 0
            && now_ms < self.first_ms + FAMILY_OBJECTION_MS;
        if is_known || is_early || self.is_cleared {
            return false;
        }
        if self.recent.len() >= MAX_CRASHES as usize {
            self.recent.remove(0);
        }
        self.recent.push((run, now_ms));
        self.crashes = self.crashes.saturating_add(1);
        self.last_ms = now_ms;
        true
    }
}

/// The suspects that one member knows.
#[derive(Debug)]
pub struct CrashSuspects {
    version: SuspectsVersion,
    /// At most [`MAX_SUSPECTS`].
    suspects: HashMap<Fingerprint, KnownSuspect>,
    /// Suspects forgotten for lack of room, since the start.
    evicted: u64,
}

impl CrashSuspects {
    /// Without suspects, for a member whose start `start` identifies.
    pub fn new(start: u64) -> CrashSuspects {
        CrashSuspects {
            version: SuspectsVersion { start, sequence: 0 },
            suspects: HashMap::new(),
            evicted: 0,
        }
    }

    /// Number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Number of requests that are given up.
    pub fn given_up(&self) -> usize {
        let suspects = self.suspects.values();
        suspects
            .filter(|suspect| suspect.crashes >= MAX_CRASHES)
            .count()
    }

    /// Number of suspects forgotten for lack of room, since the start.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Number of crashes in which a request was lost.
    pub fn crashes(&self, fingerprint: Fingerprint) -> u32 {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or(0, |suspect| suspect.crashes)
    }

    /// Counts a crash for all requests that were lost in it. If one of them was given up already,
    /// it explains the crash, and the others are not suspected. Returns the requests that are
    /// given up from now on.
    pub fn report(&mut self, now_ms: u64, report: &CrashReport) -> Vec<Fingerprint> {
        let is_given_up =
            |fingerprint: &Fingerprint| self.crashes(*fingerprint) >= MAX_CRASHES;
        let requests = report.requests.iter();
        let requests = requests.map(|request| (*request, SuspectKind::Request));
        let families = report.families.iter();
        let families = families.map(|family| (*family, SuspectKind::Family));
        let lost: Vec<(Fingerprint, SuspectKind)> = requests.chain(families).collect();
        let is_explained = lost.iter().any(|(fingerprint, _)| is_given_up(fingerprint));
        let mut given_up = Vec::new();
        for (fingerprint, kind) in lost {
            if is_explained && self.crashes(fingerprint) < MAX_CRASHES {
                continue;
            }
            if self.count(now_ms, report.run, fingerprint, kind) {
                given_up.push(fingerprint);
            }
        }
        given_up
    }

    /// Counts a crash for one suspect. Returns whether it is given up from now on.
    fn count(
        &mut self,
        now_ms: u64,
        run: EndpointRun,
        fingerprint: Fingerprint,
        kind: SuspectKind,
    ) -> bool {
        self.make_room(fingerprint);
        let suspects = self.suspects.entry(fingerprint);
        let suspect = suspects.or_insert_with(|| KnownSuspect {
            kind,
            is_cleared: false,
            crashes: 0,
            first_ms: now_ms,
            recent: Vec::new(),
            last_ms: now_ms,
        });
        if !suspect.count(now_ms, run) {
            return false;
        }
        if suspect.is_shared() {
            self.version.sequence += 1;
        }
        suspect.crashes == MAX_CRASHES
    }

    /// Clears a suspect that has ended well. A family that was given up stays.
    pub fn clear(&mut self, now_ms: u64, fingerprint: Fingerprint) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        match suspect.kind {
            _ if suspect.is_cleared => return,
            SuspectKind::Family if suspect.crashes >= MAX_CRASHES => return,
            SuspectKind::Request if suspect.crashes >= MAX_CRASHES => {
                suspect.is_cleared = true;
                suspect.crashes = 0;
                suspect.last_ms = now_ms;
                self.version.sequence += 1;
                return;
            }
            SuspectKind::Family | SuspectKind::Request => {}
        }
        let removed = self.suspects.remove(&fingerprint);
        if removed.is_some_and(|suspect| suspect.is_shared()) {
            self.version.sequence += 1;
        }
    }

    /// Takes back what another instance still knows of requests that were given up.
    pub fn restore(&mut self, now_ms: u64, suspects: &[Suspect]) {
        let given_up = suspects
            .iter()
            .filter(|suspect| suspect.crashes >= MAX_CRASHES);
        for suspect in given_up {
            let known = self.suspects.get(&suspect.fingerprint);
            if known.is_some_and(|known| known.is_cleared || known.crashes >= MAX_CRASHES)
            {
                continue;
            }
            self.make_room(suspect.fingerprint);
            let last_ms = now_ms.saturating_sub(suspect.age_ms);
            let known = KnownSuspect {
                // Families that were given up are not cleared by those who know them.
                kind: SuspectKind::Request,
                is_cleared: false,
                crashes: suspect.crashes,
                first_ms: last_ms,
                recent: Vec::new(),
                last_ms,
            };
            self.suspects.insert(suspect.fingerprint, known);
            self.version.sequence += 1;
        }
    }

    /// The suspects for an entry instance that has those of the version `known`.
    pub fn share(&self, now_ms: u64, known: SuspectsVersion) -> SharedSuspects {
        SharedSuspects {
            version: self.version,
            suspects: (known != self.version).then(|| self.shared(now_ms)),
            is_complete: self.given_up() <= MAX_SHARED,
        }
    }

    fn shared(&self, now_ms: u64) -> Vec<Suspect> {
        let suspects = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.is_shared() && suspect.is_current(now_ms));
        let mut shared: Vec<Suspect> = suspects
            .map(|(fingerprint, suspect)| Suspect {
                fingerprint: *fingerprint,
                crashes: suspect.crashes,
                age_ms: now_ms.saturating_sub(suspect.last_ms),
            })
            .collect();
        shared.sort_by_key(|suspect| (Reverse(suspect.crashes), suspect.age_ms));
        shared.truncate(MAX_SHARED);
        shared
    }

    /// Forgets suspects whose last crash is long ago.
    pub fn expire(&mut self, now_ms: u64) {
        self.suspects
            .retain(|_, suspect| suspect.is_current(now_ms));
    }

    /// Removes a suspect if there is no room for another.
    fn make_room(&mut self, fingerprint: Fingerprint) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&fingerprint)
        {
            return;
        }
        let suspects = self.suspects.iter();
        let least =
            suspects.min_by_key(|(_, suspect)| (suspect.crashes, suspect.last_ms));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
            self.evicted += 1;
        }
    }
}
