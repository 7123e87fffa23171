//! One attempt at a model request: send it, stream the answer on, take it up again when it breaks.

use std::time::{Duration, Instant};

use bytes::Bytes;
use fescuewell_core::prelude::*;
use fescuewell_http::sse;
use fescuewell_http::upstream::{Client, Error, Exchange, Target, Timeouts};
use fescuewell_node::event::Event as NodeEvent;
use fescuewell_node::request::{Assignment, End, Ticket};
use http::StatusCode;

use crate::chat::Prompt;
use crate::delivery::{Delivery, Wish};
use crate::pending::Desk;

/// Names the attempt to the backend server.
pub const STREAM_HEADER: &str = "x-request-id";
/// Set by a backend server that is about to go.
const LEAVING_HEADER: &str = "x-leaving";
/// Largest event of an answer.
const LARGEST_EVENT: usize = 1024 * 1024;
/// Largest body of an error that is passed on.
const LARGEST_ERROR: usize = 64 * 1024;
/// Times that a broken answer is taken up again without any new token between.
const MOST_RESUMES: u32 = 4;
/// Pause before the second and each further resume.
const RESUME_PAUSE: Duration = Duration::from_millis(100);
/// Tokens between two notes of progress to the decision thread.
const PROGRESS_EVERY: u32 = 32;

/// What an attempt needs from around it.
pub struct Bench<'a> {
    /// Connections to backend servers.
    pub client: &'a Client,
    /// Where progress is noted.
    pub desk: &'a Desk,
    /// Time limits towards backend servers.
    pub timeouts: Timeouts,
    /// Names the request in this process.
    pub ticket: Ticket,
    /// When the answer is of no more use.
    pub deadline: Instant,
    /// Whether the caller may ask again, so that an answer is worth finishing without it.
    pub may_ask_again: bool,
}

/// What became of reading one connection's answer.
enum Reading {
    /// The end of the answer came.
    Whole,
    /// The connection broke or went silent; there may be more.
    Broken { stalled: bool },
    /// The backend server went on past the output limit.
    Cut,
    /// The deadline passed.
    Late,
    /// The caller went away and will not ask again.
    Abandoned,
}

/// What the first contact gave.
enum Opening {
    /// The answer begins.
    Answer(Box<Exchange>),
    /// Provably not run.
    NotSent,
    /// The server takes nothing now.
    Busy,
    /// The server refuses the request itself.
    Rejected(StatusCode, Bytes),
    /// It may have run.
    Unclear { stalled: bool },
}

/// How an attempt ended, and what a backend server said if it rejected the request.
pub struct Outcome {
    /// For the decision thread.
    pub end: End,
    /// A rejection to be passed on.
    pub rejection: Option<(StatusCode, Bytes)>,
    /// Whether the deadline cut the answer.
    pub is_late: bool,
}

impl Outcome {
    fn of(end: End) -> Self {
        Self {
            end,
            rejection: None,
            is_late: false,
        }
    }
}

