//! State of the programs that have calls or cache at this instance: the service they have
//! attained, and the endpoints that hold their cache.

use std::collections::{BTreeMap, HashMap};

use jayreel_model::ClassOfService;
use slotmap::{SlotMap, new_key_type};

use crate::endpoint::EndpointKey;
use crate::policy::{CustomerId, RetentionPolicy};
use crate::program_admission::ProgramIdentity;

new_key_type! {
    /// Key of a program in the program table.
    pub(crate) struct ProgramKey;
    /// Key of a root program in the program table.
    pub(crate) struct RootKey;
}

/// State shared by a root program and the programs of all its sub-agents.
#[derive(Clone, Debug)]
pub(crate) struct Root {
    cache_tag: String,
    /// Cost of all ended calls, in tenths of weighted tokens.
    pub attained_service: u64,
    /// Arrival of the first call at this instance.
    pub started_at_ms: u64,
    /// Number of programs in the table that belong to this root. The root is removed
    /// together with the last one.
    members: u32,
}

#[derive(Clone, Debug)]
struct Program {
    cache_tag: String,
    root: RootKey,
    class: ClassOfService,
    customer: Option<CustomerId>,
    /// Endpoints that may hold cache of the program, with the hash of the longest prompt
    /// prefix in the last call to each.
    holders: BTreeMap<EndpointKey, Option<u64>>,
    /// Number of calls that have not ended.
    open_calls: u32,
    /// End of the last call. `None` while any call has not ended.
    idle_since_ms: Option<u64>,
    /// Whether the program has ended. It is removed when its last call ends.
    ended: bool,
}

/// Properties of a root program that is ending.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct EndingRoot {
    pub customer: Option<CustomerId>,
    pub class: ClassOfService,
    pub started_at_ms: u64,
}

/// Cache of a program that an endpoint should release.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct CacheRelease {
    pub endpoint: EndpointKey,
    pub cache_tag: String,
    /// Hash of the longest prompt prefix in the program's last call to the endpoint.
    pub prefix_hash: Option<u64>,
}

/// All programs with calls or cache at this instance, indexed by cache tag.
#[derive(Debug, Default)]
pub(crate) struct ProgramTable {
    programs: SlotMap<ProgramKey, Program>,
    by_tag: HashMap<String, ProgramKey>,
    roots: SlotMap<RootKey, Root>,
    roots_by_tag: HashMap<String, RootKey>,
}

impl ProgramTable {
    /// Records a new call of a program, and the end of a pause if the program was idle.
    pub fn begin_call(
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
        program.open_calls += 1;
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
            cache_tag: identity.cache_tag.clone(),
            root,
            class,
            customer,
            holders: BTreeMap::new(),
            open_calls: 0,
            idle_since_ms: None,
            ended: false,
        });
        self.by_tag.insert(identity.cache_tag.clone(), key);
        key
    }

    fn insert_root(&mut self, now_ms: u64, tag: &str) -> RootKey {
        let root = self.roots.insert(Root {
            cache_tag: tag.to_string(),
            attained_service: 0,
            started_at_ms: now_ms,
            members: 0,
        });
        self.roots_by_tag.insert(tag.to_string(), root);
        root
    }

    /// The root that a program belongs to. A root program has itself as root.
    pub fn root(&self, key: ProgramKey) -> &Root {
        &self.roots[self.programs[key].root]
    }

    /// The cache tag of a program.
    pub fn cache_tag(&self, key: ProgramKey) -> &str {
        &self.programs[key].cache_tag
    }

    /// Records that a call of the program was dispatched to an endpoint, which will hold its
    /// cache. `prefix` is the hash of the whole prompt.
    pub fn record_holder(
        &mut self,
        key: ProgramKey,
        endpoint: EndpointKey,
        prefix: Option<u64>,
    ) {
        self.programs[key].holders.insert(endpoint, prefix);
    }

    /// Adds the cost of a call, in tenths of weighted tokens, to the attained service of the
    /// program's root.
    pub fn add_service(&mut self, key: ProgramKey, cost: u64) {
        let root = self.programs[key].root;
        let attained_service = &mut self.roots[root].attained_service;
        *attained_service = attained_service.saturating_add(cost);
    }

    /// Records the end of a call of the program. Returns the cache to release if the program
    /// has ended before.
    pub fn end_call(&mut self, now_ms: u64, key: ProgramKey) -> Vec<CacheRelease> {
        let program = &mut self.programs[key];
        program.open_calls -= 1;
        match (program.open_calls, program.ended) {
            (0, true) => self.remove(key),
            (0, false) => {
                program.idle_since_ms = Some(now_ms);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// The program with this cache tag, if it is a root program that has not ended.
    pub fn ending_root(&self, tag: &str) -> Option<EndingRoot> {
        let program = &self.programs[*self.by_tag.get(tag)?];
        let root = &self.roots[program.root];
        let is_ending = root.cache_tag == tag && !program.ended;
        is_ending.then_some(EndingRoot {
            customer: program.customer,
            class: program.class,
            started_at_ms: root.started_at_ms,
        })
    }

    /// Records the end of a program. Returns its cache to release, unless a call is still
    /// open: then [`ProgramTable::end_call`] returns it later.
    pub fn end_program(
        &mut self,
        tag: &str,
        retention: &mut dyn RetentionPolicy,
    ) -> Vec<CacheRelease> {
        let Some(key) = self.by_tag.get(tag).copied() else {
            return Vec::new();
        };
        let program = &mut self.programs[key];
        program.ended = true;
        if program.open_calls > 0 {
            return Vec::new();
        }
        retention.record_end(program.class);
        self.remove(key)
    }

    /// Returns the cache of programs that have been idle for longer than the retention policy
    /// keeps it.
    pub fn release_idle(
        &mut self,
        now_ms: u64,
        retention: &dyn RetentionPolicy,
    ) -> Vec<CacheRelease> {
        // Asks the policy once per class: it evaluates a histogram, which is too slow to do
        // for every program.
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

    fn remove(&mut self, key: ProgramKey) -> Vec<CacheRelease> {
        let Some(mut program) = self.programs.remove(key) else {
            return Vec::new();
        };
        self.by_tag.remove(&program.cache_tag);
        let root = &mut self.roots[program.root];
        root.members -= 1;
        if root.members == 0 {
            let tag = std::mem::take(&mut root.cache_tag);
            self.roots_by_tag.remove(&tag);
            self.roots.remove(program.root);
        }
        program.take_releases()
    }
}

impl Program {
    /// Removes all holders and returns the releases for them.
    fn take_releases(&mut self) -> Vec<CacheRelease> {
        let holders = std::mem::take(&mut self.holders);
        holders
            .into_iter()
            .map(|(endpoint, prefix_hash)| CacheRelease {
                endpoint,
                cache_tag: self.cache_tag.clone(),
                prefix_hash,
            })
            .collect()
    }
}
