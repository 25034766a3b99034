//! What one entry instance knows about requests that may crash endpoints.
//!
//! The members count the crashes; an entry instance learns the counts from their responses to its
//! own reports, and those of other instances' requests with the list of endpoints. It keeps
//! requests that were given up when a member has forgotten them, and gives them back.

use std::collections::{HashMap, HashSet};

use jayreel_ledger::{
    CrashReport, EndpointRun, Fingerprint, MAX_CRASHES, RequestFingerprints,
    SharedSuspects, Suspect, SuspectsVersion, suspicion_lifetime_ms,
};

/// Number of suspects that are remembered. The one with the fewest crashes makes room for
/// another.
const MAX_SUSPECTS: usize = 4_096;

/// Time for which a request and its family are not suspected after it has ended well, in
/// milliseconds.
const GOOD_END_MS: u64 = 60_000;

/// Number of good ends that are remembered, of requests and of families.
const MAX_GOOD_ENDS: usize = 16_384;

/// When requests with a fingerprint last ended well. Cleared when it has [`MAX_GOOD_ENDS`] entries.
#[derive(Debug, Default)]
struct GoodEnds {
    ended_ms: HashMap<Fingerprint, u64>,
}

impl GoodEnds {
    fn record(&mut self, now_ms: u64, fingerprint: Fingerprint) {
        if self.ended_ms.len() >= MAX_GOOD_ENDS {
            self.ended_ms.clear();
        }
        self.ended_ms.insert(fingerprint, now_ms);
    }

    fn has_recent(&self, now_ms: u64, fingerprint: Fingerprint) -> bool {
        let ended_ms = self.ended_ms.get(&fingerprint);
        ended_ms.is_some_and(|ended_ms| now_ms < ended_ms + GOOD_END_MS)
    }
}

/// Suspects of this instance's own and of other instances' requests.
#[derive(Debug, Default)]
pub struct SuspectTable {
    /// The last state of a member that was read.
    version: SuspectsVersion,
    /// Number of crashes, and when the last one was. At most [`MAX_SUSPECTS`].
    suspects: HashMap<Fingerprint, (u32, u64)>,
    /// Requests that have ended well. None of them crashes endpoints.
    good_requests: GoodEnds,
    /// Families of which a request has ended well. Others of them may crash endpoints.
    good_families: GoodEnds,
}

impl SuspectTable {
    /// The last state of a member that was read.
    pub fn version(&self) -> SuspectsVersion {
        self.version
    }

    /// Number of crashes in which a request was lost, without an end at another endpoint.
    fn crashes(&self, fingerprint: Fingerprint) -> u32 {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or(0, |(crashes, _)| *crashes)
    }

    fn has_given_up(&self, fingerprint: Fingerprint) -> bool {
        self.crashes(fingerprint) >= MAX_CRASHES
    }

    /// Whether a request must not be sent to endpoints any more.
    pub fn is_given_up(&self, request: &RequestFingerprints) -> bool {
        request
            .all()
            .iter()
            .any(|fingerprint| self.has_given_up(*fingerprint))
    }

    /// Whether a request, or one of its family, was lost in a crash.
    pub fn is_suspect(&self, request: &RequestFingerprints) -> bool {
        request
            .all()
            .iter()
            .any(|fingerprint| self.crashes(*fingerprint) > 0)
    }

    /// The report of a crash in which `lost` were lost. Requests that have recently ended well are
    /// left out, and families of which one has.
    pub fn crash_report(
        &self,
        now_ms: u64,
        run: EndpointRun,
        lost: &[RequestFingerprints],
    ) -> CrashReport {
        let requests = lost.iter().map(|request| request.exact);
        let families = lost.iter().map(|request| request.family);
        let families: HashSet<Fingerprint> = families
            .filter(|family| !self.good_families.has_recent(now_ms, *family))
            .collect();
        CrashReport {
            run,
            requests: requests
                .filter(|request| !self.good_requests.has_recent(now_ms, *request))
                .collect(),
            families: families.into_iter().collect(),
        }
    }

