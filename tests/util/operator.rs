//! Runs operator commands of the `jayreel` binary.

use std::net::SocketAddr;
use std::process::Command;

use serde_json::Value;

use super::process::ADMIN_KEY;

/// Result of an operator command.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Exit code, -1 if a signal ended the command.
    pub code: i32,
    /// Standard output as JSON. `Null` if it is not JSON.
    pub json: Value,
}

/// Runs an operator command against the administration API at `admin`.
pub fn operate(admin: SocketAddr, args: &[&str]) -> Outcome {
    let output = Command::new(env!("CARGO_BIN_EXE_jayreel"))
        .args(["--json", "--admin", &admin.to_string()])
        .args(args)
        .env("JAYREEL_ADMIN_KEY", ADMIN_KEY)
        .output()
        .unwrap();
    Outcome {
        code: output.status.code().unwrap_or(-1),
        json: serde_json::from_slice(&output.stdout).unwrap_or(Value::Null),
    }
}
