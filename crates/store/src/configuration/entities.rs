//! Changes of the [`ConfigurationEditor`] that apply to one type of record only, such as
//! retiring a profile.

use std::fmt;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use jayreel_model::{
    Customer, CustomerKey, Endpoint, EndpointState, KeyHash, Profile, Route,
};

use crate::configuration::editor::{Accepted, ConfigurationEditor, EditError, describe};
use crate::configuration::layout::{ConfigRecord, DELETED_KEY, record_key};
use crate::record::{Condition, Transaction, Write};
use crate::typed::Versioned;

/// Attempts at a change without an expected version while others change the same record.
const MAX_UPDATE_ATTEMPTS: u32 = 5;

/// Prefix of every customer key, by which secret scanners can find leaked keys.
const KEY_PREFIX: &str = "jayreel-";

/// Number of random bytes in a customer key.
const SECRET_BYTES: usize = 32;

/// A newly created customer key. The store holds only its hash, so the key itself is
/// available only here.
#[derive(Clone, Eq, PartialEq)]
pub struct GivenKey {
    /// The key that the customer authenticates with.
    pub key: String,
    /// The hash that names the record of the key.
    pub hash: KeyHash,
    /// The change that created the record.
    pub accepted: Accepted,
}

impl fmt::Debug for GivenKey {
    /// Leaves out the key, so that it does not get into logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GivenKey")
            .field("hash", &self.hash.to_string())
            .field("accepted", &self.accepted)
            .finish_non_exhaustive()
    }
}

impl ConfigurationEditor {
    /// Retires a profile. With `version`, only if the profile still has that version. The
    /// record stays, and its name cannot be used again.
    ///
    /// # Errors
    ///
    /// See [`EditError`].
    pub fn retire_profile(
        &self,
        name: &str,
        version: Option<u64>,
    ) -> Result<Accepted, EditError> {
        self.update(name, version, |profile: &mut Profile| {
            profile.retired = true;
        })
    }

    /// Creates a random key for an existing customer.
    ///
    /// # Errors
    ///
    /// See [`EditError`]. After [`EditError::Unknown`], the store may hold the hash of a
    /// key that was never returned to anybody.
    pub fn create_key(&self, customer: &str) -> Result<GivenKey, EditError> {
        let owner: Versioned<Customer> = self.read(customer)?;
        let secret: [u8; SECRET_BYTES] = rand::random();
        let key = format!("{KEY_PREFIX}{}", URL_SAFE_NO_PAD.encode(secret));
        let hash = KeyHash::of_key(&key);
        let record = CustomerKey {
            customer: customer.to_string(),
            withdrawn: false,
        };
        let customer_unchanged = Condition::ModRevision {
            key: record_key::<Customer>(customer),
            revision: owner.version,
        };
        let conditions = vec![customer_unchanged];
        let accepted = self.put(&hash.to_string(), &record, 0, conditions)?;
        Ok(GivenKey {
            key,
            hash,
            accepted,
        })
    }

    /// Withdraws a key permanently, whatever the version of its record.
    ///
    /// # Errors
    ///
    /// See [`EditError`].
    pub fn withdraw_key(&self, hash: KeyHash) -> Result<Accepted, EditError> {
        let name = hash.to_string();
        self.update(&name, None, |key: &mut CustomerKey| key.withdrawn = true)
    }

    /// Marks an endpoint as draining: it gets no new work, and its running work ends
    /// normally. Has no effect if it is draining already.
    ///
    /// # Errors
    ///
    /// See [`EditError`]. [`EditError::Invalid`] if the endpoint was removed.
    pub fn drain_endpoint(&self, name: &str) -> Result<Accepted, EditError> {
        let endpoint: Versioned<Endpoint> = self.read(name)?;
        if endpoint.value.state == EndpointState::Removed {
            let why = format!("endpoint {name:?} was removed");
            return Err(EditError::Invalid(why));
        }
        self.update(name, None, |endpoint: &mut Endpoint| {
            if endpoint.state == EndpointState::Active {
                endpoint.state = EndpointState::Draining;
            }
        })
    }

    /// Marks an endpoint as removed. With `version`, only if the endpoint still has that
    /// version. The record stays, and its name cannot be used again.
    ///
    /// # Errors
    ///
    /// See [`EditError`].
    pub fn remove_endpoint(
        &self,
        name: &str,
        version: Option<u64>,
    ) -> Result<Accepted, EditError> {
        self.update(name, version, |endpoint: &mut Endpoint| {
            endpoint.state = EndpointState::Removed;
        })
    }

    /// Deletes a route if it still has `version`. Also writes [`DELETED_KEY`], so that
    /// polls notice the deletion.
    ///
    /// # Errors
    ///
    /// See [`EditError`].
    pub fn delete_route(&self, name: &str, version: u64) -> Result<Accepted, EditError> {
        self.read::<Route>(name)?;
        let key = record_key::<Route>(name);
        let deletion_marker = Write::Put {
            key: DELETED_KEY.into(),
            value: key.clone().into_bytes(),
            lease: None,
        };
        let transaction = Transaction {
            conditions: vec![Condition::ModRevision {
                key: key.clone(),
                revision: version,
            }],
            writes: vec![Write::Delete { key }, deletion_marker],
        };
        self.commit(&format!("route {name:?}"), transaction)
    }

    /// Applies a change that is correct on any version of the record, such as setting a
    /// flag. Without an expected version, a conflict with another change is therefore
    /// resolved by applying it to the newer record.
    fn update<T: ConfigRecord>(
        &self,
        name: &str,
        expected_version: Option<u64>,
        change: impl Fn(&mut T),
    ) -> Result<Accepted, EditError> {
        let mut attempt = 1;
        loop {
            let old: Versioned<T> = self.read(name)?;
            if expected_version.is_some_and(|version| version != old.version) {
                return Err(EditError::Conflict(describe::<T>(name)));
            }
            let mut new = old.value.clone();
            change(&mut new);
            if new == old.value {
                return Ok(Accepted {
                    revision: old.version,
                    changed: false,
                });
            }
            match self.put(name, &new, old.version, Vec::new()) {
                Err(EditError::Conflict(_)) if attempt < MAX_UPDATE_ATTEMPTS => {
                    attempt += 1
                }
                result => return result,
            }
        }
    }
}
