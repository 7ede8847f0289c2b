//! Following the time lines of several instances.

use std::io;
use std::io::Write;
use std::net::SocketAddr;

use lovagespindle_operators::client::Client;
use lovagespindle_operators::connection::{
    CallError,
    FollowItem,
    TimelineQuery, //
};
use lovagespindle_operators::names::Names;
use lovagespindle_operators::timeline::{
    Entry,
    merge, //
};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::entry;
use crate::exit::Failure;
use crate::report::Report;
use crate::session::Session;
use crate::timeline::failure;

/// How many items of all instances wait to be printed.
const QUEUE: usize = 256;

/// What the followed instances send.
enum Heard {
    Item(FollowItem),
    /// The instance is followed no more.
    End(SocketAddr, Option<CallError>),
}

/// The entries from before the call, until all instances have sent theirs.
struct Past {
    /// How many instances have not caught up.
    open: usize,
    entries: Vec<Entry>,
    names: Names,
}

/// Prints the merged entries that are there, then each new one as it arrives, until no instance
/// is followed any more.
pub(crate) async fn run(session: &Session, query: &TimelineQuery) -> Result<Report, Failure> {
    let (sender, mut receiver) = mpsc::channel(QUEUE);
    let mut tasks = JoinSet::new();
    for instance in session.client.instances() {
        let follow = follow(
            session.client.clone(),
            *instance,
            query.clone(),
            sender.clone(),
        );
        tasks.spawn(follow);
    }
    drop(sender);
    let mut past = Past {
        open: session.client.instances().len(),
        entries: Vec::new(),
        names: Names::default(),
    };
    let mut failures = Vec::new();
    let mut heard_any = false;
    while let Some(heard) = receiver.recv().await {
        match heard {
            Heard::Item(FollowItem::Entry(entry, names)) if past.open > 0 => {
                past.entries.push(entry);
                past.names.0.extend(names.0);
            }
            Heard::Item(FollowItem::Entry(entry, names)) => print(session, &entry, &names)?,
            Heard::Item(FollowItem::CaughtUp) => {
                heard_any = true;
                past.caught_up(session)?;
            }
            Heard::End(instance, error) => {
                let reason = error.as_ref().map(CallError::to_string).unwrap_or_default();
                eprintln!("lovagespindle: instance {instance} is followed no more: {reason}");
                failures.extend(error);
                past.caught_up(session)?;
            }
        }
    }
    Err(match heard_any {
        true => Failure::FollowEnded,
        false => Failure::Read(failure(failures)),
    })
}

impl Past {
    /// Counts one instance as caught up, and prints all when it was the last.
    fn caught_up(&mut self, session: &Session) -> io::Result<()> {
        if self.open == 0 {
            return Ok(());
        }
        self.open -= 1;
        if self.open > 0 {
            return Ok(());
        }
        for entry in merge(vec![std::mem::take(&mut self.entries)]) {
            print(session, &entry, &self.names)?;
        }
        Ok(())
    }
}

async fn follow(
    client: Client,
    instance: SocketAddr,
    query: TimelineQuery,
    sender: mpsc::Sender<Heard>,
) {
    let error = follow_items(&client, instance, &query, &sender).await.err();
    // Sending fails only when the command has ended.
    let _ = sender.send(Heard::End(instance, error)).await;
}

async fn follow_items(
    client: &Client,
    instance: SocketAddr,
    query: &TimelineQuery,
    sender: &mpsc::Sender<Heard>,
) -> Result<(), CallError> {
    let mut items = client.follow(instance, query).await?;
    while let Some(item) = items.next().await? {
        if sender.send(Heard::Item(item)).await.is_err() {
            break;
        }
    }
    Ok(())
}

fn print(session: &Session, entry: &Entry, names: &Names) -> io::Result<()> {
    let mut out = io::stdout().lock();
    match session.json {
        true => writeln!(out, "{}", entry::value(entry, names))?,
        false => out.write_all(entry::line(entry, names).as_bytes())?,
    }
    out.flush()
}
