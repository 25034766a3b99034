//! Implements the administration API on the configuration in the store.

mod confirm;

use std::sync::Arc;

use crossbeam::channel::Sender;
use jayreel_model::{Customer, CustomerKey, Endpoint, KeyHash, Profile, Route};
use jayreel_quota::home_weights::HomeRecord;
use jayreel_server::admin::{
    AdminError, AdminErrorKind, AdminHandler, AdminOperation, AdminRequest,
    AdminResource, AdminResponse, ExpectedVersion,
};
use jayreel_store::configuration::{ConfigRecord, Editable};
use jayreel_store::registration::INSTANCES_PREFIX;
use jayreel_store::{
    ConfigurationEditor, ConfigurationFeed, EditError, Store, Versioned,
    home_weights_record, remove_registration,
};
use serde::Serialize;
use serde_json::{Value, json};

use crate::admin::confirm::STATUS_UNCONFIRMED;
use crate::peer_link::PeerSender;
use crate::shell::RunnerEvent;

/// Handles the requests of operators.
pub(crate) struct AdminApi {
    editor: ConfigurationEditor,
    store: Arc<dyn Store>,
    feed: Arc<ConfigurationFeed>,
    peers: PeerSender,
    events: Sender<RunnerEvent>,
    offline_grace_s: u64,
}

impl AdminApi {
    /// Creates the API on `store`. `offline_grace_s` is reported to operators as the time for
    /// which an instance that has not confirmed a change may continue without it.
    pub(crate) fn new(
        store: Arc<dyn Store>,
        feed: Arc<ConfigurationFeed>,
        peers: PeerSender,
        events: Sender<RunnerEvent>,
        offline_grace_s: u64,
    ) -> AdminApi {
        let editor = ConfigurationEditor::new(Arc::clone(&store), Default::default());
        AdminApi {
            editor,
            store,
            feed,
            peers,
            events,
            offline_grace_s,
        }
    }

    fn list(&self, resource: AdminResource) -> Result<AdminResponse, AdminError> {
        match resource {
            AdminResource::Customers => self.list_records::<Customer>(),
            AdminResource::Endpoints => self.list_records::<Endpoint>(),
            AdminResource::Keys => self.list_records::<CustomerKey>(),
            AdminResource::Profiles => self.list_records::<Profile>(),
            AdminResource::Routes => self.list_records::<Route>(),
        }
    }

    fn get(
        &self,
        resource: AdminResource,
        name: &str,
    ) -> Result<AdminResponse, AdminError> {
        match resource {
            AdminResource::Customers => self.get_record::<Customer>(name),
            AdminResource::Endpoints => self.get_record::<Endpoint>(name),
            AdminResource::Keys => self.get_record::<CustomerKey>(name),
            AdminResource::Profiles => self.get_record::<Profile>(name),
            AdminResource::Routes => self.get_record::<Route>(name),
        }
    }

    fn put(
        &self,
        resource: AdminResource,
        name: &str,
        request: &AdminRequest,
    ) -> Result<AdminResponse, AdminError> {
        match resource {
            AdminResource::Customers => self.put_record::<Customer>(name, request),
            AdminResource::Endpoints => self.put_record::<Endpoint>(name, request),
            AdminResource::Keys => Err(AdminError::new(
                AdminErrorKind::Invalid,
                "keys are given with POST /admin/v1/keys and withdrawn with DELETE",
            )),
            AdminResource::Profiles => self.put_record::<Profile>(name, request),
            AdminResource::Routes => self.put_record::<Route>(name, request),
        }
    }

