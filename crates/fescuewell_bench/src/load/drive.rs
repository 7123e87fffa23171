//! Sends the arrivals and notes how each came out; all callers are tasks of one thread.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fescuewell_core::tokens::Tokens;
use fescuewell_demo::document::MODEL;
use fescuewell_demo::fleet::Fleet;
use fescuewell_http::sse::Decoder;
use fescuewell_http::upstream::{self, Client, Exchange, Target, Timeouts};
use fescuewell_standin::{engine, service};
use http::{Method, Request};
use serde_json::{Value, json};
use tokio::task::LocalSet;

use super::plan::{Arrival, Ask, Failure, Fault, Plan};
use super::{ACCOUNTS, Account, CALL_PRICES, Error};

/// Bytes of text that the stand-in engine takes for a token.
const BYTES_PER_TOKEN: usize = 4;
/// Tokens that the engine's chat form adds to a prompt, at most.
const FORM_TOKENS: u64 = 8;
/// Output tokens of a probe.
const PROBE_OUTPUT: u64 = 4;
/// Kind of the probes, and its priority in the demo's document.
const PROBE_KIND: (&str, i64) = ("match", 1);
/// Largest event or answer that is read.
const MOST_BYTES: usize = 1024 * 1024;
/// How long callers wait for what is still open at the end.
const LAST_ANSWERS: Duration = Duration::from_secs(120);
const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_secs(2),
    first_byte: Duration::from_secs(120),
    progress: Duration::from_secs(30),
};

/// How a request came out.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The whole answer came.
    Whole {
        /// Its price.
        tokens: u64,
        /// Tokens of its output.
        output: u64,
    },
    /// It was refused, before or within the answer.
    Refused {
        /// Number of the result code.
        code: u64,
        /// Whether it ran, in the refusal's own word.
        run: String,
    },
    /// The connection failed.
    Broken {
        /// Why.
        reason: String,
    },
}

/// One request as its caller saw it.
#[derive(Debug, Clone)]
pub struct Record {
    /// Index into [`Plan::traffic`].
    pub traffic: usize,
    /// Account that asked.
    pub account: &'static str,
    /// Index of the router.
    pub router: usize,
    /// Request id.
    pub id: String,
    /// When it was sent, in milliseconds from the begin.
    pub at_ms: f64,
    /// Time to the first token, or to the answer of a call.
    pub first_ms: Option<f64>,
    /// What it may cost at most.
    pub limit: Tokens,
    /// Whether it repeats an answered one.
    pub is_repeat: bool,
    /// Output by second of the run, by the tokens' arrival.
    pub by_second: Vec<(u32, u32)>,
    /// How it came out.
    pub outcome: Outcome,
}

/// Times to first token of a pair of probes, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct Pair {
    /// From an engine.
    pub direct: f64,
    /// Through a router.
    pub routed: f64,
}

/// All that was sent.
#[derive(Debug, Default)]
pub struct Run {
    /// Requests, in the order of their ends.
    pub records: Vec<Record>,
    /// Pairs of probes that both got a token.
    pub pairs: Vec<Pair>,
    /// Pairs of which one got none.
    pub failed_pairs: u64,
    /// Tokens that the probes through routers cost.
    pub probe_tokens: u64,
    /// Arrivals left out, since the callers held as many open as they may.
    pub left_out: u64,
    /// Requests without an outcome when the waiting ended.
    pub unfinished: u64,
}

struct Callers {
    plan: Plan,
    routers: Vec<SocketAddr>,
    engines: Vec<SocketAddr>,
    client: Client,
    begin: Instant,
    run: RefCell<Run>,
    open: RefCell<usize>,
}

