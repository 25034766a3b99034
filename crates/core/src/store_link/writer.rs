//! Performs the store effects of the reducer, in order.

use crossbeam::channel::Receiver;
use jayreel_fleet::{FleetEffect, FleetEvent};
use jayreel_model::Incarnation;
use jayreel_programs::grants::budget_key;
use jayreel_programs::ownership::{claim_requires_absent, takeover_key};
use jayreel_programs::{BudgetRecord, TakeoverRecord};
use jayreel_quota::home_weights::{HOME_KEY, HomeRecord};
use jayreel_store::{Condition, Transaction, Write, budget_record, takeover_record};

use crate::store_link::Context;
use crate::store_link::reader::read_home_weights;

/// Maximum number of attempts to create a takeover record when the store's response is lost
/// or the transaction is rejected.
const MAX_CLAIM_ATTEMPTS: u32 = 3;

/// Performs effects until all senders are dropped.
pub(super) fn run(context: &Context, own: &Incarnation, effects: &Receiver<FleetEffect>) {
    // 0 as long as this process has written no budget record.
    let mut budget_version = 0;
    for effect in effects {
        match effect {
            FleetEffect::ClaimTakeover { of, record } => {
                claim_takeover(context, own, of, record);
            }
            FleetEffect::ReadBudget { of } => read_budget(context, of),
            FleetEffect::WriteBudget(record) => {
                write_budget(context, own, record, &mut budget_version);
            }
            FleetEffect::WriteHomeWeights {
                record,
                version,
                requires_absent,
            } => {
                write_home_weights(context, &record, version, &requires_absent);
            }
            FleetEffect::ListCacheTags { .. }
            | FleetEffect::SendOrder { .. }
            | FleetEffect::ReleaseCacheTag { .. }
            | FleetEffect::Send { .. } => log::error!("event=misrouted_effect"),
        }
    }
}

/// Creates the takeover record of the process `of`, unless it exists or this process has a
/// successor itself; without the second condition two processes could succeed each other.
/// If the outcome stays unknown, sends the reducer [`FleetEvent::TakeoverUnconfirmed`].
fn claim_takeover(
    context: &Context,
    own: &Incarnation,
    of: Incarnation,
    record: TakeoverRecord,
) {
    for _ in 0..MAX_CLAIM_ATTEMPTS {
        match takeover_record::<TakeoverRecord>(&context.store, &of).read() {
            Ok(Some(found)) => return send_takeover(context, of, found.value),
            Ok(None) => {}
            Err(error) => {
                log::warn!("event=takeover_unread of={of} error={error:?}");
                break;
            }
        }
        let conditions = claim_requires_absent(&of, own)
            .map(|key| Condition::ModRevision { key, revision: 0 });
        let Ok(value) = serde_json::to_vec(&record) else {
            break;
        };
        let write = Write::Put {
            key: takeover_key(&of),
            value,
            lease: None,
        };
        let transaction = Transaction {
            conditions: conditions.to_vec(),
            writes: vec![write],
        };
        match context.store.commit(transaction) {
            Ok(commit) if commit.succeeded => {
                return send_takeover(context, of, record);
            }
            // Rejected or unknown: the read in the next attempt shows which record exists.
            Ok(_) => report_own_successor(context, own),
            Err(error) => {
                log::warn!("event=takeover_unconfirmed of={of} error={error:?}")
            }
        }
    }
    context.send(FleetEvent::TakeoverUnconfirmed { of });
}

fn send_takeover(context: &Context, of: Incarnation, record: TakeoverRecord) {
    let successor = &record.successor;
    log::info!("event=takeover of={of} successor={successor}");
    context.send(FleetEvent::TakeoverRead { of, record });
}

/// Reports to the reducer which process has taken over the programs of this one, if there is
/// one.
pub(super) fn report_own_successor(context: &Context, own: &Incarnation) {
    if let Ok(Some(found)) = takeover_record(&context.store, own).read() {
        send_takeover(context, own.clone(), found.value);
    }
}

/// Reads the budget record of the process `of`, whose programs this process takes over.
fn read_budget(context: &Context, of: Incarnation) {
    match budget_record::<BudgetRecord>(&context.store, &of).read() {
        Ok(found) => {
            let record = found.map(|found| found.value);
            context.send(FleetEvent::BudgetRead { of, record });
        }
        Err(error) => {
            log::warn!("event=budget_unread of={of} error={error:?}");
            context.send(FleetEvent::TakeoverUnconfirmed { of });
        }
    }
}

/// Writes the budget record of this process unless another process has taken over. Only this
/// process writes the record, so the version that it wrote last is the current one unless a
/// response of the store was lost.
fn write_budget(
    context: &Context,
    own: &Incarnation,
    record: BudgetRecord,
    version: &mut u64,
) {
    let key = budget_key(own);
    let conditions = vec![
        Condition::ModRevision {
            key: key.clone(),
            revision: *version,
        },
        Condition::ModRevision {
            key: takeover_key(own),
            revision: 0,
        },
    ];
    let write = Write::Put {
        key,
        value: record.encode(),
        lease: None,
    };
    let transaction = Transaction {
        conditions,
        writes: vec![write],
    };
    let confirmed = match context.store.commit(transaction) {
        Ok(commit) if commit.succeeded => {
            *version = commit.revision;
            true
        }
        outcome => {
            log::warn!("event=budget_unwritten outcome={outcome:?}");
            report_own_successor(context, own);
            is_budget_written(context, own, &record, version)
        }
    };
    context.send(FleetEvent::BudgetWritten { record, confirmed });
}

/// Whether the record was written although the response was lost. Also updates `version` to
/// that of the record in the store.
fn is_budget_written(
    context: &Context,
    own: &Incarnation,
    record: &BudgetRecord,
    version: &mut u64,
) -> bool {
    match budget_record::<BudgetRecord>(&context.store, own).read() {
        Ok(Some(found)) => {
            *version = found.version;
            found.value == *record
        }
        _ => false,
    }
}

/// Replaces the home weights if they still have `version` and no instance named in
/// `requires_absent` is registered. Reads them again in any case.
fn write_home_weights(
    context: &Context,
    record: &HomeRecord,
    version: u64,
    requires_absent: &[String],
) {
    let Ok(value) = serde_json::to_vec(record) else {
        return;
    };
    let mut conditions = vec![Condition::ModRevision {
        key: HOME_KEY.to_string(),
        revision: version,
    }];
    conditions.extend(requires_absent.iter().map(|name| Condition::ModRevision {
        key: format!("instances/{name}"),
        revision: 0,
    }));
    let write = Write::Put {
        key: HOME_KEY.to_string(),
        value,
        lease: None,
    };
    let transaction = Transaction {
        conditions,
        writes: vec![write],
    };
    match context.store.commit(transaction) {
        Ok(commit) => {
            let accepted = commit.succeeded;
            log::info!("event=home_written accepted={accepted}");
            context.send(FleetEvent::HomeWeightsWritten { version, accepted });
        }
        Err(error) => log::warn!("event=home_unwritten error={error:?}"),
    }
    read_home_weights(context);
}
