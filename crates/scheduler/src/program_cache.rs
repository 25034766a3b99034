//! Programs as the policies see them: attained service, and the endpoints that hold
//! their cache.

use std::collections::{BTreeMap, HashMap};

use jayreel_model::ClassOfService;
use slotmap::{SlotMap, new_key_type};

use crate::endpoint::EndpointKey;
use crate::policy::{CustomerId, RetentionPolicy};
use crate::program_admission::ProgramIdentity;

new_key_type! {
    /// Key of a program in its arena.
    pub(crate) struct ProgramKey;
    /// Key of a root program in its arena.
    pub(crate) struct RootKey;
}

/// A root program with all its sub-agents.
#[derive(Clone, Debug)]
pub(crate) struct Root {
    tag: String,
    /// Attained service in tenths of weighted tokens.
    pub attained: u64,
    pub started_at_ms: u64,
    /// Programs that refer to this root. The record is dropped with the last one.
    members: u32,
}

#[derive(Clone, Debug)]
struct Program {
    tag: String,
    root: RootKey,
    class: ClassOfService,
    customer: Option<CustomerId>,
    /// Endpoints that may hold the cache, with the longest prefix sent to each.
    holders: BTreeMap<EndpointKey, Option<u64>>,
    /// Calls that have not ended.
    calls: u32,
    /// End of the last call. `None` while a call has not ended.
    idle_since_ms: Option<u64>,
    /// The program has ended. The record stays until its last call has ended.
    ended: bool,
}

/// A root program that is about to end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct EndingRoot {
    pub customer: Option<CustomerId>,
    pub class: ClassOfService,
    pub started_at_ms: u64,
}

/// A cache that an endpoint must release.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Release {
    pub endpoint: EndpointKey,
    pub cache_tag: String,
    /// The longest prefix sent to the endpoint.
    pub prefix_hash: Option<u64>,
}

/// All programs with calls or cache at this instance.
#[derive(Debug, Default)]
pub(crate) struct ProgramCache {
    programs: SlotMap<ProgramKey, Program>,
    by_tag: HashMap<String, ProgramKey>,
    roots: SlotMap<RootKey, Root>,
    roots_by_tag: HashMap<String, RootKey>,
}

impl ProgramCache {
    /// Records a new call of a program.
    pub fn join(
        &mut self,
        now_ms: u64,
        identity: &ProgramIdentity,
        class: ClassOfService,
        customer: Option<CustomerId>,
        retention: &mut dyn RetentionPolicy,
    ) -> ProgramKey {
        let key = match self.by_tag.get(&identity.cache_tag) {
            Some(key) => *key,
            None => self.insert(now_ms, identity, class, customer),
        };
        let program = &mut self.programs[key];
        program.calls += 1;
        if let Some(since) = program.idle_since_ms.take() {
            retention.record_return(program.class, now_ms.saturating_sub(since));
        }
        key
    }

    fn insert(
        &mut self,
        now_ms: u64,
        identity: &ProgramIdentity,
        class: ClassOfService,
        customer: Option<CustomerId>,
    ) -> ProgramKey {
        let root = match self.roots_by_tag.get(&identity.root) {
            Some(root) => *root,
            None => self.insert_root(now_ms, &identity.root),
        };
        self.roots[root].members += 1;
        let key = self.programs.insert(Program {
            tag: identity.cache_tag.clone(),
            root,
            class,
            customer,
            holders: BTreeMap::new(),
            calls: 0,
            idle_since_ms: None,
            ended: false,
        });
        self.by_tag.insert(identity.cache_tag.clone(), key);
        key
    }

    fn insert_root(&mut self, now_ms: u64, tag: &str) -> RootKey {
        let root = self.roots.insert(Root {
            tag: tag.to_string(),
            attained: 0,
            started_at_ms: now_ms,
            members: 0,
        });
        self.roots_by_tag.insert(tag.to_string(), root);
        root
    }

    /// The root of a program.
    pub fn root(&self, key: ProgramKey) -> &Root {
        &self.roots[self.programs[key].root]
    }

    /// The cache tag of a program.
    pub fn tag(&self, key: ProgramKey) -> &str {
        &self.programs[key].tag
    }

    /// Records that a call of the program was sent to an endpoint.
    pub fn hold(&mut self, key: ProgramKey, endpoint: EndpointKey, prefix: Option<u64>) {
        self.programs[key].holders.insert(endpoint, prefix);
    }

    /// Adds to the attained service, in tenths of weighted tokens.
    pub fn attain(&mut self, key: ProgramKey, cost: u64) {
        let root = self.programs[key].root;
        let attained = &mut self.roots[root].attained;
        *attained = attained.saturating_add(cost);
    }

    /// Records the end of a call of the program.
    pub fn leave(&mut self, now_ms: u64, key: ProgramKey) -> Vec<Release> {
        let program = &mut self.programs[key];
        program.calls -= 1;
        match (program.calls, program.ended) {
            (0, true) => self.remove(key),
            (0, false) => {
                program.idle_since_ms = Some(now_ms);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// The program with this tag, if it is a root that has not ended.
    pub fn ending_root(&self, tag: &str) -> Option<EndingRoot> {
        let program = &self.programs[*self.by_tag.get(tag)?];
        let root = &self.roots[program.root];
        let is_ending = root.tag == tag && !program.ended;
        is_ending.then_some(EndingRoot {
            customer: program.customer,
            class: program.class,
            started_at_ms: root.started_at_ms,
        })
    }

    /// Records the end of a program. Its cache is released after its last call.
    pub fn end(
        &mut self,
        tag: &str,
        retention: &mut dyn RetentionPolicy,
    ) -> Vec<Release> {
        let Some(key) = self.by_tag.get(tag).copied() else {
            return Vec::new();
        };
        let program = &mut self.programs[key];
        program.ended = true;
        if program.calls > 0 {
            return Vec::new();
        }
        retention.record_end(program.class);
        self.remove(key)
    }

    /// The caches of programs that have paused for longer than is worth keeping.
    pub fn release_paused(
        &mut self,
        now_ms: u64,
        retention: &dyn RetentionPolicy,
    ) -> Vec<Release> {
        // The policy reads a histogram, which is too slow for each program.
        let mut keep_by_class = BTreeMap::new();
        let mut releases = Vec::new();
        for program in self.programs.values_mut() {
            let keep_ms = *keep_by_class
                .entry(program.class)
                .or_insert_with(|| retention.keep_ms(program.class));
            if let (Some(since), Some(keep_ms)) = (program.idle_since_ms, keep_ms)
                && now_ms >= since.saturating_add(keep_ms)
            {
                releases.extend(program.take_releases());
            }
        }
        releases
    }

    fn remove(&mut self, key: ProgramKey) -> Vec<Release> {
        let Some(mut program) = self.programs.remove(key) else {
            return Vec::new();
        };
        self.by_tag.remove(&program.tag);
        let root = &mut self.roots[program.root];
        root.members -= 1;
        if root.members == 0 {
            let tag = std::mem::take(&mut root.tag);
            self.roots_by_tag.remove(&tag);
            self.roots.remove(program.root);
        }
        program.take_releases()
    }
}

impl Program {
    fn take_releases(&mut self) -> Vec<Release> {
        let holders = std::mem::take(&mut self.holders);
        holders
            .into_iter()
            .map(|(endpoint, prefix_hash)| Release {
                endpoint,
                cache_tag: self.tag.clone(),
                prefix_hash,
            })
            .collect()
    }
}
