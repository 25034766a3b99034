//! The control interface of model engines: orders to load or unload weights, and the
//! reports of what is loaded.

use serde::{Deserialize, Serialize};

/// An order to an engine. Orders are idempotent, so they can be sent again when the
/// outcome is unknown.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum EngineOrder {
    /// Load an adapter.
    LoadAdapter {
        /// Name of the adapter's base model.
        model: String,
        /// Name of the adapter.
        adapter: String,
    },
    /// Load a version of a model. Other loaded versions stay loaded.
    LoadModel {
        /// Name of the model.
        model: String,
        /// The version to load. `None` for the newest.
        version: Option<String>,
    },
    /// Change the engine's role.
    SetRole {
        /// Name of the role, such as prefill or decode.
        role: String,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// Name of the adapter's base model.
        model: String,
        /// Name of the adapter.
        adapter: String,
    },
    /// Unload a version of a model.
    UnloadModel {
        /// Name of the model.
        model: String,
        /// The version as the engine reports it. `None` if the engine reports none.
        version: Option<String>,
    },
}

impl EngineOrder {
    /// Whether the order makes the engine fetch weights.
    pub fn is_load(&self) -> bool {
        matches!(
            self,
            EngineOrder::LoadAdapter { .. } | EngineOrder::LoadModel { .. }
        )
    }
}

/// Load progress of a model's or adapter's weights.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadState {
    /// Ready for calls.
    Loaded,
    /// The engine is still fetching the weights.
    Loading,
}

/// A version of a model that an engine has loaded or is loading.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: String,
    /// The version. `None` if the engine does not know it.
    #[serde(default)]
    pub version: Option<String>,
    /// Load progress of this version.
    pub state: LoadState,
}

/// An adapter that an engine has loaded or is loading.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadedAdapter {
    /// Name of the base model.
    pub model: String,
    /// Name of the adapter.
    pub adapter: String,
    /// Load progress of the adapter.
    pub state: LoadState,
}

/// An engine's report of its models and adapters.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct EngineModels {
    /// Fencing number of the last order that the engine received. 0 if it received none.
    pub fencing: u64,
    /// Model versions that are loaded or loading.
    pub models: Vec<LoadedModel>,
    /// Adapters that are loaded or loading.
    pub adapters: Vec<LoadedAdapter>,
}

impl EngineModels {
    /// Whether the engine is fetching the weights of any model or adapter.
    pub fn is_loading(&self) -> bool {
        let models = self.models.iter().map(|model| model.state);
        let adapters = self.adapters.iter().map(|adapter| adapter.state);
        models
            .chain(adapters)
            .any(|state| state == LoadState::Loading)
    }

    /// Names of the models and adapters that are ready for calls. A model that is loaded
    /// in several versions appears once for each.
    pub fn usable(&self) -> impl Iterator<Item = &str> {
        let models = self.models.iter().map(|model| (model.state, &model.model));
        let adapters = self
            .adapters
            .iter()
            .map(|adapter| (adapter.state, &adapter.adapter));
        models
            .chain(adapters)
            .filter(|(state, _)| *state == LoadState::Loaded)
            .map(|(_, name)| name.as_str())
    }
}
