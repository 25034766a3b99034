//! The administration API over the configuration in the store.

mod confirm;

use std::sync::Arc;

use crossbeam::channel::Sender;
use jayreel_model::{Customer, CustomerKey, Endpoint, KeyHash, Profile, Route};
use jayreel_quota::home_weights::HomeRecord;
use jayreel_server::admin::{
    AdminAnswer, AdminError, AdminErrorKind, AdminHandler, AdminOperation, AdminRequest,
    AdminResource, ExpectedVersion,
};
use jayreel_store::configuration::{ConfigRecord, Editable};
use jayreel_store::registration::INSTANCES_PREFIX;
use jayreel_store::{
    ConfigurationEditor, ConfigurationFeed, EditError, Store, Versioned,
    forget_registration, home_record,
};
use serde::Serialize;
use serde_json::{Value, json};

use crate::admin::confirm::STATUS_UNCONFIRMED;
use crate::peer_link::PeerSender;
use crate::shell::RunnerEvent;

/// Serves operators.
pub(crate) struct Administration {
    editor: ConfigurationEditor,
    store: Arc<dyn Store>,
    feed: Arc<ConfigurationFeed>,
    peers: PeerSender,
    events: Sender<RunnerEvent>,
    offline_grace_s: u64,
}

impl Administration {
    /// An API over `store`.
    pub(crate) fn new(
        store: Arc<dyn Store>,
        feed: Arc<ConfigurationFeed>,
        peers: PeerSender,
        events: Sender<RunnerEvent>,
        offline_grace_s: u64,
    ) -> Administration {
        let editor = ConfigurationEditor::new(Arc::clone(&store), Default::default());
        Administration {
            editor,
            store,
            feed,
            peers,
            events,
            offline_grace_s,
        }
    }

    fn list(&self, resource: AdminResource) -> Result<AdminAnswer, AdminError> {
        match resource {
            AdminResource::Customers => self.list_of::<Customer>(),
            AdminResource::Endpoints => self.list_of::<Endpoint>(),
            AdminResource::Keys => self.list_of::<CustomerKey>(),
            AdminResource::Profiles => self.list_of::<Profile>(),
            AdminResource::Routes => self.list_of::<Route>(),
        }
    }

    fn get(
        &self,
        resource: AdminResource,
        name: &str,
    ) -> Result<AdminAnswer, AdminError> {
        match resource {
            AdminResource::Customers => self.get_one::<Customer>(name),
            AdminResource::Endpoints => self.get_one::<Endpoint>(name),
            AdminResource::Keys => self.get_one::<CustomerKey>(name),
            AdminResource::Profiles => self.get_one::<Profile>(name),
            AdminResource::Routes => self.get_one::<Route>(name),
        }
    }

    fn put(
        &self,
        resource: AdminResource,
        name: &str,
        request: &AdminRequest,
    ) -> Result<AdminAnswer, AdminError> {
        match resource {
            AdminResource::Customers => self.put_one::<Customer>(name, request),
            AdminResource::Endpoints => self.put_one::<Endpoint>(name, request),
            AdminResource::Keys => Err(AdminError::new(
                AdminErrorKind::Invalid,
                "keys are given with POST /admin/v1/keys and withdrawn with DELETE",
            )),
            AdminResource::Profiles => self.put_one::<Profile>(name, request),
            AdminResource::Routes => self.put_one::<Route>(name, request),
        }
    }

    fn delete(
        &self,
        resource: AdminResource,
        name: &str,
        request: &AdminRequest,
    ) -> Result<AdminAnswer, AdminError> {
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

    fn list_of<T: ConfigRecord + Serialize>(&self) -> Result<AdminAnswer, AdminError> {
        let records = self.editor.list::<T>().map_err(edit_error)?;
        let entries: Vec<Value> = records
            .into_iter()
            .map(|(name, Versioned { version, value })| {
                json!({ "name": name, "version": version, "record": value })
            })
            .collect();
        Ok(answer(200, None, &Value::Array(entries)))
    }

    fn get_one<T: ConfigRecord + Serialize>(
        &self,
        name: &str,
    ) -> Result<AdminAnswer, AdminError> {
        let Versioned { version, value } =
            self.editor.read::<T>(name).map_err(edit_error)?;
        Ok(answer(200, Some(version), &json!(value)))
    }

    fn put_one<T: Editable>(
        &self,
        name: &str,
        request: &AdminRequest,
    ) -> Result<AdminAnswer, AdminError> {
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

    fn issue_key(&self, request: &AdminRequest) -> Result<AdminAnswer, AdminError> {
        let body: Value = serde_json::from_slice(&request.body).map_err(|error| {
            AdminError::new(AdminErrorKind::Invalid, format!("invalid body: {error}"))
        })?;
        let customer = body["customer"].as_str().ok_or_else(|| {
            AdminError::new(AdminErrorKind::Invalid, "the body must name a customer")
        })?;
        let given = self.editor.give_key(customer).map_err(edit_error)?;
        let (unconfirmed, _) = self.unconfirmed(given.accepted.revision, None);
        let body = json!({
            "customer": customer,
            "key": given.key,
            "hash": given.hash.to_string(),
            "unconfirmed": unconfirmed,
        });
        let status = if unconfirmed.is_empty() {
            201
        } else {
            STATUS_UNCONFIRMED
        };
        Ok(answer(status, Some(given.accepted.revision), &body))
    }

    /// Withdraws a key in the store, and at the same time here and at all peers, so that
    /// it also ends in an availability zone without the store.
    fn withdraw_key(&self, name: &str) -> Result<AdminAnswer, AdminError> {
        let hash = KeyHash::try_from(name.to_string()).map_err(|_| {
            AdminError::new(AdminErrorKind::Invalid, "a key is named by its blake3 hash")
        })?;
        let known = self
            .feed
            .current()
            .is_some_and(|c| c.keys.contains_key(&hash));
        if known {
            self.withdraw_ahead(hash);
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

    /// States that a process is dead: its registration and its share go.
    fn forget_instance(&self, name: &str) -> Result<AdminAnswer, AdminError> {
        self.delete_registration(name)?;
        let result = home_record::<HomeRecord>(&self.store)
            .update(|record| record.and_then(|record| record.forget(name)));
        match result {
            Ok(_) => Ok(answer(200, None, &json!({ "forgotten": name }))),
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
                forget_registration(store, name, entry.mod_revision).map_err(store_error)
            }
        }
    }

    fn show_status(&self) -> Result<AdminAnswer, AdminError> {
        let report = self.status().ok_or_else(|| {
            AdminError::new(AdminErrorKind::Busy, "the reducer did not answer in time")
        })?;
        let mut body = serde_json::to_value(&report.fleet).unwrap_or(Value::Null);
        body["calls"] = json!(report.calls);
        Ok(answer(200, None, &body))
    }
}

impl AdminHandler for Administration {
    fn handle(&self, request: AdminRequest) -> Result<AdminAnswer, AdminError> {
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

fn answer(status: u16, version: Option<u64>, body: &Value) -> AdminAnswer {
    AdminAnswer {
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
