//! A part of prompts that crashes every backend server, in requests that differ otherwise.

use std::thread::sleep;
use std::time::Duration;

use fescuewell::standin::worker::Worker;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::fixture::{Fixture, Request, send};
use crate::instance::Instance;
use crate::wire;

/// Part that crashes servers.
const CRASHING_PART: &str = "badc0de";
/// First part of all prompts.
const FIRST_PART: &str = "f1";
/// Crashes after which at most [`MAX_FURTHER_SENDS`] requests with the part may be sent.
const CRASHES: u64 = 5;
const MAX_FURTHER_SENDS: u64 = 3;
/// Requests with the part, each followed by a sound one.
const REQUESTS: usize = 24;
/// Time after which a crashed server is back, and after which all instances list it again.
const RETURN_TIME: Duration = Duration::from_millis(500);

fn request(id: &str, part: &str) -> Request {
    Request::new("POST /stream/x", id)
        .with(
            wire::PARTS,
            &format!("{FIRST_PART}:600,{part}:300,{}:100", own_part(id)),
        )
        .with_body(id.as_bytes())
}

fn own_part(id: &str) -> String {
    id.bytes().map(|byte| format!("{byte:02x}")).collect()
}

/// Sends requests with a part that crashes servers to random instances, and sound ones between them. Checks how many
/// servers crash, and that at least half of the sound requests are answered.
pub fn violations<Restart>(
    random: &mut SmallRng,
    platform: &Fixture,
    instances: &[Instance],
    restart: Restart,
) -> Vec<String>
where
    Restart: Fn(),
{
    let before = platform.crashes();
    for worker in &platform.workers {
        // A server that says that it leaves may end at any time, which is no evidence.
        worker.set_leaving(false);
        worker.crash_on_part(Some(CRASHING_PART));
        worker.set_unframed(random.random_bool(0.5));
    }
    let mut answered = 0;
    for number in 0..REQUESTS {
        let front = instances[random.random_range(0..instances.len())].front;
        let id = format!("part-{number}");
        // Ignores the response: the check counts server crashes instead.
        let _ = send(front, &request(&id, CRASHING_PART));
        if platform.workers.iter().any(Worker::has_crashed) {
            sleep(RETURN_TIME);
            restart();
            sleep(RETURN_TIME);
        }
        let front = instances[random.random_range(0..instances.len())].front;
        let id = format!("sound-{number}");
        let response = send(front, &request(&id, &own_part(&id)));
        answered += usize::from(response.is_some_and(|response| response.status == 200));
    }
    for worker in &platform.workers {
        worker.crash_on_part(None);
        worker.set_unframed(false);
    }
    let crashes = platform.crashes() - before;
    let mut violations = Vec::new();
    if crashes > CRASHES + MAX_FURTHER_SENDS {
        violations.push(format!("{crashes} crashes under one part of prompts"));
    }
    if answered * 2 < REQUESTS {
        violations.push(format!(
            "{answered} of {REQUESTS} sound requests that share a part are answered"
        ));
    }
    violations
}
