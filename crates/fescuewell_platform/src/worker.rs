//! A thread that carries out table work, so that decisions never wait for the table.

use std::io;
use std::sync::Arc;
use std::thread::JoinHandle;

use fescuewell_core::table::{self, Reply, Step, Table};

/// Takes the reply to a duty's step; returns `false` once nobody wants replies any more.
pub type ReplyHandler<Duty> = Box<dyn FnMut(Duty, Reply) -> bool + Send>;

/// One thread between a bounded ring of table work and a table.
///
/// Steps are carried out one after another, in the order of the ring: the table sees at most one
/// request of a worker at a time, which bounds what a slow table can pile up. The thread ends when
/// all senders of its ring are gone, or when the replies are no longer wanted.
///
/// ```
/// use std::sync::Arc;
/// use fescuewell_core::table::{Reply, Step, Transaction};
/// use fescuewell_platform::{Worker, memory};
///
/// let (steps, inbox) = flume::bounded(16);
/// let (replies, outbox) = flume::bounded(16);
/// let table = Arc::new(memory::Table::default());
/// let answer = move |duty: u32, reply: Reply| replies.send((duty, reply)).is_ok();
/// let worker = Worker::start("table", table, inbox, Box::new(answer)).unwrap();
///
/// steps.send((7, Step::Commit(Transaction::default().with_put("a", *b"1")))).unwrap();
/// let (duty, reply) = outbox.recv().unwrap();
/// assert_eq!(duty, 7);
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
    /// When the operating system starts no more threads.
    pub fn start<Duty>(
        name: &str,
        table: Arc<dyn Table>,
        inbox: flume::Receiver<(Duty, Step)>,
        answer: ReplyHandler<Duty>,
    ) -> io::Result<Self>
    where
        Duty: Send + 'static,
    {
        let thread = std::thread::Builder::new()
            .name(name.into())
            .spawn(move || run(&*table, &inbox, answer))?;
        Ok(Self { thread })
    }

    /// Waits for the thread to end.
    pub fn join(self) {
        let _ = self.thread.join();
    }
}

fn run<Duty>(
    table: &dyn Table,
    inbox: &flume::Receiver<(Duty, Step)>,
    mut answer: ReplyHandler<Duty>,
) {
    for (duty, step) in inbox.iter() {
        let reply = table::carry_out(table, &step);
        if !answer(duty, reply) {
            return;
        }
    }
}
