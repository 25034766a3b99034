//! Models and adapters that an engine has loaded or is loading.

use std::time::{Duration, Instant};

use serde::Deserialize;
use serde_json::{Value, json};

/// An order about weights.
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

/// Weights of a model's version, or of an adapter.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Weights {
    model: String,
    version: Option<String>,
    adapter: Option<String>,
}

/// All weights of an engine, in the order in which they were ordered.
#[derive(Debug)]
pub(super) struct Models {
    load_time: Duration,
    weights: Vec<(Weights, Instant)>,
}

impl Models {
    /// Models that are loaded from the start, in an unknown version.
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

    /// Carries out an order. Other orders than those about weights have no effect.
    pub(super) fn apply(&mut self, order: &Value) {
        let Ok(order) = ModelOrder::deserialize(order) else {
            return;
        };
        match order {
            ModelOrder::LoadAdapter { model, adapter } => {
                self.load(adapter_of(model, adapter));
            }
            ModelOrder::LoadModel { model, version } => {
                self.load(version_of(model, version));
            }
            ModelOrder::UnloadAdapter { model, adapter } => {
                self.unload(&adapter_of(model, adapter));
            }
            ModelOrder::UnloadModel { model, version } => {
                self.unload(&version_of(model, version));
            }
        }
    }

    fn load(&mut self, weights: Weights) {
        if !self.weights.iter().any(|(known, _)| *known == weights) {
            self.weights
                .push((weights, Instant::now() + self.load_time));
        }
    }

    fn unload(&mut self, weights: &Weights) {
        self.weights.retain(|(known, _)| known != weights);
    }

    /// Whether calls can name this model or adapter.
    pub(super) fn is_loaded(&self, name: &str) -> bool {
        let now = Instant::now();
        self.weights.iter().any(|(weights, ready_at)| {
            let own = weights.adapter.as_ref().unwrap_or(&weights.model);
            own == name && *ready_at <= now
        })
    }

    /// The report, with the number of the order that arrived last.
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

fn version_of(model: String, version: Option<String>) -> Weights {
    let adapter = None;
    Weights {
        model,
        version,
        adapter,
    }
}

fn adapter_of(model: String, adapter: String) -> Weights {
    let version = None;
    let adapter = Some(adapter);
    Weights {
        model,
        version,
        adapter,
    }
}
