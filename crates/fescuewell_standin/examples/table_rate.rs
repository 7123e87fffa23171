//! Measures the table's client against the platform stand-in on loopback, and the in-memory table.
//!
//! `cargo run --release -p fescuewell_standin --example table_rate`

use std::error::Error;
use std::sync::Arc;
use std::time::Instant;

use fescuewell_adapter::product::connect;
use fescuewell_core::table::{Table, Transaction};
use fescuewell_platform::memory;
use fescuewell_standin::platform::{Platform, Settings};

const OPERATIONS: usize = 4_000;
const ROW_BYTES: usize = 256;

fn main() -> Result<(), Box<dyn Error>> {
    let platform = Platform::start("127.0.0.1:0".parse()?, Settings::default())?;
    let remote = connect(&platform.client_settings())?.table;
    let memory: Arc<dyn Table> = Arc::new(memory::Table::default());
    for threads in [1, 4, 16] {
        measure("over HTTP", &remote, threads);
    }
    for threads in [1, 4] {
        measure("in memory", &memory, threads);
    }
    Ok(())
}

fn measure(name: &str, table: &Arc<dyn Table>, threads: usize) {
    let write = |key: String| {
        let put = Transaction::default().with_put(key, vec![7; ROW_BYTES]);
        table.commit(&put).is_ok()
    };
    let read = |key: String| table.read(&key).is_ok();
    report(name, "writes", threads, &write);
    report(name, "reads", threads, &read);
}

fn report<Operation>(name: &str, what: &str, threads: usize, operation: &Operation)
where
    Operation: Fn(String) -> bool + Sync,
{
    let each = OPERATIONS / threads;
    let began = Instant::now();
    let mut failed = 0;
    std::thread::scope(|scope| {
        let run = |thread: usize| {
            let done = (0..each).filter(|number| operation(format!("row/{thread}/{number}")));
            each - done.count()
        };
        let mut handles = Vec::new();
        for thread in 0..threads {
            handles.push(scope.spawn(move || run(thread)));
        }
        for handle in handles {
            failed += handle.join().unwrap_or(each);
        }
    });
    let elapsed = began.elapsed().as_secs_f64();
    let total = (each * threads) as f64;
    println!(
        "{name}, {threads} threads: {:.0} {what} a second, {:.0} us each, {failed} failed",
        total / elapsed,
        elapsed * 1e6 * threads as f64 / total
    );
}
