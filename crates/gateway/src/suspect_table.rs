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

/// Time for which a family is good after a request of it has ended well, in milliseconds.
const GOOD_FAMILY_MS: u64 = 60_000;

/// Number of good families that are remembered.
const MAX_GOOD_FAMILIES: usize = 16_384;

/// Suspects of this instance's own and of other instances' requests.
#[derive(Debug, Default)]
pub struct SuspectTable {
    /// The last state of a member that was read.
    version: SuspectsVersion,
    /// Number of crashes, and when the last one was. At most [`MAX_SUSPECTS`].
    suspects: HashMap<Fingerprint, (u32, u64)>,
    /// Families of which a request has ended well, and when. Cleared when it has
    /// [`MAX_GOOD_FAMILIES`] entries.
    good_families: HashMap<Fingerprint, u64>,
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

    /// The report of a crash in which `lost` were lost. A family of which a request has recently
    /// ended well is left out.
    pub fn crash_report(
        &self,
        now_ms: u64,
        run: EndpointRun,
        lost: &[RequestFingerprints],
    ) -> CrashReport {
        let families = lost.iter().map(|request| request.family);
        let families: HashSet<Fingerprint> = families
            .filter(|family| !self.is_good_family(now_ms, *family))
            .collect();
        CrashReport {
            run,
            requests: lost.iter().map(|request| request.exact).collect(),
            families: families.into_iter().collect(),
        }
    }

    fn is_good_family(&self, now_ms: u64, family: Fingerprint) -> bool {
        let ended_ms = self.good_families.get(&family);
        ended_ms.is_some_and(|ended_ms| now_ms < ended_ms + GOOD_FAMILY_MS)
    }

    /// Records that a request has ended well. Returns what is no suspect any more.
    pub fn record_good_end(
        &mut self,
        now_ms: u64,
        request: &RequestFingerprints,
    ) -> Vec<Fingerprint> {
        if self.good_families.len() >= MAX_GOOD_FAMILIES {
            self.good_families.clear();
        }
        self.good_families.insert(request.family, now_ms);
        let suspects = request.all().into_iter();
        suspects
            .filter(|fingerprint| self.clear(*fingerprint))
            .collect()
    }

    /// Clears the families of which a request has recently ended well. Returns them.
    pub fn clear_good_families(&mut self, now_ms: u64) -> Vec<Fingerprint> {
        let suspects = self.suspects.keys().copied();
        let good: Vec<Fingerprint> = suspects
            .filter(|suspect| self.is_good_family(now_ms, *suspect))
            .collect();
        good.into_iter()
            .filter(|family| self.clear(*family))
            .collect()
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
        let before = std::mem::take(&mut self.suspects);
        for suspect in &listed {
            let last_ms = requested_ms.saturating_sub(suspect.age_ms);
            self.suspects
                .insert(suspect.fingerprint, (suspect.crashes, last_ms));
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

    /// Removes a suspect that has ended well. Returns whether it was one. A request that was given
    /// up stays.
    fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        !self.has_given_up(fingerprint) && self.suspects.remove(&fingerprint).is_some()
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
