//! A request that crashes each backend server which runs it, sent again and again to all instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::caller::{MOST_OUTPUT, PROMPT};
use crate::fixture::{Request, Response, send};

/// Body that crashes a server.
pub const BODY: &[u8] = b"a prompt that crashes engines";
/// Code of the answer to a quarantined request.
const QUARANTINED: &str = "4015 ";

/// One try of it.
pub fn request(id: &str) -> Request {
    let request = Request::new("POST /stream/x", id).with_tokens(PROMPT, MOST_OUTPUT);
    request.with_body(BODY)
}

pub fn is_quarantined(answer: &Response) -> bool {
    answer.status == 502 && answer.text().starts_with(QUARANTINED)
}

/// A thread that sends it until it is told to stop.
pub struct Poisoner {
    thread: Option<JoinHandle<()>>,
    own_stop: Arc<AtomicBool>,
}

impl Poisoner {
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
                // Its answer says nothing that the servers' crashes do not.
                let _ = send(front, &request(&format!("p-{number}")));
                std::thread::sleep(Duration::from_millis(random.random_range(50..400)));
            }
        });
        Self {
            thread: Some(thread),
            own_stop,
        }
    }

    /// Waits until the last try has been answered.
    pub fn stop(&mut self) {
        self.own_stop.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