impl Bench<'_> {
    /// Runs one attempt to its end.
    pub async fn run(
        &self,
        assignment: &Assignment,
        prompt: &Prompt,
        wish: &Wish,
        delivery: &mut Delivery,
    ) -> Outcome {
        let limit = output_limit(assignment, prompt);
        let request = self.request(assignment, prompt, wish, limit);
        match self.open(assignment, request).await {
            Opening::NotSent => Outcome::of(End::NotSent),
            Opening::Busy => Outcome::of(End::Busy),
            Opening::Rejected(status, body) => Outcome {
                rejection: Some((status, body)),
                ..Outcome::of(End::Rejected)
            },
            Opening::Answer(exchange) => {
                self.follow(assignment, Some(exchange), limit, delivery)
                    .await
            }
            Opening::Unclear { stalled } => {
                let mut outcome = self.follow(assignment, None, limit, delivery).await;
                if let End::Lost {
                    stalled: was_stalled,
                    ..
                } = &mut outcome.end
                {
                    *was_stalled |= stalled;
                }
                outcome
            }
        }
    }

    /// Reads the answer of an attempt that is under way or done elsewhere. `None` when its backend server
    /// has no record of it.
    pub async fn read(
        &self,
        address: std::net::SocketAddr,
        stream: &str,
        delivery: &mut Delivery,
    ) -> Option<Outcome> {
        let mut tries = 0;
        loop {
            let exchange = match self.resume(address, stream, delivery.last).await {
                Resumed::Answer(exchange) => Some(exchange),
                Resumed::Unknown if tries == 0 => return None,
                Resumed::Unknown | Resumed::Failed => None,
            };
            let before = delivery.last;
            let reading = match exchange {
                Some(exchange) => self.take_all(exchange, u32::MAX, delivery).await,
                None => Reading::Broken { stalled: false },
            };
            match reading {
                Reading::Whole | Reading::Cut => return Some(Outcome::of(done(delivery))),
                Reading::Late => return Some(self.late(delivery)),
                Reading::Abandoned => return Some(Outcome::of(cancelled(delivery))),
                Reading::Broken { stalled } => {
                    tries = if delivery.last > before { 0 } else { tries + 1 };
                    if tries > MOST_RESUMES {
                        return Some(Outcome::of(lost(delivery, stalled)));
                    }
                    tokio::time::sleep(RESUME_PAUSE).await;
                }
            }
        }
    }

    fn request(
        &self,
        assignment: &Assignment,
        prompt: &Prompt,
        wish: &Wish,
        limit: u32,
    ) -> http::Request<Bytes> {
        let body = prompt.upstream_body(limit, assignment.priority, &assignment.cache_salt);
        let left = self.deadline.saturating_duration_since(Instant::now());
        let request = http::Request::builder()
            .method(http::Method::POST)
            .uri(wish.path.as_str())
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(STREAM_HEADER, &*assignment.stream)
            .header("x-fescuewell-group", &*assignment.group)
            .header("x-fescuewell-hold", assignment.hold.0)
            .header(crate::caller::DEADLINE_HEADER, left.as_millis().to_string());
        request.body(Bytes::from(body)).unwrap_or_default()
    }

    async fn open(&self, assignment: &Assignment, request: http::Request<Bytes>) -> Opening {
        let target = Target::new(assignment.address).with_deadline(self.deadline);
        let exchange = match self.client.open(&target, request, self.timeouts).await {
            Ok(exchange) => exchange,
            Err(Error::NotSent { .. }) => return Opening::NotSent,
            Err(Error::Stalled) => return Opening::Unclear { stalled: true },
            Err(_) => return Opening::Unclear { stalled: false },
        };
        self.note_leaving(assignment, &exchange);
        match exchange.status {
            StatusCode::OK if belongs(&exchange, &assignment.stream) => {
                Opening::Answer(Box::new(exchange))
            }
            // An answer under another name is somebody else's: it must not reach this caller.
            StatusCode::OK => Opening::Unclear { stalled: false },
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Opening::Busy,
            // The server knows this attempt already: an earlier send of it arrived after all.
            StatusCode::CONFLICT => Opening::Unclear { stalled: false },
            status if status.is_client_error() => {
                let body = exchange.whole(LARGEST_ERROR).await.unwrap_or_default();
                Opening::Rejected(status, body)
            }
            _ => Opening::Unclear { stalled: false },
        }
    }

    fn note_leaving(&self, assignment: &Assignment, exchange: &Exchange) {
        if exchange.headers.contains_key(LEAVING_HEADER) {
            let server = assignment.server.clone();
            self.desk.hint(NodeEvent::Leaving { server });
        }
    }

    /// Streams the answer on, taking it up again where it broke.
    async fn follow(
        &self,
        assignment: &Assignment,
        first: Option<Box<Exchange>>,
        limit: u32,
        delivery: &mut Delivery,
    ) -> Outcome {
        let mut next = first;
        let mut tries = 0;
        loop {
            let before = delivery.last;
            let reading = match next.take() {
                Some(exchange) => self.take_all(exchange, limit, delivery).await,
                None => match self
                    .resume(assignment.address, &assignment.stream, delivery.last)
                    .await
                {
                    Resumed::Answer(exchange) => self.take_all(exchange, limit, delivery).await,
                    Resumed::Unknown => return Outcome::of(lost(delivery, false)),
                    Resumed::Failed => Reading::Broken { stalled: false },
                },
            };
            let stalled = match reading {
                Reading::Whole => return Outcome::of(done(delivery)),
                Reading::Cut => {
                    self.cancel(assignment, delivery).await;
                    return Outcome::of(done(delivery));
                }
                Reading::Late => {
                    self.cancel(assignment, delivery).await;
                    return self.late(delivery);
                }
                Reading::Abandoned => {
                    self.cancel(assignment, delivery).await;
                    return Outcome::of(cancelled(delivery));
                }
                Reading::Broken { stalled } => stalled,
            };
            tries = if delivery.last > before { 0 } else { tries + 1 };
            if tries > MOST_RESUMES || Instant::now() >= self.deadline {
                self.cancel(assignment, delivery).await;
                return Outcome::of(lost(delivery, stalled));
            }
            if tries > 1 {
                tokio::time::sleep(RESUME_PAUSE).await;
            }
        }
    }

    async fn take_all(
        &self,
        mut exchange: Box<Exchange>,
        limit: u32,
        delivery: &mut Delivery,
    ) -> Reading {
        let mut splitter = sse::Splitter::new(LARGEST_EVENT);
        let mut events = Vec::new();
        let mut noted = delivery.last;
        while let Some(chunk) = exchange.next_chunk().await {
            let chunk = match chunk {
                Ok(chunk) => chunk,
                Err(Error::DeadlinePassed) => return Reading::Late,
                Err(error) => {
                    return Reading::Broken {
                        stalled: error == Error::Stalled,
                    };
                }
            };
            if splitter.push(&chunk, &mut events).is_err() {
                return Reading::Broken { stalled: false };
            }
            for event in events.drain(..) {
                if !is_next(&event, delivery.last) {
                    continue;
                }
                delivery.take(event).await;
            }
            self.note_progress(delivery, &mut noted);
            if delivery.is_done() {
                return Reading::Whole;
            }
            // The hold covers so many tokens; an engine that goes on past the limit would spend what
            // nobody set aside.
            if delivery.output > limit {
                return Reading::Cut;
            }
            if delivery.is_gone() && !self.may_ask_again {
                return Reading::Abandoned;
            }
        }
        match delivery.is_done() {
            true => Reading::Whole,
            false => Reading::Broken { stalled: false },
        }
    }

    fn note_progress(&self, delivery: &Delivery, noted: &mut u64) {
        let new = delivery.last.saturating_sub(*noted) as u32;
        if new >= PROGRESS_EVERY || (*noted == 0 && new > 0) {
            *noted = delivery.last;
            let ticket = self.ticket;
            self.desk.hint(NodeEvent::Progress {
                ticket,
                tokens: new,
            });
        }
    }

    async fn resume(&self, address: std::net::SocketAddr, stream: &str, after: u64) -> Resumed {
        let path = format!("/v1/responses/{stream}?stream=true&starting_after={after}");
        let request = http::Request::builder().uri(path).body(Bytes::new());
        let target = Target::new(address).with_deadline(self.deadline);
        let exchange = self
            .client
            .open(&target, request.unwrap_or_default(), self.timeouts)
            .await;
        match exchange {
            Ok(exchange) if exchange.status == StatusCode::OK && belongs(&exchange, stream) => {
                Resumed::Answer(Box::new(exchange))
            }
            Ok(exchange) if exchange.status == StatusCode::NOT_FOUND => Resumed::Unknown,
            _ => Resumed::Failed,
        }
    }

    /// Tells the engine to stop, and learns from its record what was used.
    ///
    /// Not waited for long: where the engine does not answer, the sweep or its own limits end the stream.
    async fn cancel(&self, assignment: &Assignment, delivery: &mut Delivery) {
        let path = format!("/v1/responses/{}/cancel", assignment.stream);
        let request = http::Request::builder()
            .method(http::Method::POST)
            .uri(path)
            .body(Bytes::new());
        let target = Target::new(assignment.address);
        let timeouts = Timeouts {
            first_byte: self.timeouts.connect,
            ..self.timeouts
        };
        let exchange = self
            .client
            .open(&target, request.unwrap_or_default(), timeouts)
            .await;
        let Ok(exchange) = exchange else {
            return;
        };
        let body = exchange.whole(LARGEST_ERROR).await.unwrap_or_default();
        let record: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let total = record["usage"]["total_tokens"].as_u64();
        delivery.used = total.map_or(delivery.used, Tokens);
    }

    fn late(&self, delivery: &Delivery) -> Outcome {
        Outcome {
            is_late: true,
            ..Outcome::of(cancelled(delivery))
        }
    }
}

