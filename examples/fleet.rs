//! Shows the demo's fleet in this process: it starts three routers on embedded stand-ins, sends one request and drains.

use std::error::Error;

use fescuewell::demo::document::{HANDSIGN_KEY, MODEL};
use fescuewell::demo::fleet::{Fleet, Settings};
use serde_json::{Value, json};

fn main() -> Result<(), Box<dyn Error>> {
    let fleet = Fleet::start(&Settings::default())?;
    if !fleet.wait_ready() {
        return Err("a router ended before it was ready".into());
    }
    let address = fleet.addresses()[0];

    let body = json!({
        "model": MODEL,
        "max_tokens": 32,
        "messages": [{"role": "user", "content": "Summarise job 7"}],
    });
    let answer: Value = attohttpc::post(format!("http://{address}/v1/chat/completions"))
        .bearer_auth(HANDSIGN_KEY)
        .header("Idempotency-Key", "summary-7")
        .json(&body)?
        .send()?
        .json()?;
    println!("answer: {}", answer["choices"][0]["message"]["content"]);
    println!("usage:  {}", answer["usage"]);

    fleet.stop();
    Ok(())
}
