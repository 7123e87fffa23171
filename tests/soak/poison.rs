//! A poison request: it crashes every backend server that runs it, and is sent repeatedly to random instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::caller::{MAX_OUTPUT_TOKENS, PROMPT_TOKENS};
use crate::fixture::{Request, Response, send};

/// Request body that crashes a backend server.
pub const BODY: &[u8] = b"a prompt that crashes engines";
/// Result code with which the response to a quarantined request begins.
const QUARANTINED_CODE: &str = "4015 ";

/// Returns a poison request.
pub fn request(id: &str) -> Request {
    let request = Request::new("POST /stream/x", id).with_tokens(PROMPT_TOKENS, MAX_OUTPUT_TOKENS);
    request.with_body(BODY)
}

pub fn is_quarantined(response: &Response) -> bool {
    response.status == 502 && response.text().starts_with(QUARANTINED_CODE)
}

/// A thread that sends poison requests until either stop flag is set.
pub struct PoisonCaller {
    thread: Option<JoinHandle<()>>,
    own_stop: Arc<AtomicBool>,
}

impl PoisonCaller {
    pub fn start(seed: u64, fronts: Vec<SocketAddr>, stop: Arc<AtomicBool>) -> Self {
        let own_stop = Arc::new(AtomicBool::new(false));
        let mut random = SmallRng::seed_from_u64(seed.wrapping_mul(31));
        let stops = [stop, own_stop.clone()];
        let thread = std::thread::spawn(move || {
            for number in 0.. {
                if stops.iter().any(|stop| stop.load(Ordering::Acquire)) {
                    return;
                }
                let front = fronts[random.random_range(0..fronts.len())];
                // Ignores the response: the check counts server crashes instead.
                let _ = send(front, &request(&format!("p-{number}")));
                std::thread::sleep(Duration::from_millis(random.random_range(50..400)));
            }
        });
        Self {
            thread: Some(thread),
            own_stop,
        }
    }

    /// Stops the thread and waits until its last request has completed.
    pub fn stop(&mut self) {
        self.own_stop.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