enum Resumed {
    Answer(Box<Exchange>),
    Unknown,
    Failed,
}

// Events come in order of their numbers; one that was seen before a break must not be repeated.
fn is_next(event: &sse::Event, last: u64) -> bool {
    let number = event.id.as_deref().and_then(|id| id.parse::<u64>().ok());
    number.is_none_or(|number| number > last)
}

fn belongs(exchange: &Exchange, stream: &str) -> bool {
    let name = exchange.headers.get(STREAM_HEADER);
    name.is_some_and(|name| name.as_bytes() == stream.as_bytes())
}

fn output_limit(assignment: &Assignment, prompt: &Prompt) -> u32 {
    let room = assignment.hold.0.saturating_sub(u64::from(prompt.bound));
    u32::try_from(room).unwrap_or(u32::MAX).max(1)
}

fn used(delivery: &Delivery) -> Tokens {
    match delivery.used.is_zero() {
        true => Tokens(u64::from(delivery.output)),
        false => delivery.used,
    }
}

fn done(delivery: &Delivery) -> End {
    End::Done {
        cost: used(delivery),
        output: delivery.output,
        answer: None,
    }
}

fn cancelled(delivery: &Delivery) -> End {
    End::Cancelled {
        used: used(delivery),
    }
}

fn lost(delivery: &Delivery, stalled: bool) -> End {
    End::Lost {
        used: used(delivery),
        stalled,
        delivered: delivery.has_begun(),
    }
}