    /// Records that a request has ended well. Returns what is no suspect any more.
    pub fn record_good_end(
        &mut self,
        now_ms: u64,
        request: &RequestFingerprints,
    ) -> Vec<Fingerprint> {
        self.good_requests.record(now_ms, request.exact);
        self.good_families.record(now_ms, request.family);
        self.clear_request(request.exact)
            .into_iter()
            .chain(self.clear_family(request.family))
            .collect()
    }

    /// Clears the suspects that have recently ended well. Returns them.
    pub fn clear_good_ends(&mut self, now_ms: u64) -> Vec<Fingerprint> {
        let suspects: Vec<Fingerprint> = self.suspects.keys().copied().collect();
        let mut cleared = Vec::new();
        for suspect in suspects {
            cleared.extend(match suspect {
                _ if self.good_requests.has_recent(now_ms, suspect) => {
                    self.clear_request(suspect)
                }
                _ if self.good_families.has_recent(now_ms, suspect) => {
                    self.clear_family(suspect)
                }
                _ => None,
            });
        }
        cleared
    }

    /// Takes the number of crashes that a member has counted for a request.
    pub fn learn(&mut self, now_ms: u64, fingerprint: Fingerprint, crashes: u32) {
        if crashes > self.crashes(fingerprint) {
            self.make_room(fingerprint);
            self.suspects.insert(fingerprint, (crashes, now_ms));
        }
    }

    /// Takes the suspects of a member that were requested at `requested_ms`. Returns the requests
    /// that were given up and that the member does not know.
    pub fn apply(&mut self, requested_ms: u64, shared: SharedSuspects) -> Vec<Suspect> {
        let Some(listed) = shared.suspects else {
            return Vec::new();
        };
        let mut before = std::mem::take(&mut self.suspects);
        for suspect in &listed {
            let last_ms = requested_ms.saturating_sub(suspect.age_ms);
            match suspect.crashes {
                0 => {
                    before.remove(&suspect.fingerprint);
                }
                crashes => {
                    let known = (crashes, last_ms);
                    self.suspects.insert(suspect.fingerprint, known);
                }
            }
        }
        let mut missing = Vec::new();
        for (fingerprint, (crashes, last_ms)) in before {
            if self.has_given_up(fingerprint) {
                continue;
            }
            // Suspects with few crashes are not listed.
            self.learn(last_ms, fingerprint, crashes);
            if crashes >= MAX_CRASHES && shared.is_complete {
                missing.push(Suspect {
                    fingerprint,
                    crashes,
                    age_ms: requested_ms.saturating_sub(last_ms),
                });
            }
        }
        // What is given back may be lost. The whole list is read again until it is there.
        self.version = match missing.is_empty() {
            true => shared.version,
            false => SuspectsVersion::default(),
        };
        missing
    }

    /// Removes a request that has ended well. Returns it if it was a suspect.
    fn clear_request(&mut self, request: Fingerprint) -> Option<Fingerprint> {
        self.suspects.remove(&request).map(|_| request)
    }

    /// Removes a family of which a request has ended well. Returns it if it was a suspect. One that
    /// was given up stays.
    fn clear_family(&mut self, family: Fingerprint) -> Option<Fingerprint> {
        match self.has_given_up(family) {
            true => None,
            false => self.clear_request(family),
        }
    }

    /// Forgets suspects whose last crash is long ago.
    pub fn expire(&mut self, now_ms: u64) {
        self.suspects.retain(|_, (crashes, last_ms)| {
            now_ms < *last_ms + suspicion_lifetime_ms(*crashes)
        });
    }

    /// Removes a suspect if there is no room for another.
    fn make_room(&mut self, fingerprint: Fingerprint) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&fingerprint)
        {
            return;
        }
        let suspects = self.suspects.iter();
        let least = suspects.min_by_key(|(_, state)| **state);
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }
}
