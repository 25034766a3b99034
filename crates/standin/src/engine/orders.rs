//! Orders to the engine, each with a fencing number. An engine that checks fencing rejects
//! an order whose number is lower than the highest it has accepted.

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::engine::models::Models;
use crate::http::HttpResponse;

/// The body of `POST /orders`.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Order {
    /// The fencing number. Orders with equal numbers are all accepted.
    fencing: u64,
    /// What to do. Only orders about models have an effect, see [`Models::apply`]; others
    /// are just recorded.
    #[serde(default)]
    order: Value,
}

/// The accepted orders and the models that they loaded.
#[derive(Debug)]
pub(crate) struct Orders {
    checks_fencing: bool,
    /// The highest fencing number accepted so far.
    newest_fencing: u64,
    /// The fencing number of the order accepted last. Lower than `newest_fencing` if an
    /// engine without fencing checks accepted an old order.
    last_fencing: u64,
    /// The accepted orders, in the order of their arrival.
    applied: Vec<Order>,
    models: Models,
}

impl Orders {
    pub(super) fn new(checks_fencing: bool, models: Models) -> Orders {
        Orders {
            checks_fencing,
            newest_fencing: 0,
            last_fencing: 0,
            applied: Vec::new(),
            models,
        }
    }

    /// Applies an order, or rejects it with status 409 if its fencing number is too old.
    pub(crate) fn submit(&mut self, body: &[u8]) -> HttpResponse {
        match serde_json::from_slice::<Order>(body) {
            Err(error) => {
                HttpResponse::error(StatusCode::BAD_REQUEST, &error.to_string())
            }
            Ok(order) if self.checks_fencing && order.fencing < self.newest_fencing => {
                HttpResponse::error(StatusCode::CONFLICT, "fencing number is too old")
            }
            Ok(order) => {
                self.newest_fencing = self.newest_fencing.max(order.fencing);
                self.last_fencing = order.fencing;
                self.models.apply(&order.order);
                self.applied.push(order);
                HttpResponse::json(
                    StatusCode::OK,
                    &json!({ "newest": self.newest_fencing }),
                )
            }
        }
    }

    /// The body of `GET /models`.
    pub(super) fn models(&self) -> Value {
        self.models.report(self.last_fencing)
    }

    /// See [`Models::is_loaded`].
    pub(super) fn is_loaded(&self, name: &str) -> bool {
        self.models.is_loaded(name)
    }

    /// Fencing numbers and contents of the accepted orders, in the order of their arrival.
    pub(super) fn applied(&self) -> Vec<(u64, Value)> {
        let orders = self.applied.iter();
        orders
            .map(|order| (order.fencing, order.order.clone()))
            .collect()
    }

    /// The response to `GET /orders`: the highest fencing number and all accepted orders.
    pub(crate) fn list(&self) -> HttpResponse {
        let value = json!({ "newest": self.newest_fencing, "applied": self.applied });
        HttpResponse::json(StatusCode::OK, &value)
    }
}
