//! Following the time lines of several instances.

use std::collections::BTreeSet;
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
enum Received {
    Item(SocketAddr, FollowItem),
    /// The instance is followed no more.
    End(SocketAddr, Option<CallError>),
}

/// Prints what the followed instances send.
struct Printer<'a> {
    session: &'a Session,
    /// The instances that have not sent all entries from before the call.
    open: BTreeSet<SocketAddr>,
    /// The entries from before the call, until no instance is open.
    past: Vec<Entry>,
    names: Names,
    /// Whether any instance could be followed.
    followed: bool,
    failures: Vec<CallError>,
}

/// Prints the merged entries that are there, then each new one as it arrives, until no instance
/// is followed any more.
pub(crate) async fn run(session: &Session, query: &TimelineQuery) -> Result<Report, Failure> {
    let instances = session.client.instances();
    let (sender, mut receiver) = mpsc::channel(QUEUE);
    let mut tasks = JoinSet::new();
    for instance in instances {
        let (client, query) = (session.client.clone(), query.clone());
        tasks.spawn(follow(client, *instance, query, sender.clone()));
    }
    drop(sender);
    let mut printer = Printer {
        session,
        open: instances.iter().copied().collect(),
        past: Vec::new(),
        names: Names::default(),
        followed: false,
        failures: Vec::new(),
    };
    while let Some(received) = receiver.recv().await {
        printer.take(received)?;
    }
    Err(match printer.followed {
        true => Failure::FollowEnded,
        false => Failure::Read(failure(printer.failures)),
    })
}

impl Printer<'_> {
    fn take(&mut self, received: Received) -> io::Result<()> {
        match received {
            Received::Item(_, FollowItem::Entry(entry, names)) if !self.open.is_empty() => {
                self.past.push(entry);
                self.names.0.extend(names.0);
                Ok(())
            }
            Received::Item(_, FollowItem::Entry(entry, names)) => self.print(&entry, &names),
            Received::Item(instance, FollowItem::CaughtUp) => {
                self.followed = true;
                self.close(instance)
            }
            Received::End(instance, error) => {
                let reason = error.as_ref().map(CallError::to_string).unwrap_or_default();
                eprintln!("lovagespindle: instance {instance} is followed no more: {reason}");
                self.failures.extend(error);
                self.close(instance)
            }
        }
    }

    /// Notes that an instance is not open any more, and prints the past when it was the last one.
    fn close(&mut self, instance: SocketAddr) -> io::Result<()> {
        self.open.remove(&instance);
        if !self.open.is_empty() {
            return Ok(());
        }
        let past = std::mem::take(&mut self.past);
        let names = std::mem::take(&mut self.names);
        let entries = merge(vec![past]);
        entries.iter().try_for_each(|e| self.print(e, &names))
    }

    fn print(&self, entry: &Entry, names: &Names) -> io::Result<()> {
        let mut out = io::stdout().lock();
        match self.session.json {
            true => writeln!(out, "{}", entry::value(entry, names))?,
            false => out.write_all(entry::line(entry, names).as_bytes())?,
        }
        out.flush()
    }
}

async fn follow(
    client: Client,
    instance: SocketAddr,
    query: TimelineQuery,
    sender: mpsc::Sender<Received>,
) {
    let error = follow_items(&client, instance, &query, &sender).await.err();
    // Sending fails only when the command has ended.
    let _ = sender.send(Received::End(instance, error)).await;
}

async fn follow_items(
    client: &Client,
    instance: SocketAddr,
    query: &TimelineQuery,
    sender: &mpsc::Sender<Received>,
) -> Result<(), CallError> {
    let mut items = client.follow(instance, query).await?;
    while let Some(item) = items.next().await? {
        if sender.send(Received::Item(instance, item)).await.is_err() {
            break;
        }
    }
    Ok(())
}