    fn delete(
        &self,
        resource: AdminResource,
        name: &str,
        request: &AdminRequest,
    ) -> Result<AdminResponse, AdminError> {
        let version = match request.expected {
            Some(ExpectedVersion::Is(version)) => Some(version),
            Some(ExpectedVersion::Absent) | None => None,
        };
        let accepted = match resource {
            AdminResource::Customers => {
                return Err(AdminError::new(
                    AdminErrorKind::Invalid,
                    "customers are not deleted; withdraw their keys",
                ));
            }
            AdminResource::Endpoints => self.editor.remove_endpoint(name, version),
            AdminResource::Keys => return self.withdraw_key(name),
            AdminResource::Profiles => self.editor.retire_profile(name, version),
            AdminResource::Routes => {
                let version = version.ok_or_else(version_required)?;
                self.editor.delete_route(name, version)
            }
        };
        Ok(self.confirm(200, accepted.map_err(edit_error)?))
    }

    /// Returns all records of one kind with their names and versions.
    fn list_records<T: ConfigRecord + Serialize>(
        &self,
    ) -> Result<AdminResponse, AdminError> {
        let records = self.editor.list::<T>().map_err(edit_error)?;
        let entries: Vec<Value> = records
            .into_iter()
            .map(|(name, Versioned { version, value })| {
                json!({ "name": name, "version": version, "record": value })
            })
            .collect();
        Ok(json_response(200, None, &Value::Array(entries)))
    }

    fn get_record<T: ConfigRecord + Serialize>(
        &self,
        name: &str,
    ) -> Result<AdminResponse, AdminError> {
        let Versioned { version, value } =
            self.editor.read::<T>(name).map_err(edit_error)?;
        Ok(json_response(200, Some(version), &json!(value)))
    }

    /// Creates the record with `If-None-Match: *`, or changes it with `If-Match`, and waits
    /// until all instances confirm the change.
    fn put_record<T: Editable>(
        &self,
        name: &str,
        request: &AdminRequest,
    ) -> Result<AdminResponse, AdminError> {
        let record: T = serde_json::from_slice(&request.body).map_err(|error| {
            AdminError::new(AdminErrorKind::Invalid, format!("invalid record: {error}"))
        })?;
        match request.expected {
            Some(ExpectedVersion::Absent) => {
                let accepted = self.editor.create(name, &record).map_err(edit_error)?;
                Ok(self.confirm(201, accepted))
            }
            Some(ExpectedVersion::Is(version)) => {
                let accepted = self
                    .editor
                    .change(name, &record, version)
                    .map_err(edit_error)?;
                Ok(self.confirm(200, accepted))
            }
            None => Err(version_required()),
        }
    }

    /// Creates a key for the customer named in the body. Only the response contains the key;
    /// the store has its hash.
    fn issue_key(&self, request: &AdminRequest) -> Result<AdminResponse, AdminError> {
        let body: Value = serde_json::from_slice(&request.body).map_err(|error| {
            AdminError::new(AdminErrorKind::Invalid, format!("invalid body: {error}"))
        })?;
        let customer = body["customer"].as_str().ok_or_else(|| {
            AdminError::new(AdminErrorKind::Invalid, "the body must name a customer")
        })?;
        let issued = self.editor.create_key(customer).map_err(edit_error)?;
        let (unconfirmed, _) = self.unconfirmed(issued.accepted.revision, None);
        let body = json!({
            "customer": customer,
            "key": issued.key,
            "hash": issued.hash.to_string(),
            "unconfirmed": unconfirmed,
        });
        let status = if unconfirmed.is_empty() {
            201
        } else {
            STATUS_UNCONFIRMED
        };
        Ok(json_response(status, Some(issued.accepted.revision), &body))
    }

    /// Withdraws a key in the store. First withdraws it here and at all peers directly, so
    /// that it also becomes invalid in an availability zone that cannot reach the store.
    fn withdraw_key(&self, name: &str) -> Result<AdminResponse, AdminError> {
        let hash = KeyHash::try_from(name.to_string()).map_err(|_| {
            AdminError::new(AdminErrorKind::Invalid, "a key is named by its blake3 hash")
        })?;
        let known = self
            .feed
            .current()
            .is_some_and(|c| c.keys.contains_key(&hash));
        if known {
            self.withdraw_before_store(hash);
        }
        match self.editor.withdraw_key(hash) {
            Ok(accepted) => Ok(self.confirm_withdrawal(accepted, hash)),
            Err(error) if known && !matches!(error, EditError::NotFound(_)) => {
                let message = format!(
                    "the key is withdrawn at this instance and at the peers that it \
                     reaches, but not in the store; repeat the command: {error}"
                );
                let kind = edit_error(error).kind;
                Err(AdminError::new(kind, message))
            }
            Err(error) => Err(edit_error(error)),
        }
    }

