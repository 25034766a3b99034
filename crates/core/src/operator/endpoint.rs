//! Builds the record of an endpoint from the command line.

use clap::ArgMatches;
use eyre::eyre;
use serde_json::{Map, Value};

use super::{copy_models, copy_numbers, copy_strings, with_field};

/// Builds the record of a new endpoint.
///
/// # Errors
///
/// If a version or an adapter is not of the form `NAME=VALUE`.
pub(super) fn new_record(matches: &ArgMatches) -> eyre::Result<Map<String, Value>> {
    let mut record = Map::new();
    copy_strings(
        matches,
        &mut record,
        &["kind", "group", "availability-zone", "address"],
    );
    copy_numbers(matches, &mut record, &["slots"]);
    copy_models(matches, &mut record);
    copy_pairs(matches, &mut record)?;
    let checks_fencing = matches.get_flag("checks-fencing");
    Ok(with_field(record, "checks_fencing", checks_fencing))
}

/// Updates the fields that are given on the command line. Other fields are kept, except for
/// versions and adapters of models that are no longer served.
///
/// # Errors
///
/// If a version or an adapter is not of the form `NAME=VALUE`.
pub(super) fn changed_record(
    matches: &ArgMatches,
    mut record: Map<String, Value>,
) -> eyre::Result<Map<String, Value>> {
    copy_numbers(matches, &mut record, &["slots"]);
    copy_models(matches, &mut record);
    if let Some(checks) = matches.get_one::<bool>("checks-fencing") {
        record.insert("checks_fencing".to_string(), Value::Bool(*checks));
    }
    let served = record.get("models").cloned().unwrap_or_default();
    let serves = |model: &str| {
        let models = served.as_array();
        models.is_some_and(|models| models.iter().any(|name| name == model))
    };
    if let Some(Value::Object(versions)) = record.get_mut("versions") {
        versions.retain(|model, _| serves(model));
    }
    if let Some(Value::Object(adapters)) = record.get_mut("adapters") {
        adapters.retain(|_, model| model.as_str().is_some_and(serves));
    }
    copy_pairs(matches, &mut record)?;
    Ok(record)
}

/// Replaces the versions and adapters that are given on the command line. An empty value
/// removes all of them.
fn copy_pairs(matches: &ArgMatches, record: &mut Map<String, Value>) -> eyre::Result<()> {
    for (option, field) in [("model-version", "versions"), ("adapter", "adapters")] {
        let Some(values) = matches.get_many::<String>(option) else {
            continue;
        };
        let pairs = values.filter(|text| !text.is_empty()).map(|text| {
            let pair = text.split_once('=');
            let (name, value) =
                pair.ok_or_else(|| eyre!("--{option} {text:?} has no '='"))?;
            Ok((name.to_string(), Value::from(value)))
        });
        let pairs: Map<String, Value> = pairs.collect::<eyre::Result<_>>()?;
        record.insert(field.to_string(), Value::Object(pairs));
    }
    Ok(())
}