/// Sends the whole load and waits for its answers.
///
/// # Errors
///
/// When the runtime cannot be made.
pub fn drive(plan: &Plan, fleet: &Fleet) -> Result<Run, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Error::new("callers", error))?;
    let callers = Rc::new(Callers {
        plan: plan.clone(),
        routers: fleet.addresses(),
        engines: fleet
            .engines
            .iter()
            .map(|engine| engine.address())
            .collect(),
        client: Client::new(upstream::Settings::default()),
        begin: Instant::now(),
        run: RefCell::default(),
        open: RefCell::default(),
    });
    let set = LocalSet::new();
    set.block_on(&runtime, async {
        tokio::join!(
            callers.clone().send_all(),
            callers.clone().probe(),
            keep_faults(&callers, fleet)
        );
    });
    drop(set);
    Ok(callers.run.take())
}

async fn keep_faults(callers: &Callers, fleet: &Fleet) {
    let mut changes: Vec<(u64, bool, Fault)> = Vec::new();
    for fault in &callers.plan.faults {
        changes.push((fault.at, true, fault.clone()));
        changes.push((fault.at + fault.seconds, false, fault.clone()));
    }
    changes.sort_by_key(|(at, begins, _)| (*at, *begins));
    for (at, begins, fault) in changes {
        callers.wait_until(at * 1_000).await;
        set_fault(fleet, &fault, begins);
    }
}

fn set_fault(fleet: &Fleet, fault: &Fault, begins: bool) {
    match fault.what {
        Failure::TableDown => fleet.platform.content().fault().set_down(begins),
        Failure::EngineFrozen => fleet.engines[0].control(&engine::Control {
            freeze: Some(begins),
            ..engine::Control::default()
        }),
        Failure::EngineCut => fleet.engines[0].control(&engine::Control {
            drop_connections: begins,
            ..engine::Control::default()
        }),
        Failure::RepliesLost => {
            for service in &fleet.services {
                service.control(&service::Control {
                    drop_reply: Some(if begins { fault.seconds as u32 } else { 0 }),
                    ..service::Control::default()
                });
            }
        }
    }
}

impl Callers {
    async fn wait_until(&self, at_ms: u64) {
        let at = self.begin + Duration::from_millis(at_ms);
        tokio::time::sleep_until(at.into()).await;
    }

    fn now_ms(&self) -> f64 {
        self.begin.elapsed().as_secs_f64() * 1_000.0
    }

