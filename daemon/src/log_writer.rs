//! Writes log lines to standard output without holding up the threads that log.

use std::fmt;
use std::io::Write as _;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::sync::mpsc::{
    Receiver,
    SyncSender,
    TrySendError,
    sync_channel, //
};
use std::time::Duration;

use log::Record;
use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::writer::simple::SimpleWriter;

/// How many lines wait for the writer; further ones are dropped and counted. Several seconds of
/// lines at today's rates.
const QUEUE: usize = 4_096;

/// How long the writer gathers lines before it writes them, to save system calls.
const GATHER: Duration = Duration::from_millis(20);

/// The most bytes that are written at once.
const MAX_WRITE: usize = 1 << 16;

/// How long a flush waits for a reader that does not read.
const FLUSH: Duration = Duration::from_millis(200);

enum Item {
    Line(Vec<u8>),
    /// Asks for word that everything before it is written.
    Flush(SyncSender<()>),
}

/// Passes lines to a thread that writes them.
pub struct QueueAppender {
    encoder: Box<dyn Encode>,
    items: SyncSender<Item>,
    dropped: Arc<AtomicU64>,
}

impl fmt::Debug for QueueAppender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("QueueAppender").finish_non_exhaustive()
    }
}

impl QueueAppender {
    /// Starts the thread that writes to standard output.
    pub fn start(encoder: Box<dyn Encode>) -> std::io::Result<QueueAppender> {
        let (items, received) = sync_channel(QUEUE);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&received, &counted))?;
        Ok(QueueAppender {
            encoder,
            items,
            dropped,
        })
    }
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(192));
        self.encoder.encode(&mut line, record)?;
        if let Err(TrySendError::Full(_)) = self.items.try_send(Item::Line(line.0)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {
        let (done, written) = sync_channel(1);
        if self.items.try_send(Item::Flush(done)).is_ok() {
            // After that time the rest is lost with the process, as its reader does not read.
            let _ = written.recv_timeout(FLUSH);
        }
    }
}

/// Writes until the appender is gone.
fn write_all(items: &Receiver<Item>, dropped: &AtomicU64) {
    let mut bytes = Vec::new();
    while let Ok(first) = items.recv() {
        let mut flushes = Vec::new();
        gather(first, &mut bytes, &mut flushes);
        if flushes.is_empty() {
            std::thread::sleep(GATHER);
        }
        while bytes.len() < MAX_WRITE
            && let Ok(item) = items.try_recv()
        {
            gather(item, &mut bytes, &mut flushes);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            bytes.extend_from_slice(format!("event=log_dropped lines={lost}\n").as_bytes());
        }
        // There is no other place to tell that standard output is gone.
        let mut out = std::io::stdout().lock();
        let _ = out.write_all(&bytes).and_then(|()| out.flush());
        bytes.clear();
        for done in flushes {
            let _ = done.send(());
        }
    }
}

fn gather(item: Item, bytes: &mut Vec<u8>, flushes: &mut Vec<SyncSender<()>>) {
    match item {
        Item::Line(line) => bytes.extend_from_slice(&line),
        Item::Flush(done) => flushes.push(done),
    }
}
