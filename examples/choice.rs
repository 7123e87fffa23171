//! Shows how an instance chooses backend servers: requests in flight count as load at once, and a repeated prompt goes to the
//! server that has its prefix cached.

use std::sync::Arc;

use fescuewell::core::prelude::*;
use fescuewell::routing::prelude::*;

/// Prefix blocks of the long prompt.
const PREFIX_BLOCKS: u128 = 16;
/// Prompt tokens of each request.
const PROMPT_TOKENS: u32 = 1_024;

fn main() {
    let now = Instant::from_millis(0);
    let mut router = Router::new(Settings::default(), "bne-a".into(), 1);
    router.set_servers(now, &["bne-a", "bne-b", "bne-c"].map(spec));
    let reach = [ServerKey(0), ServerKey(1), ServerKey(2)];

    println!("six short prompts at once, none of them finished:");
    for number in 0..6 {
        send(&mut router, now, Ticket(number), &reach, &[]);
    }
    for number in 0..6 {
        finish(&mut router, now, Ticket(number));
    }

    println!("a long prompt, then the same one again:");
    let prompt: Vec<Digest> = (0..PREFIX_BLOCKS)
        .map(|block| Digest(0xfe5c + block))
        .collect();
    for number in 10..12 {
        send(&mut router, now, Ticket(number), &reach, &prompt);
        finish(&mut router, now, Ticket(number));
    }
}

fn spec(zone: &str) -> Spec {
    let number = match zone {
        "bne-a" => 0,
        "bne-b" => 1,
        _ => 2,
    };
    let name: Arc<str> = format!("engine-{}", number + 1).into();
    Spec {
        key: ServerKey(number),
        name,
        zone: zone.into(),
        models: vec!["auslan-7b".into()],
        concurrency: 32,
    }
}

fn send(router: &mut Router, now: Instant, ticket: Ticket, reach: &[ServerKey], prefix: &[Digest]) {
    let query = Query {
        model: Some("auslan-7b".into()),
        reach,
        prefix,
        prompt_tokens: PROMPT_TOKENS,
        urgent: false,
        exclude: &[],
    };
    match router.choose(now, &query) {
        Ok(choice) => {
            println!("  engine-{} because {}", choice.server.0 + 1, choice.reason);
            router.started(now, choice.server, ticket, choice.expected_tokens);
        }
        Err(reason) => println!("  none: {reason}"),
    }
}

fn finish(router: &mut Router, now: Instant, ticket: Ticket) {
    for server in 0..3 {
        router.finished(now, ServerKey(server), ticket, Outcome::Done);
    }
}