    async fn send_all(self: Rc<Self>) {
        for (number, arrival) in self.plan.arrivals().into_iter().enumerate() {
            self.wait_until(arrival.at_ms).await;
            if *self.open.borrow() >= self.plan.most_open {
                self.run.borrow_mut().left_out += 1;
                continue;
            }
            *self.open.borrow_mut() += 1;
            tokio::task::spawn_local(self.clone().send(number, arrival));
        }
        self.wait_until(self.plan.seconds * 1_000).await;
        let limit = Instant::now() + LAST_ANSWERS;
        while *self.open.borrow() > 0 && Instant::now() < limit {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.run.borrow_mut().unfinished = *self.open.borrow() as u64;
    }

    async fn send(self: Rc<Self>, number: usize, arrival: Arrival) {
        let record = self.exchange(number, &arrival, false).await;
        let repeat = arrival.again && matches!(record.outcome, Outcome::Whole { .. });
        self.run.borrow_mut().records.push(record);
        if repeat {
            let again = self.exchange(number, &arrival, true).await;
            self.run.borrow_mut().records.push(again);
        }
        *self.open.borrow_mut() -= 1;
    }

    async fn exchange(&self, number: usize, arrival: &Arrival, is_repeat: bool) -> Record {
        let traffic = &self.plan.traffic[arrival.traffic];
        let account = account(&traffic.group);
        let router = (arrival.router + usize::from(is_repeat)) % self.routers.len();
        let id = format!("load-{}-{number}", self.plan.seed);
        let (path, body, limit) = self.body(number, arrival);
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header("authorization", format!("Bearer {}", account.key))
            .header("idempotency-key", &id);
        if let Some(kind) = &traffic.kind {
            request = request.header("x-request-kind", kind);
        }
        let mut record = Record {
            traffic: arrival.traffic,
            account: account.name,
            router,
            id,
            at_ms: self.now_ms(),
            first_ms: None,
            limit: Tokens(limit),
            is_repeat,
            by_second: Vec::new(),
            outcome: Outcome::Broken {
                reason: String::new(),
            },
        };
        let target = Target::new(self.routers[router]);
        let result = match request.body(Bytes::from(body.to_string())) {
            Ok(request) => self.outcome(target, request, &mut record).await,
            Err(error) => Err(error.to_string()),
        };
        record.outcome = result.unwrap_or_else(|reason| Outcome::Broken { reason });
        record
    }

    /// Path, body and highest price.
    fn body(&self, number: usize, arrival: &Arrival) -> (String, Value, u64) {
        let traffic = &self.plan.traffic[arrival.traffic];
        let name = match traffic.target {
            Ask::Chat => {
                let prompt = prompt(&self.plan, number, arrival);
                let limit = (prompt.len() / BYTES_PER_TOKEN) as u64 + FORM_TOKENS + arrival.output;
                let body = chat(&prompt, arrival.output);
                return ("/v1/chat/completions".into(), body, limit);
            }
            Ask::Status => "status",
            Ask::Confirm => "confirm",
        };
        let path = format!("/v1/services/desk/{name}");
        (path, json!({"booking": number}), price(name))
    }

    async fn outcome(
        &self,
        target: Target,
        request: Request<Bytes>,
        record: &mut Record,
    ) -> Result<Outcome, String> {
        let begun = Instant::now();
        let ask = self.plan.traffic[record.traffic].target;
        let exchange = self.client.open(&target, request, TIMEOUTS).await;
        let exchange = exchange.map_err(|error| error.to_string())?;
        if ask == Ask::Chat && exchange.status.is_success() {
            return self.stream(exchange, begun, record).await;
        }
        let answered = exchange.status.is_success();
        let body = exchange.collect(MOST_BYTES).await;
        let body = body.map_err(|error| error.to_string())?;
        if !answered {
            return Ok(refused(&serde_json::from_slice(&body).unwrap_or_default()));
        }
        record.first_ms = Some(millis(begun));
        let tokens = record.limit.0;
        Ok(Outcome::Whole { tokens, output: 0 })
    }

    async fn stream(
        &self,
        mut exchange: Exchange,
        begun: Instant,
        record: &mut Record,
    ) -> Result<Outcome, String> {
        let mut decoder = Decoder::new(MOST_BYTES);
        let (mut events, mut tokens, mut output) = (Vec::new(), 0, 0);
        while let Some(chunk) = exchange.next_chunk().await {
            let chunk = chunk.map_err(|error| error.to_string())?;
            decoder
                .push(&chunk, &mut events)
                .map_err(|error| error.to_string())?;
            for event in events.drain(..) {
                if &*event.data == b"[DONE]" {
                    return Ok(Outcome::Whole { tokens, output });
                }
                let value: Value = serde_json::from_slice(&event.data).unwrap_or_default();
                if value["error"].is_object() {
                    return Ok(refused(&value));
                }
                if value["choices"][0]["delta"]["content"].is_string() {
                    record.first_ms.get_or_insert(millis(begun));
                    count(&mut record.by_second, (self.now_ms() / 1_000.0) as u32);
                }
                let usage = &value["usage"];
                tokens = usage["total_tokens"].as_u64().unwrap_or(tokens);
                output = usage["completion_tokens"].as_u64().unwrap_or(output);
            }
        }
        Err("the stream ended without its last event".into())
    }

    // Both probes of a pair go out one right after the other, in turns, so that what else is going on
    // meets both alike.
    async fn probe(self: Rc<Self>) {
        if self.plan.probes_per_second <= 0.0 {
            return;
        }
        let pause = 1_000.0 / self.plan.probes_per_second;
        let last = (self.plan.seconds as f64 * 1_000.0 / pause) as usize;
        for number in 0..last {
            self.wait_until((number as f64 * pause) as u64).await;
            // Pairs that took longer than their pause would go on after the load.
            if self.now_ms() >= self.plan.seconds as f64 * 1_000.0 {
                return;
            }
            let engine = self.engines[number % self.engines.len()];
            let router = self.routers[number % self.routers.len()];
            let (direct, routed) = if number % 2 == 0 {
                let direct = self.probe_one(engine, false, number).await;
                (direct, self.probe_one(router, true, number).await)
            } else {
                let routed = self.probe_one(router, true, number).await;
                (self.probe_one(engine, false, number).await, routed)
            };
            let mut run = self.run.borrow_mut();
            match direct.zip(routed) {
                Some((direct, routed)) => run.pairs.push(Pair { direct, routed }),
                None => run.failed_pairs += 1,
            }
        }
    }

    async fn probe_one(&self, address: SocketAddr, routed: bool, number: usize) -> Option<f64> {
        let account = &ACCOUNTS[0];
        let way = if routed { "routed" } else { "direct" };
        // No two probes share a block of 16 tokens, so that none finds its prompt cached.
        let mut body = chat(&format!("{number:08} {way} probe"), PROBE_OUTPUT);
        body["priority"] = PROBE_KIND.1.into();
        let request = Request::builder()
            .method(Method::POST)
            .uri("/v1/chat/completions")
            .header("authorization", format!("Bearer {}", account.key))
            .header("x-request-kind", PROBE_KIND.0)
            .body(Bytes::from(body.to_string()))
            .ok()?;
        let mut record = Record {
            traffic: usize::MAX,
            account: account.name,
            router: 0,
            id: String::new(),
            at_ms: 0.0,
            first_ms: None,
            limit: Tokens(0),
            is_repeat: false,
            by_second: Vec::new(),
            outcome: Outcome::Broken {
                reason: String::new(),
            },
        };
        let begun = Instant::now();
        let target = Target::new(address);
        let exchange = self.client.open(&target, request, TIMEOUTS).await.ok()?;
        let outcome = self.stream(exchange, begun, &mut record).await.ok()?;
        if let (true, Outcome::Whole { tokens, .. }) = (routed, outcome) {
            self.run.borrow_mut().probe_tokens += tokens;
        }
        record.first_ms
    }
}

fn account(group: &str) -> &'static Account {
    let found = ACCOUNTS.iter().find(|account| account.group == group);
    found.unwrap_or(&ACCOUNTS[0])
}

