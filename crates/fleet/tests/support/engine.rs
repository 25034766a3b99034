//! A simulated engine. It carries out orders at once, except that loads stay in progress until
//! [`TestEngine::finish_loads`].

use jayreel_fleet::OrderAnswer;
use jayreel_model::{EngineModels, EngineOrder, LoadState, LoadedAdapter, LoadedModel};

/// An engine that has loaded nothing. It ignores fencing numbers unless `checks_fencing` is
/// set.
#[derive(Clone, Debug, Default)]
pub struct TestEngine {
    /// Whether it refuses orders with a lower fencing number than the highest that it has
    /// seen.
    pub checks_fencing: bool,
    /// Highest fencing number of an order so far.
    highest_fencing: u64,
    /// What it reports to have loaded. The fencing number is that of the last accepted
    /// order.
    pub report: EngineModels,
}

impl TestEngine {
    /// An engine that has loaded this version of `model`.
    pub fn with_version(checks_fencing: bool, version: &str) -> TestEngine {
        let mut engine = TestEngine {
            checks_fencing,
            ..TestEngine::default()
        };
        engine.carry_out(&load(version));
        engine.finish_loads();
        engine
    }

    /// Carries out an order, unless it is refused, and returns the answer.
    pub fn submit(&mut self, fencing: u64, order: &EngineOrder) -> OrderAnswer {
        if self.checks_fencing && fencing < self.highest_fencing {
            return OrderAnswer::Superseded;
        }
        self.highest_fencing = self.highest_fencing.max(fencing);
        self.report.fencing = fencing;
        self.carry_out(order);
        OrderAnswer::Accepted
    }

    pub fn finish_loads(&mut self) {
        for model in &mut self.report.models {
            model.state = LoadState::Loaded;
        }
        for adapter in &mut self.report.adapters {
            adapter.state = LoadState::Loaded;
        }
    }

    /// The versions of `model` that are loaded or loading.
    pub fn versions(&self) -> Vec<&str> {
        let models = self.report.models.iter();
        models.filter_map(|one| one.version.as_deref()).collect()
    }

    fn carry_out(&mut self, order: &EngineOrder) {
        let state = LoadState::Loading;
        let report = &mut self.report;
        match order.clone() {
            EngineOrder::LoadModel { model, version } => {
                let is_known =
                    |one: &LoadedModel| one.model == model && one.version == version;
                if !report.models.iter().any(is_known) {
                    report.models.push(LoadedModel {
                        model,
                        version,
                        state,
                    });
                }
            }
            EngineOrder::LoadAdapter { model, adapter } => {
                report.adapters.push(LoadedAdapter {
                    model,
                    adapter,
                    state,
                });
            }
            EngineOrder::UnloadModel { model, version } => report
                .models
                .retain(|one| one.model != model || one.version != version),
            EngineOrder::UnloadAdapter { adapter, .. } => {
                report.adapters.retain(|one| one.adapter != adapter);
            }
            EngineOrder::SetRole { .. } => {}
        }
    }
}

/// An order to load a version of `model`.
pub fn load(version: &str) -> EngineOrder {
    EngineOrder::LoadModel {
        model: "model".to_string(),
        version: Some(version.to_string()),
    }
}

/// An order to unload a version of `model`.
pub fn unload(version: &str) -> EngineOrder {
    EngineOrder::UnloadModel {
        model: "model".to_string(),
        version: Some(version.to_string()),
    }
}
