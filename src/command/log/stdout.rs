//! Log lines on standard output through a bounded ring: a collector that does not read never holds up a request.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::{LevelFilter, Record};

use super::{TIME, object};

/// Lines that may wait for the writer's thread; each takes some hundred bytes.
const LINES: usize = 4_096;
/// Most bytes of one write: whole lines, and no more than a pipe takes in one piece, so that a collector that reads
/// several processes never sees half a line.
const BATCH: usize = 4_096;

enum Item {
    Line(Vec<u8>),
    Flush(flume::Sender<()>),
}

struct Writer {
    lines: flume::Sender<Item>,
    dropped: Arc<AtomicU64>,
}

impl LogWriter for Writer {
    fn write(&self, now: &mut DeferredNow, record: &Record) -> std::io::Result<()> {
        let time = now.now_utc_owned().format(TIME).to_string();
        let mut line = object(&time, record).to_string().into_bytes();
        line.push(b'\n');
        // A full ring loses the line; the next one that goes out is preceded by how many were lost.
        if self.lines.try_send(Item::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        let (done, wait) = flume::bounded(1);
        if self.lines.try_send(Item::Flush(done)).is_ok() {
            // The thread has ended if this fails, and then there is nothing left to write.
            let _ = wait.recv_timeout(FLUSH);
        }
        Ok(())
    }

    fn max_log_level(&self) -> LevelFilter {
        LevelFilter::Trace
    }
}

/// Longest wait for the lines of a process that ends.
const FLUSH: std::time::Duration = std::time::Duration::from_millis(200);

/// Starts the logger and the writer's thread.
pub(super) fn start(specification: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    let (lines, waiting) = flume::bounded(LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let writer = Writer {
        lines,
        dropped: dropped.clone(),
    };
    std::thread::Builder::new()
        .name("log".into())
        .spawn(move || drain(&waiting, &dropped))?;
    Logger::try_with_str(specification)?
        .log_to_writer(Box::new(writer))
        .start()
}

fn drain(waiting: &flume::Receiver<Item>, dropped: &AtomicU64) {
    let mut out = std::io::stdout().lock();
    let mut batch = Vec::with_capacity(BATCH);
    while let Ok(first) = waiting.recv() {
        let mut next = Some(first);
        while let Some(item) = next {
            match item {
                Item::Line(line) => {
                    if batch.len() + line.len() > BATCH {
                        write(&mut out, &mut batch);
                    }
                    batch.extend_from_slice(&line);
                }
                Item::Flush(done) => {
                    write(&mut out, &mut batch);
                    let _ = done.send(());
                }
            }
            next = (batch.len() < BATCH)
                .then(|| waiting.try_recv().ok())
                .flatten();
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let line =
                format!("{{\"level\":\"WARN\",\"title\":\"log.dropped\",\"lines\":{lost}}}\n");
            batch.extend_from_slice(line.as_bytes());
        }
        write(&mut out, &mut batch);
    }
}

/// A collector that has gone away must not end the process.
fn write(out: &mut impl Write, batch: &mut Vec<u8>) {
    let _ = out.write_all(batch).and_then(|()| out.flush());
    batch.clear();
}
