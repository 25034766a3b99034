//! The store keys of configuration records, and the conversion of store entries and
//! changes to a [`Configuration`].
//!
//! The key of a record is `config/KIND/NAME`, and its value is the record as JSON.

use std::collections::BTreeMap;

use jayreel_model::{
    Configuration, Customer, CustomerKey, Endpoint, KeyHash, Profile, Route,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::record::{Change, Entry, Range};

/// The store keys of all configuration records start with this prefix.
pub const CONFIG_PREFIX: &str = "config/";

/// Store key written in the same transaction as each deletion of a record. Without this
/// write, a deletion would not raise the newest revision under [`CONFIG_PREFIX`], and
/// polls would miss it.
pub const DELETED_KEY: &str = "config/deleted";

/// A type whose values are stored as configuration records.
pub trait ConfigRecord: Clone + DeserializeOwned + PartialEq + Serialize {
    /// The part of the store key between [`CONFIG_PREFIX`] and the name, in the plural.
    const KIND: &'static str;

    /// The name of the type in messages to operators, in the singular.
    const NOUN: &'static str;
}

impl ConfigRecord for Customer {
    const KIND: &'static str = "customers";
    const NOUN: &'static str = "customer";
}

impl ConfigRecord for CustomerKey {
    const KIND: &'static str = "keys";
    const NOUN: &'static str = "key";
}

impl ConfigRecord for Endpoint {
    const KIND: &'static str = "endpoints";
    const NOUN: &'static str = "endpoint";
}

impl ConfigRecord for Profile {
    const KIND: &'static str = "profiles";
    const NOUN: &'static str = "profile";
}

impl ConfigRecord for Route {
    const KIND: &'static str = "routes";
    const NOUN: &'static str = "route";
}

/// The store key of the record of type `T` that is called `name`.
pub fn record_key<T: ConfigRecord>(name: &str) -> String {
    format!("{CONFIG_PREFIX}{}/{name}", T::KIND)
}

/// The prefix of the store keys of all records of type `T`.
pub fn kind_prefix<T: ConfigRecord>() -> String {
    format!("{CONFIG_PREFIX}{}/", T::KIND)
}

/// Builds the configuration from a read of all keys under [`CONFIG_PREFIX`]. A record
/// that cannot be decoded is left out and logged, so that a malformed customer key is not
/// accepted from callers.
pub fn configuration_of(range: &Range) -> Configuration {
    let mut configuration = Configuration::default();
    range
        .entries
        .iter()
        .for_each(|entry| put(&mut configuration, entry));
    configuration
}

/// Applies one change of the store to `configuration`. The caller passes the changes in
/// the order of their revisions.
pub fn apply(configuration: &mut Configuration, change: &Change) {
    match change {
        Change::Put(entry) => put(configuration, entry),
        Change::Delete { key, revision } => {
            remove(configuration, key);
            configuration.revision = configuration.revision.max(*revision);
        }
    }
}

/// Decodes `entry` into `configuration` and raises its revision. The previous record of
/// the same key is removed first, so that it does not stay if the new one is malformed.
fn put(configuration: &mut Configuration, entry: &Entry) {
    configuration.revision = configuration.revision.max(entry.mod_revision);
    remove(configuration, &entry.key);
    let Some((kind, name)) = split_record_key(&entry.key) else {
        return;
    };
    let value = entry.value.as_slice();
    let result = match kind {
        Customer::KIND => decode_named(&mut configuration.customers, name, value),
        CustomerKey::KIND => decode_key(configuration, name, value),
        Endpoint::KIND => decode_endpoint(configuration, name, entry),
        Profile::KIND => decode_named(&mut configuration.profiles, name, value),
        Route::KIND => decode_named(&mut configuration.routes, name, value),
        _ => Ok(()),
    };
    if let Err(error) = result {
        log::warn!(
            "event=config_record_unreadable key={} error={error}",
            entry.key
        );
    }
}

fn decode_named<T: ConfigRecord>(
    records: &mut BTreeMap<String, T>,
    name: &str,
    value: &[u8],
) -> Result<(), serde_json::Error> {
    records.insert(name.to_string(), serde_json::from_slice(value)?);
    Ok(())
}

fn decode_endpoint(
    configuration: &mut Configuration,
    name: &str,
    entry: &Entry,
) -> Result<(), serde_json::Error> {
    decode_named(&mut configuration.endpoints, name, &entry.value)?;
    let revisions = &mut configuration.endpoint_revisions;
    revisions.insert(name.to_string(), entry.mod_revision);
    Ok(())
}

fn decode_key(
    configuration: &mut Configuration,
    name: &str,
    value: &[u8],
) -> Result<(), serde_json::Error> {
    let hash = KeyHash::try_from(name.to_string())
        .map_err(<serde_json::Error as serde::de::Error>::custom)?;
    configuration
        .keys
        .insert(hash, serde_json::from_slice(value)?);
    Ok(())
}

fn remove(configuration: &mut Configuration, key: &str) {
    let Some((kind, name)) = split_record_key(key) else {
        return;
    };
    match kind {
        Customer::KIND => {
            configuration.customers.remove(name);
        }
        CustomerKey::KIND => {
            configuration
                .keys
                .retain(|hash, _| hash.to_string() != name);
        }
        Endpoint::KIND => {
            configuration.endpoints.remove(name);
            configuration.endpoint_revisions.remove(name);
        }
        Profile::KIND => {
            configuration.profiles.remove(name);
        }
        Route::KIND => {
            configuration.routes.remove(name);
        }
        _ => {}
    }
}

/// Splits `config/KIND/NAME` into kind and name. `None` for other keys, such as
/// [`DELETED_KEY`].
fn split_record_key(key: &str) -> Option<(&str, &str)> {
    key.strip_prefix(CONFIG_PREFIX)?.split_once('/')
}
