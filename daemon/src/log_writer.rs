//! Writes log lines to standard output on a separate thread, so that logging never blocks.

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

/// Capacity of the queue in lines, enough for several seconds of logging. When it is full, lines
/// are dropped and counted.
const QUEUE_CAPACITY: usize = 4_096;

/// Time for which the writer collects lines before it writes them, to save system calls.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Size of a write in bytes above which the writer takes no more lines from the queue.
const MAX_WRITE: usize = 1 << 16;

/// Time after which a flush gives up if standard output is not read.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum Item {
    Line(Vec<u8>),
    /// Requests a message on the channel when all items before it are written.
    Flush(SyncSender<()>),
}

/// A log4rs appender that passes lines to a thread, which writes them to standard output.
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
    /// Starts the thread that writes to standard output. Returns an error if it cannot be started.
    pub fn start(encoder: Box<dyn Encode>) -> std::io::Result<QueueAppender> {
        let (items, received) = sync_channel(QUEUE_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_lines = dropped.clone();
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || run_writer(&received, &dropped_lines))?;
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
            // Lines that are not written by then are lost: standard output is not being read.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Writes items until the appender is dropped.
fn run_writer(items: &Receiver<Item>, dropped: &AtomicU64) {
    let mut bytes = Vec::new();
    while let Ok(first) = items.recv() {
        let mut flushes = Vec::new();
        append_item(first, &mut bytes, &mut flushes);
        if flushes.is_empty() {
            std::thread::sleep(BATCH_DELAY);
        }
        while bytes.len() < MAX_WRITE
            && let Ok(item) = items.try_recv()
        {
            append_item(item, &mut bytes, &mut flushes);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            bytes.extend_from_slice(format!("event=log_dropped lines={lost}\n").as_bytes());
        }
        // A failed write cannot be reported: standard output is the only log.
        let mut out = std::io::stdout().lock();
        let _ = out.write_all(&bytes).and_then(|()| out.flush());
        bytes.clear();
        for done in flushes {
            let _ = done.send(());
        }
    }
}

fn append_item(item: Item, bytes: &mut Vec<u8>, flushes: &mut Vec<SyncSender<()>>) {
    match item {
        Item::Line(line) => bytes.extend_from_slice(&line),
        Item::Flush(done) => flushes.push(done),
    }
}
