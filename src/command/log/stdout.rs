//! Log writer for standard output with a bounded queue, so that a log collector that does not read never blocks
//! a request.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::{LevelFilter, Record};

use super::{TIME_FORMAT, to_json};

/// Maximum number of lines queued for the writer thread; each takes some hundred bytes.
const MAX_QUEUED_LINES: usize = 4_096;
/// Size up to which whole lines are combined into one write, in bytes. A pipe accepts this much atomically, so that
/// a collector that reads several processes never sees a partial line.
const MAX_BATCH_BYTES: usize = 4_096;

/// Message to the writer thread.
enum Message {
    Line(Vec<u8>),
    /// Requests a write of all preceding lines, confirmed through the channel.
    Flush(flume::Sender<()>),
}

struct Writer {
    queue: flume::Sender<Message>,
    /// Lines dropped since the last `log.dropped` line.
    dropped: Arc<AtomicU64>,
}

impl LogWriter for Writer {
    fn write(&self, now: &mut DeferredNow, record: &Record) -> std::io::Result<()> {
        let time = now.now_utc_owned().format(TIME_FORMAT).to_string();
        let mut line = to_json(&time, record).to_string().into_bytes();
        line.push(b'\n');
        // If the queue is full the line is dropped; the writer thread reports the number of dropped lines.
        if self.queue.try_send(Message::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        let (done, confirmation) = flume::bounded(1);
        if self.queue.try_send(Message::Flush(done)).is_ok() {
            // An error means a timeout or that the writer thread has stopped; in both cases there is nothing to do.
            let _ = confirmation.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }

    fn max_log_level(&self) -> LevelFilter {
        LevelFilter::Trace
    }
}

/// Maximum time that a flush waits, so that a collector that does not read cannot keep the process from exiting.
const FLUSH_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(200);

/// Starts the logger and the writer thread.
pub(super) fn start(specification: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    let (queue, messages) = flume::bounded(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let writer = Writer {
        queue,
        dropped: dropped.clone(),
    };
    std::thread::Builder::new()
        .name("log".into())
        .spawn(move || run(&messages, &dropped))?;
    Logger::try_with_str(specification)?
        .log_to_writer(Box::new(writer))
        .start()
}

/// Body of the writer thread: combines queued lines into batches and writes them.
fn run(messages: &flume::Receiver<Message>, dropped: &AtomicU64) {
    let mut out = std::io::stdout().lock();
    let mut batch = Vec::with_capacity(MAX_BATCH_BYTES);
    while let Ok(first) = messages.recv() {
        let mut next = Some(first);
        while let Some(message) = next {
            match message {
                Message::Line(line) => {
                    if batch.len() + line.len() > MAX_BATCH_BYTES {
                        write(&mut out, &mut batch);
                    }
                    batch.extend_from_slice(&line);
                }
                Message::Flush(done) => {
                    write(&mut out, &mut batch);
                    let _ = done.send(());
                }
            }
            next = (batch.len() < MAX_BATCH_BYTES)
                .then(|| messages.try_recv().ok())
                .flatten();
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            let line =
                format!("{{\"level\":\"WARN\",\"title\":\"log.dropped\",\"lines\":{count}}}\n");
            batch.extend_from_slice(line.as_bytes());
        }
        write(&mut out, &mut batch);
    }
}

/// Writes and clears the batch. Errors are ignored: a collector that closed the pipe must not stop the process.
fn write(out: &mut impl Write, batch: &mut Vec<u8>) {
    let _ = out.write_all(batch).and_then(|()| out.flush());
    batch.clear();
}
