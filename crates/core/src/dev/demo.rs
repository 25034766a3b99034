//! A demo agent program with two turns, a tool call and a sub-agent.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::time::Duration;

use eyre::{WrapErr, eyre};
use serde_json::{Value, json};
use ureq::Agent;
use ureq::http::Response;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
const MODEL: &str = "demo-model";

/// Runs the program against the instance at `address`, and prints each step. `key` is a
/// customer key.
///
/// # Errors
///
/// If a request is refused or has an unexpected response.
pub(crate) fn run(address: SocketAddr, key: &str) -> eyre::Result<()> {
    let config = Agent::config_builder()
        .timeout_global(Some(REQUEST_TIMEOUT))
        .build();
    let caller = Caller {
        agent: config.into(),
        base: format!("http://{address}"),
        authorization: format!("Bearer {key}"),
    };
    let program = caller.open(None).wrap_err("cannot open the program")?;
    println!("opened a program");
    let question = "Summarise item 4 of tonight's council meeting.";
    caller
        .stream_chat(&program, question)
        .wrap_err("the first turn failed")?;
    caller
        .call_tool(&program)
        .wrap_err("the tool call failed")?;
    let sub_agent = caller
        .open(Some(&program))
        .wrap_err("cannot open a sub-agent")?;
    println!("opened a sub-agent of the program");
    caller
        .stream_chat(&sub_agent, "List past resolutions on drainage.")
        .wrap_err("the sub-agent's turn failed")?;
    caller
        .stream_chat(&program, "Write the final summary.")
        .wrap_err("the last turn failed")?;
    caller.close(&sub_agent)?;
    caller.close(&program)?;
    println!("closed the program");
    Ok(())
}

struct Caller {
    agent: Agent,
    base: String,
    authorization: String,
}

impl Caller {
    /// Opens a program, or a sub-agent of `parent`, and returns its token.
    fn open(&self, parent: Option<&str>) -> eyre::Result<String> {
        let request = self
            .agent
            .post(format!("{}/v1/programs", self.base))
            .header("Authorization", &self.authorization)
            .header("Jayreel-Profile", "default");
        let request = match parent {
            Some(parent) => request.header("Jayreel-Parent", parent),
            None => request,
        };
        let body: Value = request.send_json(json!({}))?.body_mut().read_json()?;
        let token = body["id"]
            .as_str()
            .ok_or_else(|| eyre!("no program token"))?;
        Ok(token.to_string())
    }

    /// Makes a model call and prints the streamed response.
    fn stream_chat(&self, program: &str, question: &str) -> eyre::Result<()> {
        let response = self
            .agent
            .post(format!("{}/v1/chat/completions", self.base))
            .header("Authorization", &self.authorization)
            .header("Jayreel-Program", program)
            .send_json(json!({
                "model": MODEL,
                "stream": true,
                "max_tokens": 12,
                "messages": [{ "role": "user", "content": question }],
            }))?;
        println!("model call: {question}");
        print_stream(response)
    }

    /// Makes a tool call to the plain service.
    fn call_tool(&self, program: &str) -> eyre::Result<()> {
        let mut response = self
            .agent
            .post(format!("{}/records/notices", self.base))
            .header("Authorization", &self.authorization)
            .header("Jayreel-Program", program)
            .header("Idempotency-Key", "demo-notice-1")
            .send_json(json!({ "notice": "hearing on Tuesday" }))?;
        let status = response.status();
        response.body_mut().read_to_string()?;
        println!("tool call: filed a notice, status {status}");
        Ok(())
    }

    fn close(&self, program: &str) -> eyre::Result<()> {
        self.agent
            .delete(format!("{}/v1/programs/{program}", self.base))
            .header("Authorization", &self.authorization)
            .call()?;
        Ok(())
    }
}

/// Prints the texts of a stream of server-sent events as they arrive.
fn print_stream(response: Response<ureq::Body>) -> eyre::Result<()> {
    print!("  streamed answer:");
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        let line = line?;
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            break;
        }
        let event: Value = serde_json::from_str(data)?;
        let text = event["choices"][0]["delta"]["content"]
            .as_str()
            .unwrap_or_default();
        print!(" {}", text.trim());
        std::io::stdout().flush()?;
    }
    println!();
    Ok(())
}
