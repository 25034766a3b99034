//! Validation of an arriving call against the configuration: key, profile, model and route.
//!
//! The checks change no state, so that invalid requests consume no budget, no quota and no
//! engine time.

use jayreel_model::{Configuration, KeyHash, Profile, Refusal, RefusalReason, Route};

use crate::call::Target;
use crate::event::{CallArrived, CallOperation};
use crate::group::GroupKey;
use crate::scheduler::Scheduler;

/// Name of the profile of calls that select none. The profile has default values unless it
/// is configured.
const DEFAULT_PROFILE: &str = "default";

/// A call that passed the checks, with the configuration that applies to it.
#[derive(Clone, Debug)]
pub(crate) struct CheckedCall {
    /// Hash of the customer key. `None` on open routes, also if the caller sent a key.
    pub key: Option<KeyHash>,
    /// Name of the customer. `None` on open routes.
    pub customer: Option<String>,
    pub profile_name: String,
    pub profile: Profile,
    /// What the call needs from an endpoint. `None` for operations on programs.
    pub target: Option<Target>,
    /// Maximum number of tokens to generate. `None` unless the call is a chat completion.
    pub max_tokens: Option<u64>,
    /// Whether the call is idempotent. True except on routes that are not repeatable.
    pub repeatable: bool,
}

impl Scheduler {
    /// Checks a call, or returns the refusal for its caller.
    pub(crate) fn check(
        &self,
        now_ms: u64,
        arrived: &CallArrived,
    ) -> Result<CheckedCall, Refusal> {
        let configuration = self.configuration.as_deref().ok_or_else(|| {
            Refusal::not_run(RefusalReason::NotReady, "no configuration yet")
        })?;
        let route = match &arrived.operation {
            CallOperation::Service { path } => Some(find_route(configuration, path)?),
            _ => None,
        };
        let key = match route {
            Some(route) if route.open => None,
            _ => arrived.key,
        };
        let customer = match route {
            Some(route) if route.open => None,
            _ => Some(self.authenticate(now_ms, configuration, arrived.key)?),
        };
        let (profile_name, profile) =
            self.find_profile(configuration, arrived, customer.as_deref())?;
        let (target, max_tokens) = check_operation(&arrived.operation, route, &profile)?;
        if let Some(target) = &target {
            self.group_for(target)?;
        }
        Ok(CheckedCall {
            key,
            customer,
            profile_name,
            profile,
            target,
            max_tokens,
            repeatable: route.is_none_or(|route| route.repeatable),
        })
    }

    /// Returns the name of the customer that the key belongs to.
    fn authenticate(
        &self,
        now_ms: u64,
        configuration: &Configuration,
        key: Option<KeyHash>,
    ) -> Result<String, Refusal> {
        let offline = self
            .last_store_contact_at_ms
            .is_some_and(|at| now_ms.saturating_sub(at) > self.settings.offline_grace_ms);
        if offline {
            return Err(Refusal::not_run(
                RefusalReason::NotReady,
                "keys cannot be checked because the store was out of reach for too long",
            ));
        }
        let refusal = |message| Refusal::not_run(RefusalReason::InvalidKey, message);
        let hash = key.ok_or_else(|| refusal("a key is required"))?;
        self.customer_of(configuration, hash)
            .map(str::to_string)
            .ok_or_else(|| refusal("the key is unknown or withdrawn"))
    }

