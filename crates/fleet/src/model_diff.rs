//! Compares what an engine has loaded with what its endpoint record names. Stateless.

use std::collections::BTreeSet;

use jayreel_model::{Endpoint, EngineModels, EngineOrder, LoadState};

/// The orders that make the engine match its record. Each may be sent without the ones
/// before it, so an order that has to wait does not delay the others.
///
/// A version is unloaded only if the wanted one is loaded, and a model only after its
/// adapters. While the record names no version of a model, all its loaded versions stay.
pub(crate) fn required_orders(
    wanted: &Endpoint,
    report: &EngineModels,
) -> Vec<EngineOrder> {
    let mut orders = unneeded_adapters(wanted, report);
    orders.extend(unneeded_models(wanted, report));
    orders.extend(missing_models(wanted, report));
    orders.extend(missing_adapters(wanted, report));
    orders.extend(old_versions(wanted, report));
    orders
}

/// Names of the models and adapters whose calls use what the order unloads. A model is also
/// used by calls of its adapters, loaded or configured. Empty for other orders.
pub(crate) fn used_by(
    order: &EngineOrder,
    wanted: &Endpoint,
    report: &EngineModels,
) -> BTreeSet<String> {
    match order {
        EngineOrder::UnloadAdapter { adapter, .. } => BTreeSet::from([adapter.clone()]),
        EngineOrder::UnloadModel { model, .. } => {
            let reported = report.adapters.iter().filter(|one| one.model == *model);
            let configured = wanted.adapters.iter().filter(|(_, base)| *base == model);
            reported
                .map(|one| one.adapter.clone())
                .chain(configured.map(|(adapter, _)| adapter.clone()))
                .chain([model.clone()])
                .collect()
        }
        _ => BTreeSet::new(),
    }
}

/// Unloads of the adapters that the record does not name for their model.
fn unneeded_adapters(wanted: &Endpoint, report: &EngineModels) -> Vec<EngineOrder> {
    let unneeded = report
        .adapters
        .iter()
        .filter(|one| wanted.adapters.get(&one.adapter) != Some(&one.model));
    unneeded
        .map(|one| EngineOrder::UnloadAdapter {
            model: one.model.clone(),
            adapter: one.adapter.clone(),
        })
        .collect()
}

/// Unloads of the models that the record does not name and that have no adapter loaded.
fn unneeded_models(wanted: &Endpoint, report: &EngineModels) -> Vec<EngineOrder> {
    let has_adapter =
        |model: &String| report.adapters.iter().any(|one| one.model == *model);
    let unneeded = report
        .models
        .iter()
        .filter(|one| !wanted.models.contains(&one.model) && !has_adapter(&one.model));
    unneeded
        .map(|one| EngineOrder::UnloadModel {
            model: one.model.clone(),
            version: one.version.clone(),
        })
        .collect()
}

/// Loads of the models in the record that are neither loaded nor loading in the wanted
/// version. If the record names no version, any version will do.
fn missing_models(wanted: &Endpoint, report: &EngineModels) -> Vec<EngineOrder> {
    let missing = wanted.models.iter().filter(|model| {
        let version = wanted.versions.get(*model);
        !report.models.iter().any(|one| {
            one.model == **model && (version.is_none() || one.version.as_ref() == version)
        })
    });
    missing
        .map(|model| EngineOrder::LoadModel {
            model: model.clone(),
            version: wanted.versions.get(model).cloned(),
        })
        .collect()
}

/// Loads of the adapters in the record that are neither loaded nor loading and whose model
/// is loaded.
fn missing_adapters(wanted: &Endpoint, report: &EngineModels) -> Vec<EngineOrder> {
    let is_loaded = |model: &String| {
        let mut models = report.models.iter();
        models.any(|one| one.model == *model && one.state == LoadState::Loaded)
    };
    let missing = wanted.adapters.iter().filter(|(adapter, model)| {
        let mut adapters = report.adapters.iter();
        let has = adapters.any(|one| one.adapter == **adapter && one.model == **model);
        !has && is_loaded(model)
    });
    missing
        .map(|(adapter, model)| EngineOrder::LoadAdapter {
            model: model.clone(),
            adapter: adapter.clone(),
        })
        .collect()
}

/// Unloads of all other versions of the models whose wanted version is loaded.
fn old_versions(wanted: &Endpoint, report: &EngineModels) -> Vec<EngineOrder> {
    let is_replaced = |model: &String, version: &Option<String>| {
        let Some(wanted_version) = wanted.versions.get(model) else {
            return false;
        };
        let has_wanted_version = report.models.iter().any(|one| {
            one.model == *model
                && one.version.as_ref() == Some(wanted_version)
                && one.state == LoadState::Loaded
        });
        wanted.models.contains(model)
            && version.as_ref() != Some(wanted_version)
            && has_wanted_version
    };
    let old = report
        .models
        .iter()
        .filter(|one| is_replaced(&one.model, &one.version));
    old.map(|one| EngineOrder::UnloadModel {
        model: one.model.clone(),
        version: one.version.clone(),
    })
    .collect()
}
