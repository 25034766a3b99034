//! Explains to operators where a request would be routed now, and why. Reads state only: no token
//! is taken, nothing is sent, and a service is not drawn at random.

use std::collections::BTreeMap;

use hyper::{StatusCode, Uri};
use jayreel_placement::AffinityKey;
use percent_encoding::percent_decode_str;
use serde::{Deserialize, Serialize};

use crate::balance::{ExplainedEndpoint, PickRequest};
use crate::clock::now_ms;
use crate::config::{CallKind, Configuration, Route};
use crate::edge::Edge;
use crate::edge::admission::{check_endpoints, check_group};
use crate::protocol::{CallHead, ProgramCall};

/// Path on the metrics address.
pub const EXPLAIN_PATH: &str = "/explain";

/// Where a request would be routed now. Serialized as JSON.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Explanation {
    /// Name of the entry instance.
    pub instance: String,
    /// Its availability zone.
    pub zone: String,
    /// Version of its configuration.
    pub configuration_version: u64,
    /// Time since the configuration was last confirmed to be current, in milliseconds. `None` if it
    /// never was.
    pub configuration_age_ms: Option<u64>,
    /// The route of the request.
    pub route: ExplainedRoute,
    /// The customer, if the request names one.
    pub customer: Option<ExplainedCustomer>,
    /// The services of the route.
    pub services: Vec<ExplainedService>,
}

/// The route of an explained request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExplainedRoute {
    /// Its name.
    pub name: String,
    /// The path prefix that matches.
    pub prefix: String,
    /// `idempotent`, `once`, `stream` or `resumable_stream`.
    pub kind: String,
    /// Number of endpoints to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests need an API key.
    pub needs_key: bool,
}

/// The customer of an explained request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExplainedCustomer {
    /// Its name.
    pub name: String,
    /// Requests per second over all entry instances; 0 for no limit.
    pub rate_per_s: f64,
    /// Burst over all entry instances, in requests.
    pub burst: f64,
}

/// One service of a route, and what would become of a request that it gets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExplainedService {
    /// Its name.
    pub name: String,
    /// Its share of the requests, relative to the sum of the weights of the route.
    pub weight: u32,
    /// Identifier of the endpoint to which the request would be sent. `None` if it would be
    /// refused, or there is no endpoint.
    pub chosen: Option<String>,
    /// Why the request would be refused, as in `event=refused`. Rate limits and budgets are not
    /// checked, since that would use them.
    pub refused: Option<String>,
    /// Its endpoints in the order in which they would be chosen.
    pub endpoints: Vec<ExplainedEndpoint>,
}

/// An input that can't be explained.
#[derive(Debug)]
struct InputError {
    status: StatusCode,
    message: String,
}

/// The parameters of a query for an explanation.
#[derive(Debug)]
struct Query {
    host: String,
    path: String,
    customer: Option<String>,
    program: Option<String>,
}

impl Query {
    /// Reads the parameters `host`, `path`, `customer` and `program`.
    fn parse(uri: &Uri) -> Result<Query, InputError> {
        let invalid = |message: String| InputError {
            status: StatusCode::BAD_REQUEST,
            message,
        };
        let mut parameters = BTreeMap::new();
        let pairs = uri.query().unwrap_or_default().split('&');
        for pair in pairs.filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let value = percent_decode_str(value).decode_utf8();
            let value = value.map_err(|_| invalid(format!("{name}: is not UTF-8")))?;
            if !["host", "path", "customer", "program"].contains(&name) {
                return Err(invalid(format!("{name}: is not a known parameter")));
            }
            if parameters.insert(name, value.into_owned()).is_some() {
                return Err(invalid(format!("{name}: is set twice")));
            }
        }
        let mut required = |name: &str| {
            let value = parameters.remove(name);
            value.ok_or_else(|| invalid(format!("{name}: is required")))
        };
        Ok(Query {
            host: required("host")?,
            path: required("path")?,
            customer: parameters.remove("customer"),
            program: parameters.remove("program"),
        })
    }
}