    /// Returns the customer of a key, or `None` if the key is unknown or withdrawn, or its
    /// customer is not configured.
    ///
    /// The map lookup does not run in constant time, but it compares only BLAKE3 hashes. A
    /// caller cannot choose the bytes of a hash, so the timing reveals nothing about a
    /// stored key.
    pub(crate) fn customer_of<'a>(
        &self,
        configuration: &'a Configuration,
        hash: KeyHash,
    ) -> Option<&'a str> {
        let record = configuration.keys.get(&hash)?;
        let withdrawn = record.withdrawn || self.withdrawn_keys.contains(&hash);
        let known = configuration.customers.contains_key(&record.customer);
        (known && !withdrawn).then_some(record.customer.as_str())
    }

    /// Returns name and content of the profile that applies: the one of the call's program,
    /// else the one that the call selects. A retired profile applies only to programs that
    /// are already open.
    fn find_profile(
        &self,
        configuration: &Configuration,
        arrived: &CallArrived,
        customer: Option<&str>,
    ) -> Result<(String, Profile), Refusal> {
        let program_profile = self.programs.profile(arrived, customer)?;
        let is_new = program_profile.is_none();
        let selected = program_profile.or_else(|| arrived.profile.clone());
        let name = selected.as_deref().unwrap_or(DEFAULT_PROFILE);
        let profile = match configuration.profiles.get(name) {
            Some(profile) => profile.clone(),
            None if name == DEFAULT_PROFILE => Profile::default(),
            None => {
                return Err(Refusal::not_run(RefusalReason::NotFound, "no such profile"));
            }
        };
        match profile.retired && is_new {
            true => Err(Refusal::not_run(
                RefusalReason::NotAllowed,
                "the profile is retired",
            )),
            false => Ok((name.to_string(), profile)),
        }
    }

    /// Selects the group for a target. Prefers groups with active endpoints that have the
    /// target loaded, and among these the one with the fewest waiting calls per slot.
    pub(crate) fn group_for(&self, target: &Target) -> Result<GroupKey, Refusal> {
        let serving = self.groups_by_name.values().filter_map(|key| {
            let group = &self.groups[*key];
            let endpoints = group.endpoints.iter().map(|key| &self.endpoints[*key]);
            let serving = endpoints.filter(|endpoint| {
                !endpoint.is_removed() && endpoint.is_configured_for(target)
            });
            let serving: Vec<_> = serving.collect();
            let slots: u32 = serving
                .iter()
                .filter(|endpoint| endpoint.is_active() && endpoint.serves(target))
                .map(|endpoint| endpoint.slots())
                .sum();
            let load = group.queue.len() as u64 * 1_000 / u64::from(slots.max(1));
            (!serving.is_empty()).then_some((slots == 0, load, *key))
        });
        let best = serving.min_by_key(|(unavailable, load, _)| (*unavailable, *load));
        best.map(|(_, _, key)| key).ok_or_else(|| match target {
            Target::Model(_) => {
                Refusal::not_run(RefusalReason::NotFound, "no such model")
            }
            Target::Group(_) => {
                Refusal::not_run(RefusalReason::Overloaded, "the route has no endpoints")
            }
        })
    }
}

/// Returns the target of an operation and the maximum number of tokens to generate.
fn check_operation(
    operation: &CallOperation,
    route: Option<&Route>,
    profile: &Profile,
) -> Result<(Option<Target>, Option<u64>), Refusal> {
    match (operation, route) {
        (
            CallOperation::Chat {
                model, max_tokens, ..
            },
            _,
        ) => {
            check_model(profile, model)?;
            let limit = profile.max_call_tokens;
            let max_tokens = max_tokens.map_or(limit, |requested| requested.min(limit));
            Ok((Some(Target::Model(model.clone())), Some(max_tokens)))
        }
        (_, Some(route)) => Ok((Some(Target::Group(route.group.clone())), None)),
        (_, None) => Ok((None, None)),
    }
}

fn check_model(profile: &Profile, model: &str) -> Result<(), Refusal> {
    match profile.models.is_empty() || profile.models.iter().any(|name| name == model) {
        true => Ok(()),
        false => Err(Refusal::not_run(
            RefusalReason::NotAllowed,
            "the profile does not allow the model",
        )),
    }
}

/// Finds the route with the longest path prefix that matches whole segments of the path.
fn find_route<'a>(
    configuration: &'a Configuration,
    path: &str,
) -> Result<&'a Route, Refusal> {
    configuration
        .routes
        .values()
        .filter(|route| is_path_prefix(&route.path_prefix, path))
        .max_by_key(|route| route.path_prefix.len())
        .ok_or_else(|| Refusal::not_run(RefusalReason::NotFound, "no such path"))
}

fn is_path_prefix(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
