//! `jayreel explain`: where an entry instance on the users' platform would route a request now.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::ArgMatches;
use eyre::{WrapErr, bail};
use jayreel_gateway::ExplainedEndpoint;
use jayreel_gateway::edge::{EXPLAIN_PATH, ExplainedService, Explanation};
use serde_json::Value;

/// Timeout of the request. The instance answers from memory.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Asks the instance and prints its explanation.
///
/// # Errors
///
/// If the instance cannot be reached, is no entry instance, or finds no route or customer for the
/// arguments.
pub(crate) fn run(matches: &ArgMatches, is_json: bool) -> eyre::Result<ExitCode> {
    let address = matches
        .get_one::<SocketAddr>("instance")
        .expect("--instance is required");
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .http_status_as_error(false)
        .build()
        .into();
    let mut request = agent.get(format!("http://{address}{EXPLAIN_PATH}"));
    for name in ["host", "path", "customer", "program"] {
        if let Some(value) = matches.get_one::<String>(name) {
            request = request.query(name, value);
        }
    }
    let sent = request.call();
    let mut response = sent.wrap_err_with(|| format!("no answer from {address}"))?;
    let body: Value = response.body_mut().read_json().wrap_err_with(|| {
        format!("{address} is not the metrics address of an entry instance")
    })?;
    if let Some(error) = body.get("error").and_then(Value::as_str) {
        bail!("{address}: {error}");
    }
    let explanation: Explanation = serde_json::from_value(body.clone())
        .wrap_err_with(|| format!("{address} runs another version"))?;
    match is_json {
        true => println!("{body:#}"),
        false => print!("{}", text(&explanation)),
    }
    Ok(ExitCode::SUCCESS)
}

/// The explanation for people.
fn text(explanation: &Explanation) -> String {
    let age_ms = explanation.configuration_age_ms;
    let age = age_ms.map_or("never confirmed".to_string(), |age_ms| {
        format!("confirmed {age_ms} ms ago")
    });
    let mut lines = vec![
        format!(
            "instance {} in zone {}, configuration {} ({age})",
            explanation.instance, explanation.zone, explanation.configuration_version
        ),
        format!(
            "route {}: prefix {}, {}, at most {} endpoints, {}",
            explanation.route.name,
            explanation.route.prefix,
            explanation.route.kind,
            explanation.route.max_attempts,
            if explanation.route.needs_key {
                "needs a key"
            } else {
                "needs no key"
            },
        ),
    ];
    if let Some(customer) = &explanation.customer {
        lines.push(match customer.rate_per_s > 0.0 {
            true => format!(
                "customer {}: {} requests/s, burst {}",
                customer.name, customer.rate_per_s, customer.burst
            ),
            false => format!("customer {}: no rate limit", customer.name),
        });
    }
    for service in &explanation.services {
        lines.extend(service_lines(service));
    }
    lines.join("\n") + "\n"
}

fn service_lines(service: &ExplainedService) -> Vec<String> {
    let result = match (&service.chosen, &service.refused) {
        (Some(chosen), _) => format!("sent to {chosen}"),
        (None, Some(reason)) => format!("refused, {reason}"),
        (None, None) => "refused, no_endpoint".to_string(),
    };
    let mut lines = vec![
        format!(
            "service {} (weight {}): {result}",
            service.name, service.weight
        ),
        format!(
            "  {:20} {:16} {:>8} {:>6} {:>9} {:>7}  state",
            "endpoint", "zone", "score", "load", "slowness", "errors"
        ),
    ];
    lines.extend(service.endpoints.iter().map(endpoint_line));
    lines
}

fn endpoint_line(endpoint: &ExplainedEndpoint) -> String {
    let state = match (&endpoint.excluded, &endpoint.avoided) {
        (Some(reason), _) => format!("excluded: {reason}"),
        (None, Some(reason)) => format!("only without another: {reason}"),
        (None, None) if endpoint.needs_token => "needs a token".to_string(),
        (None, None) => "ok".to_string(),
    };
    format!(
        "  {:20} {:16} {:>8.2} {:>6.2} {:>9.2} {:>7.2}  {state}",
        endpoint.id,
        endpoint.zone,
        endpoint.score,
        endpoint.load_per_slot,
        endpoint.slowness,
        endpoint.error_rate,
    )
}
