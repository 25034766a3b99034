//! The models and adapters that the engine has loaded or is loading, and the orders that
//! change them.

use std::time::{Duration, Instant};

use serde::Deserialize;
use serde_json::{Value, json};

/// An order to load or unload a model or an adapter, as in the `order` field of the body
/// of `POST /orders`.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
enum ModelOrder {
    LoadAdapter {
        model: String,
        adapter: String,
    },
    LoadModel {
        model: String,
        version: Option<String>,
    },
    UnloadAdapter {
        model: String,
        adapter: String,
    },
    UnloadModel {
        model: String,
        version: Option<String>,
    },
}

/// The weights of one version of a model, or of an adapter. They are loaded and unloaded
/// as a unit.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Weights {
    /// The model, for an adapter the one that it belongs to.
    model: String,
    /// `None` for adapters, and for models without a known version.
    version: Option<String>,
    /// `None` for models.
    adapter: Option<String>,
}

/// All weights that an engine has loaded or is loading, in the order in which loading
/// began.
#[derive(Debug)]
pub(super) struct Models {
    /// Time from the order until weights are loaded.
    load_time: Duration,
    /// Each entry with the time from which it counts as loaded.
    weights: Vec<(Weights, Instant)>,
}

impl Models {
    /// Starts with the models in `loaded`, without a known version. Later loads take
    /// `load_ms` milliseconds.
    pub(super) fn new(loaded: &[String], load_ms: u64) -> Models {
        let now = Instant::now();
        let weights = loaded.iter().map(|model| {
            let weights = Weights {
                model: model.clone(),
                version: None,
                adapter: None,
            };
            (weights, now)
        });
        Models {
            load_time: Duration::from_millis(load_ms),
            weights: weights.collect(),
        }
    }

    /// Loads or unloads the weights that an order names. Ignores orders of other kinds.
    pub(super) fn apply(&mut self, order: &Value) {
        let Ok(order) = ModelOrder::deserialize(order) else {
            return;
        };
        match order {
            ModelOrder::LoadAdapter { model, adapter } => {
                self.load(adapter_weights(model, adapter));
            }
            ModelOrder::LoadModel { model, version } => {
                self.load(model_weights(model, version));
            }
            ModelOrder::UnloadAdapter { model, adapter } => {
                self.unload(&adapter_weights(model, adapter));
            }
            ModelOrder::UnloadModel { model, version } => {
                self.unload(&model_weights(model, version));
            }
        }
    }

    /// Begins to load, unless the weights are already loaded or loading.
    fn load(&mut self, weights: Weights) {
        if !self.weights.iter().any(|(known, _)| *known == weights) {
            self.weights
                .push((weights, Instant::now() + self.load_time));
        }
    }

    fn unload(&mut self, weights: &Weights) {
        self.weights.retain(|(known, _)| known != weights);
    }

    /// Whether a model, in any version, or an adapter of this name is completely loaded.
    pub(super) fn is_loaded(&self, name: &str) -> bool {
        let now = Instant::now();
        self.weights.iter().any(|(weights, ready_at)| {
            let weights_name = weights.adapter.as_ref().unwrap_or(&weights.model);
            weights_name == name && *ready_at <= now
        })
    }

    /// The body of `GET /models`. `fencing` is the fencing number of the order that was
    /// applied last.
    pub(super) fn report(&self, fencing: u64) -> Value {
        let now = Instant::now();
        let state = |ready_at: &Instant| match *ready_at <= now {
            true => "loaded",
            false => "loading",
        };
        let mut models = Vec::new();
        let mut adapters = Vec::new();
        for (weights, ready_at) in &self.weights {
            let state = state(ready_at);
            let model = &weights.model;
            match &weights.adapter {
                Some(adapter) => adapters
                    .push(json!({ "model": model, "adapter": adapter, "state": state })),
                None => models.push(json!({ "model": model, "version": weights.version,
                    "state": state })),
            }
        }
        json!({ "fencing": fencing, "models": models, "adapters": adapters })
    }
}

fn model_weights(model: String, version: Option<String>) -> Weights {
    let adapter = None;
    Weights {
        model,
        version,
        adapter,
    }
}

fn adapter_weights(model: String, adapter: String) -> Weights {
    let version = None;
    let adapter = Some(adapter);
    Weights {
        model,
        version,
        adapter,
    }
}
