//! Follows the timelines of several instances.

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
use crate::timeline::read_failure;

/// Capacity of the channel from the streams of all instances to the printer.
const QUEUE: usize = 256;

/// A message from the stream of one instance.
enum Received {
    Item(SocketAddr, FollowItem),
    /// The stream of the instance ended, with the error if it failed.
    End(SocketAddr, Option<CallError>),
}

/// Prints the entries of all streams.
struct Printer<'a> {
    session: &'a Session,
    /// Instances that have not yet sent all entries that they recorded before the call.
    catching_up: BTreeSet<SocketAddr>,
    /// Entries collected until all instances have sent their history; then they are printed in
    /// order of time.
    history: Vec<Entry>,
    names: Names,
    /// Whether any instance has sent its whole history.
    connected: bool,
    failures: Vec<CallError>,
}

/// Prints the merged history of all instances, then each new entry as it arrives.
///
/// Always returns an error: [`Failure::FollowEnded`] when the streams of all instances have ended,
/// [`Failure::Read`] if no instance sent its whole history, or [`Failure::Output`] if an entry
/// cannot be printed.
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
        catching_up: instances.iter().copied().collect(),
        history: Vec::new(),
        names: Names::default(),
        connected: false,
        failures: Vec::new(),
    };
    while let Some(received) = receiver.recv().await {
        printer.receive(received)?;
    }
    Err(match printer.connected {
        true => Failure::FollowEnded,
        false => Failure::Read(read_failure(printer.failures)),
    })
}

impl Printer<'_> {
    fn receive(&mut self, received: Received) -> io::Result<()> {
        match received {
            Received::Item(_, FollowItem::Entry(entry, names)) if !self.catching_up.is_empty() => {
                self.history.push(entry);
                self.names.0.extend(names.0);
                Ok(())
            }
            Received::Item(_, FollowItem::Entry(entry, names)) => self.print(&entry, &names),
            Received::Item(instance, FollowItem::CaughtUp) => {
                self.connected = true;
                self.finish_history(instance)
            }
            Received::End(instance, error) => {
                let reason = error.as_ref().map(CallError::to_string).unwrap_or_default();
                eprintln!("lovagespindle: stopped following instance {instance}: {reason}");
                self.failures.extend(error);
                self.finish_history(instance)
            }
        }
    }

    /// Records that no more history is expected from an instance, and prints the merged history
    /// after the last instance.
    fn finish_history(&mut self, instance: SocketAddr) -> io::Result<()> {
        self.catching_up.remove(&instance);
        if !self.catching_up.is_empty() {
            return Ok(());
        }
        let history = std::mem::take(&mut self.history);
        let names = std::mem::take(&mut self.names);
        let entries = merge(vec![history]);
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
    // Sending fails only after the command has ended.
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