/// Responds to a query for an explanation, with JSON also for an input that matches nothing.
pub(crate) fn respond(edge: &Edge, uri: &Uri) -> (StatusCode, String) {
    let explained = Query::parse(uri).and_then(|query| explain(edge, &query));
    let encoded = match &explained {
        Ok(explanation) => serde_json::to_string(explanation),
        Err(error) => {
            let body = BTreeMap::from([("error", &error.message)]);
            serde_json::to_string(&body)
        }
    };
    match (encoded, explained) {
        (Ok(text), Ok(_)) => (StatusCode::OK, text),
        (Ok(text), Err(error)) => (error.status, text),
        (Err(error), _) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

fn explain(edge: &Edge, query: &Query) -> Result<Explanation, InputError> {
    let configuration = edge.configuration();
    let unmatched = |message: String| InputError {
        status: StatusCode::NOT_FOUND,
        message,
    };
    let route = configuration.route(&query.host, &query.path);
    let route = route.ok_or_else(|| {
        unmatched(format!(
            "no route for host {:?} and path {:?}",
            query.host, query.path
        ))
    })?;
    let customer = match &query.customer {
        Some(name) => Some(
            find_customer(&configuration, name)
                .ok_or_else(|| unmatched(format!("no customer {name:?}")))?,
        ),
        None => None,
    };
    let services = route.services.iter();
    Ok(Explanation {
        instance: edge.settings.name.clone(),
        zone: edge.settings.availability_zone.clone(),
        configuration_version: configuration.version,
        configuration_age_ms: edge.freshness.borrow().age_ms(now_ms()),
        services: services
            .map(|share| {
                explain_service(edge, route, query, &share.service, share.weight)
            })
            .collect(),
        route: explain_route(route),
        customer,
    })
}

fn find_customer(configuration: &Configuration, name: &str) -> Option<ExplainedCustomer> {
    let customer = configuration.customers.get(name)?;
    Some(ExplainedCustomer {
        name: name.to_string(),
        rate_per_s: customer.limit.rate_per_s,
        burst: customer.limit.burst,
    })
}

fn explain_route(route: &Route) -> ExplainedRoute {
    let kind = match route.kind {
        CallKind::Idempotent => "idempotent",
        CallKind::Once => "once",
        CallKind::Stream {
            is_resumable: false,
        } => "stream",
        CallKind::Stream { is_resumable: true } => "resumable_stream",
    };
    ExplainedRoute {
        name: route.name.clone(),
        prefix: route.prefix.clone(),
        kind: kind.to_string(),
        max_attempts: route.max_attempts,
        needs_key: !route.is_open,
    }
}

fn explain_service(
    edge: &Edge,
    route: &Route,
    query: &Query,
    service: &str,
    weight: u32,
) -> ExplainedService {
    let affinity = query
        .program
        .as_ref()
        .and_then(|program| edge.affinity.borrow().get(program).cloned());
    let refused = refusal_reason(edge, route, query, service);
    let balancer = edge.balancer.borrow();
    let request = PickRequest {
        last_endpoint: affinity.as_deref(),
        program: query.program.as_deref().map(AffinityKey::program),
        ..PickRequest::new(service, &[])
    };
    let chosen = match refused {
        None => balancer.choose(now_ms(), &request),
        Some(_) => None,
    };
    ExplainedService {
        name: service.to_string(),
        weight,
        chosen: chosen.map(|pick| pick.id),
        refused: refused.map(str::to_string),
        endpoints: balancer.explain(now_ms(), &request),
    }
}

/// Why a request would be refused before it is sent. The checks and their order are those of a
/// request, without those that need its body or consume something.
fn refusal_reason(
    edge: &Edge,
    route: &Route,
    query: &Query,
    service: &str,
) -> Option<&'static str> {
    let configuration = edge.configuration();
    let needs_key = !route.is_open && !configuration.customers.is_empty();
    let revocation_ms = edge.settings.bounds.revocation_ms;
    if needs_key && !edge.freshness.borrow().admits(now_ms(), revocation_ms) {
        return Some("configuration_old");
    }
    if edge.is_stopping() {
        return Some("stopping");
    }
    let call = CallHead {
        host: query.host.clone(),
        program: query.program.as_ref().map(|id| ProgramCall {
            id: id.clone(),
            ..ProgramCall::default()
        }),
        ..CallHead::default()
    };
    let checked = check_endpoints(edge, service.into())
        .and_then(|()| check_group(edge, route, &call, needs_key));
    checked.err().map(|refusal| refusal.reason)
}
