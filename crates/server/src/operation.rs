//! Maps the requests of callers to operations.

use hyper::Method;
use jayreel_model::{Refusal, RefusalReason};
use serde::Deserialize;

use crate::chat;
use crate::headers::MAX_TOKEN_BYTES;
use crate::request_handler::Operation;

/// The body of `POST /v1/programs`, which may also be empty.
#[derive(Deserialize)]
struct OpenProgramBody {
    #[serde(default)]
    budget_tokens: Option<u64>,
}

/// Maps method and path to an operation, and parses the body where the operation has one.
/// Paths outside the API belong to plain services.
pub(crate) fn parse(
    method: &Method,
    path: &str,
    body: &[u8],
) -> Result<Operation, Refusal> {
    match (method.as_str(), path) {
        ("POST", "/v1/chat/completions") => {
            chat::parse(body).map(Operation::ChatCompletion)
        }
        ("POST", "/v1/programs") => open_program(body),
        ("GET", "/v1/models") => Ok(Operation::ListModels),
        (_, "/v1/chat/completions" | "/v1/programs" | "/v1/models") => {
            Err(not_found("the path does not support the method"))
        }
        (method, path) => match path.strip_prefix("/v1/programs/") {
            Some(token) if method == "DELETE" => close_program(token),
            Some(_) => Err(not_found("the path does not support the method")),
            None => Ok(Operation::Service),
        },
    }
}

/// Whether the path is that of chat completions, whose bodies can be large and slow to parse.
pub(crate) fn is_chat(path: &str) -> bool {
    path == "/v1/chat/completions"
}

fn open_program(body: &[u8]) -> Result<Operation, Refusal> {
    if body.is_empty() {
        return Ok(Operation::OpenProgram {
            budget_tokens: None,
        });
    }
    let body: OpenProgramBody = serde_json::from_slice(body).map_err(|error| {
        let message = format!("the body is not a program request: {error}");
        Refusal::not_run(RefusalReason::InvalidRequest, message)
    })?;
    Ok(Operation::OpenProgram {
        budget_tokens: body.budget_tokens,
    })
}

fn close_program(token: &str) -> Result<Operation, Refusal> {
    let well_formed = (1..=MAX_TOKEN_BYTES).contains(&token.len())
        && !token.contains('/')
        && token.bytes().all(|byte| byte.is_ascii_graphic());
    match well_formed {
        true => Ok(Operation::CloseProgram {
            token: token.to_string(),
        }),
        false => Err(not_found("the path holds no program token")),
    }
}

fn not_found(message: &str) -> Refusal {
    Refusal::not_run(RefusalReason::NotFound, message)
}
