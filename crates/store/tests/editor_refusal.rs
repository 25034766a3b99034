//! Tests of configuration changes in a store that fails between the grant of the lease
//! and the transaction.

use std::sync::Arc;

use jayreel_model::Customer;
use jayreel_store::{
    Commit, ConfigurationEditor, EditError, EditorSettings, Entry, LeaseId, MemoryStore,
    Range, Store, StoreError, Transaction, Watch,
};
use test_case::test_case;

/// A store whose transactions all fail with the given error. Other calls succeed.
struct FailingCommits(MemoryStore, StoreError);

impl Store for FailingCommits {
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.0.get(key)
    }

    fn range(&self, prefix: &str) -> Result<Range, StoreError> {
        self.0.range(prefix)
    }

    fn newest_revision(&self, prefix: &str) -> Result<u64, StoreError> {
        self.0.newest_revision(prefix)
    }

    fn commit(&self, _: Transaction) -> Result<Commit, StoreError> {
        Err(self.1.clone())
    }

    fn grant_lease(&self, ttl_s: u64) -> Result<LeaseId, StoreError> {
        self.0.grant_lease(ttl_s)
    }

    fn renew_lease(&self, lease: LeaseId) -> Result<bool, StoreError> {
        self.0.renew_lease(lease)
    }

    fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.0.revoke_lease(lease)
    }

    fn watch(&self, prefix: &str, from: u64) -> Result<Box<dyn Watch>, StoreError> {
        self.0.watch(prefix, from)
    }
}

/// Guards against reporting "not accepted" after a store error that does not tell whether
/// the change was made, and "unknown" after one that says that it was not.
#[test_case(StoreError::Unavailable("refused".into()), true)]
#[test_case(StoreError::Rejected("lease not found".into()), true)]
#[test_case(StoreError::OutcomeUnknown("reset".into()), false)]
#[test_case(StoreError::Protocol("no JSON".into()), false)]
fn store_error_decides_whether_the_outcome_is_known(
    error: StoreError,
    is_not_accepted: bool,
) {
    let settings = EditorSettings {
        resolve_attempts: 2,
        resolve_pause_ms: 0,
    };
    let store = Arc::new(FailingCommits(MemoryStore::new(), error));
    let editor = ConfigurationEditor::new(store, settings);
    let customer = Customer {
        rate_mreq_per_s: 5_000,
        burst_mreq: 10_000,
        weight: 1,
    };
    let result: EditError = editor.create("acme", &customer).unwrap_err();
    assert_eq!(result.is_not_accepted(), is_not_accepted, "{result:?}");
}