    /// Removes the registration and the rate share of an instance whose process is dead.
    fn forget_instance(&self, name: &str) -> Result<AdminResponse, AdminError> {
        self.delete_registration(name)?;
        let result = home_weights_record::<HomeRecord>(&self.store)
            .update(|record| record.and_then(|record| record.forget(name)));
        match result {
            Ok(_) => Ok(json_response(200, None, &json!({ "forgotten": name }))),
            Err(error) => Err(AdminError::new(
                AdminErrorKind::StoreUnavailable,
                format!("cannot free the share: {error}"),
            )),
        }
    }

    fn delete_registration(&self, name: &str) -> Result<(), AdminError> {
        let key = format!("{INSTANCES_PREFIX}{name}");
        let store = self.store.as_ref();
        let entry = store.get(&key).map_err(store_error)?;
        match entry {
            None => Ok(()),
            Some(entry) => {
                remove_registration(store, name, entry.mod_revision).map_err(store_error)
            }
        }
    }

    /// Returns the state of the reducer: its view of the fleet, and the calls.
    fn show_status(&self) -> Result<AdminResponse, AdminError> {
        let report = self.status().ok_or_else(|| {
            AdminError::new(AdminErrorKind::Busy, "the reducer did not answer in time")
        })?;
        let mut body = serde_json::to_value(&report.fleet).unwrap_or(Value::Null);
        body["calls"] = json!(report.calls);
        Ok(json_response(200, None, &body))
    }
}

impl AdminHandler for AdminApi {
    fn handle(&self, request: AdminRequest) -> Result<AdminResponse, AdminError> {
        let result = match &request.operation {
            AdminOperation::List(resource) => self.list(*resource),
            AdminOperation::Get(resource, name) => self.get(*resource, name),
            AdminOperation::Put(resource, name) => self.put(*resource, name, &request),
            AdminOperation::Delete(resource, name) => {
                self.delete(*resource, name, &request)
            }
            AdminOperation::IssueKey => self.issue_key(&request),
            AdminOperation::ForgetInstance(name) => self.forget_instance(name),
            AdminOperation::Status => self.show_status(),
        };
        log::info!(
            "event=operator operator={} operation={:?} status={}",
            request.operator,
            request.operation,
            result
                .as_ref()
                .map_or_else(|e| e.kind.status(), |a| a.status)
        );
        result
    }
}

/// Creates a response with a JSON body. `version` is sent as `ETag`.
fn json_response(status: u16, version: Option<u64>, body: &Value) -> AdminResponse {
    AdminResponse {
        status,
        version,
        body: body.to_string().into_bytes(),
    }
}

fn store_error(error: impl std::fmt::Display) -> AdminError {
    AdminError::new(AdminErrorKind::StoreUnavailable, error.to_string())
}

fn version_required() -> AdminError {
    AdminError::new(
        AdminErrorKind::VersionRequired,
        "name the version with If-Match, or If-None-Match: * for a new record",
    )
}

/// Converts an error of the configuration editor.
fn edit_error(error: EditError) -> AdminError {
    let kind = match &error {
        EditError::AlreadyExists(_) => AdminErrorKind::Conflict,
        EditError::Conflict(_) => AdminErrorKind::VersionMismatch,
        EditError::Invalid(_) => AdminErrorKind::Invalid,
        EditError::NotFound(_) => AdminErrorKind::NotFound,
        EditError::Store(_) => AdminErrorKind::StoreUnavailable,
        EditError::Unknown(_) => AdminErrorKind::OutcomeUnknown,
        _ => AdminErrorKind::Conflict,
    };
    AdminError::new(kind, error.to_string())
}
