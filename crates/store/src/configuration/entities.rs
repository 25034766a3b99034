//! Changes that are particular to one type of record.

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

/// Attempts at a change that stays right when somebody else changes the record first.
const RACE_ATTEMPTS: u32 = 5;

/// Start of every customer key, so that secret scanners can find leaked ones.
const KEY_START: &str = "jayreel-";

/// Random bytes in a customer key.
const KEY_BYTES: usize = 32;

/// A new customer key. This is the only time that its text is available.
#[derive(Clone, Eq, PartialEq)]
pub struct GivenKey {
    /// The text to hand to the customer.
    pub key: String,
    /// The hash under which it is stored.
    pub hash: KeyHash,
    /// The change that made it valid.
    pub accepted: Accepted,
}

impl fmt::Debug for GivenKey {
    /// Leaves out the text of the key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GivenKey")
            .field("hash", &self.hash.to_string())
            .field("accepted", &self.accepted)
            .finish_non_exhaustive()
    }
}

impl ConfigurationEditor {
    /// Retires a profile, if it still has `version` in case one is named. The record stays,
    /// and its name cannot be used again.
    ///
    /// # Errors
    ///
    /// See [`EditError`].
    pub fn retire_profile(
        &self,
        name: &str,
        version: Option<u64>,
    ) -> Result<Accepted, EditError> {
        self.settle(name, version, |profile: &mut Profile| {
            profile.retired = true;
        })
    }

    /// Creates a key for an existing customer.
    ///
    /// # Errors
    ///
    /// See [`EditError`]. After [`EditError::Unknown`] a key may exist that nobody
    /// knows.
    pub fn create_key(&self, customer: &str) -> Result<GivenKey, EditError> {
        let owner: Versioned<Customer> = self.read(customer)?;
        let secret: [u8; KEY_BYTES] = rand::random();
        let key = format!("{KEY_START}{}", URL_SAFE_NO_PAD.encode(secret));
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

    /// Withdraws a key for good, whatever its version.
    ///
    /// # Errors
    ///
    /// See [`EditError`].
    pub fn withdraw_key(&self, hash: KeyHash) -> Result<Accepted, EditError> {
        let name = hash.to_string();
        self.settle(&name, None, |key: &mut CustomerKey| key.withdrawn = true)
    }

    /// Stops new work at an endpoint. Its running work ends normally.
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
        self.settle(name, None, |endpoint: &mut Endpoint| {
            if endpoint.state == EndpointState::Active {
                endpoint.state = EndpointState::Draining;
            }
        })
    }

    /// Marks an endpoint as gone, if it still has `version` in case one is named. The
    /// record stays.
    ///
    /// # Errors
    ///
    /// See [`EditError`].
    pub fn remove_endpoint(
        &self,
        name: &str,
        version: Option<u64>,
    ) -> Result<Accepted, EditError> {
        self.settle(name, version, |endpoint: &mut Endpoint| {
            endpoint.state = EndpointState::Removed;
        })
    }

    /// Deletes a route that still has version `version`.
    ///
    /// # Errors
    ///
    /// See [`EditError`].
    pub fn delete_route(&self, name: &str, version: u64) -> Result<Accepted, EditError> {
        self.read::<Route>(name)?;
        let key = record_key::<Route>(name);
        let deletion = Write::Put {
            key: DELETED_KEY.into(),
            value: key.clone().into_bytes(),
            lease: None,
        };
        let transaction = Transaction {
            conditions: vec![Condition::ModRevision {
                key: key.clone(),
                revision: version,
            }],
            writes: vec![Write::Delete { key }, deletion],
        };
        self.commit(&format!("route {name:?}"), transaction)
    }

    /// Brings a record into a state that is right whatever else changed, so without an
    /// expected version a lost race is repeated on the newer record.
    fn settle<T: ConfigRecord>(
        &self,
        name: &str,
        expected: Option<u64>,
        change: impl Fn(&mut T),
    ) -> Result<Accepted, EditError> {
        let mut attempt = 1;
        loop {
            let old: Versioned<T> = self.read(name)?;
            if expected.is_some_and(|version| version != old.version) {
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
                Err(EditError::Conflict(_)) if attempt < RACE_ATTEMPTS => attempt += 1,
                result => return result,
            }
        }
    }
}
