//! Runs the demo fleet in this process: starts three routers with embedded stand-ins, sends one request and drains the fleet.

use std::error::Error;

use fescuewell::demo::document::{HANDSIGN_KEY, MODEL};
use fescuewell::demo::fleet::{Fleet, Settings};
use serde_json::{Value, json};

fn main() -> Result<(), Box<dyn Error>> {
    let fleet = Fleet::start(&Settings::default())?;
    if !fleet.wait_ready() {
        return Err("a router exited before it was ready".into());
    }
    let address = fleet.addresses()[0];

    let body = json!({
        "model": MODEL,
        "max_tokens": 32,
        "messages": [{"role": "user", "content": "Summarise job 7"}],
    });
    let response: Value = attohttpc::post(format!("http://{address}/v1/chat/completions"))
        .bearer_auth(HANDSIGN_KEY)
        .header("Idempotency-Key", "summary-7")
        .json(&body)?
        .send()?
        .json()?;
    println!("answer: {}", response["choices"][0]["message"]["content"]);
    println!("usage:  {}", response["usage"]);

    fleet.stop();
    Ok(())
}