fn price(call: &str) -> u64 {
    let found = CALL_PRICES.iter().find(|(name, _)| *name == call);
    found.map_or(0, |(_, price)| *price)
}

fn prompt(plan: &Plan, number: usize, arrival: &Arrival) -> String {
    let traffic = &plan.traffic[arrival.traffic];
    let mut text = filler(
        &format!("{} template {} ", traffic.name, arrival.template),
        traffic.template_tokens,
    );
    text.push_str(&filler(
        &format!("request {number} of {} ", plan.seed),
        traffic.own_tokens,
    ));
    text
}

fn filler(word: &str, tokens: usize) -> String {
    word.chars()
        .cycle()
        .take(tokens * BYTES_PER_TOKEN)
        .collect()
}

fn chat(prompt: &str, output: u64) -> Value {
    json!({
        "model": MODEL,
        "stream": true,
        "stream_options": {"include_usage": true},
        "max_tokens": output,
        "ignore_eos": true,
        "messages": [{"role": "user", "content": prompt}],
    })
}

fn refused(body: &Value) -> Outcome {
    let error = &body["error"];
    Outcome::Refused {
        code: error["code"].as_u64().unwrap_or_default(),
        run: error["run"].as_str().unwrap_or_default().into(),
    }
}

fn count(by_second: &mut Vec<(u32, u32)>, second: u32) {
    match by_second.last_mut() {
        Some((last, count)) if *last == second => *count += 1,
        _ => by_second.push((second, 1)),
    }
}

fn millis(begun: Instant) -> f64 {
    begun.elapsed().as_secs_f64() * 1_000.0
}
