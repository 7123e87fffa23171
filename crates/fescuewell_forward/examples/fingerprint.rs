//! Processor time of a request's fingerprint, by the size of its body.
//!
//! ```sh
//! cargo run --release -p fescuewell_forward --example fingerprint
//! ```

use std::hint::black_box;
use std::time::Instant;

use fescuewell_forward::crash::{Content, Fingerprint};

const ROUNDS: u32 = 20_000;
const BODY_BYTES: [usize; 4] = [0, 1_500, 9_200, 17_000];

fn main() {
    for bytes in BODY_BYTES {
        let body = vec![7; bytes];
        let start = Instant::now();
        for _ in 0..ROUNDS {
            let content = Content {
                account: "group",
                method: "POST",
                host: "desk.example",
                target: "/summaries/2f",
                body: black_box(&body),
            };
            black_box(Fingerprint::new(&content));
        }
        let each = start.elapsed() / ROUNDS;
        println!("{bytes:6} bytes: {each:?}");
    }
}
