//! Orders with fencing numbers.

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::engine::models::Models;
use crate::http::HttpResponse;

/// One order as sent to `POST /orders`.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Order {
    /// The fencing number.
    fencing: u64,
    /// What to do.
    #[serde(default)]
    order: Value,
}

/// The orders that were carried out, in the order of their arrival.
#[derive(Debug)]
pub(crate) struct Orders {
    checks_fencing: bool,
    newest_fencing: u64,
    /// Number of the order that arrived last.
    last_fencing: u64,
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

    /// The report of models.
    pub(super) fn models(&self) -> Value {
        self.models.report(self.last_fencing)
    }

    /// Whether calls can name this model or adapter.
    pub(super) fn is_loaded(&self, name: &str) -> bool {
        self.models.is_loaded(name)
    }

    /// Numbers and contents of the orders, in the order of their arrival.
    pub(super) fn applied(&self) -> Vec<(u64, Value)> {
        let orders = self.applied.iter();
        orders
            .map(|order| (order.fencing, order.order.clone()))
            .collect()
    }

    pub(crate) fn list(&self) -> HttpResponse {
        let value = json!({ "newest": self.newest_fencing, "applied": self.applied });
        HttpResponse::json(StatusCode::OK, &value)
    }
}
