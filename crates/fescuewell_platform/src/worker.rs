//! Worker thread that runs table operations, so that the event loop never blocks on the table.

use std::io;
use std::sync::Arc;
use std::thread::JoinHandle;

use fescuewell_core::table::{self, Reply, Step, Table};

/// Called with each reply and the tag of its step. Returns `false` when replies are no longer consumed.
pub type ReplyHandler<Tag> = Box<dyn FnMut(Tag, Reply) -> bool + Send>;

/// A thread that takes table operations from a bounded channel and runs them on a table.
///
/// Steps run one after another in channel order. The table gets at most one request of a worker at a
/// time, which bounds the number of requests that pile up when the table is slow. The thread ends when
/// all senders of the channel are dropped, or when the reply handler returns `false`.
///
/// ```
/// use std::sync::Arc;
/// use fescuewell_core::table::{Reply, Step, Transaction};
/// use fescuewell_platform::{Worker, memory};
///
/// let (steps, inbox) = flume::bounded(16);
/// let (replies, outbox) = flume::bounded(16);
/// let table = Arc::new(memory::Table::default());
/// let on_reply = move |tag: u32, reply: Reply| replies.send((tag, reply)).is_ok();
/// let worker = Worker::start("table", table, inbox, Box::new(on_reply)).unwrap();
///
/// steps.send((7, Step::Commit(Transaction::default().with_put("a", *b"1")))).unwrap();
/// let (tag, reply) = outbox.recv().unwrap();
/// assert_eq!(tag, 7);
/// assert!(matches!(reply, Reply::Outcome(_)));
/// drop(steps);
/// worker.join();
/// ```
pub struct Worker {
    thread: JoinHandle<()>,
}

impl Worker {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// When the operating system cannot start a thread.
    pub fn start<Tag>(
        name: &str,
        table: Arc<dyn Table>,
        inbox: flume::Receiver<(Tag, Step)>,
        on_reply: ReplyHandler<Tag>,
    ) -> io::Result<Self>
    where
        Tag: Send + 'static,
    {
        let thread = std::thread::Builder::new()
            .name(name.into())
            .spawn(move || run(&*table, &inbox, on_reply))?;
        Ok(Self { thread })
    }

    /// Waits for the thread to end.
    pub fn join(self) {
        let _ = self.thread.join();
    }
}

fn run<Tag>(
    table: &dyn Table,
    inbox: &flume::Receiver<(Tag, Step)>,
    mut on_reply: ReplyHandler<Tag>,
) {
    for (tag, step) in inbox.iter() {
        let reply = table::execute(table, &step);
        if !on_reply(tag, reply) {
            return;
        }
    }
}
