//! The task of the stand-in backend server.

use std::collections::{
    BTreeMap,
    BTreeSet,
    HashMap,
    HashSet,
    VecDeque, //
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lovagespindle_datagram::{
    Clock,
    Datagram,
    Sender, //
};
use lovagespindle_decisions::Time;
use lovagespindle_decisions::event::LoadReport;
use lovagespindle_decisions::ids::FlowId;
use lovagespindle_decisions::packet::{
    Packet,
    PacketKind,
    Reason, //
};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::backend_server::{
    Change,
    Command,
    ReportMode,
    RequestStart,
    ServerReport,
    ServerSettings, //
};
use crate::work::{
    Body,
    Work, //
};

/// Number of past load reports kept for a delayed load endpoint.
const MAX_HISTORY: usize = 4096;

/// A running request.
struct Run {
    packet: Packet,
    work: Work,
    /// Index of the next part of the answer.
    part: u32,
    /// Time of the next step; part of the run's key in `due`.
    due: Time,
}

pub(crate) struct Task {
    settings: ServerSettings,
    socket: Arc<UdpSocket>,
    sender: Sender,
    inbox: mpsc::Receiver<Command>,
    clock: Clock,
    /// Open flows with the source address of the latest packet. Answers are sent there, so that
    /// they reach a new owner as soon as it has sent a packet.
    flows: HashMap<FlowId, SocketAddr>,
    runs: BTreeMap<u64, Run>,
    /// Time of the next step of each run.
    due: BTreeSet<(Time, u64)>,
    next_run: u64,
    /// Number of requests that the server can handle; equals its slots once it is warm.
    capacity: u32,
    /// Requests finished since `capacity` changed.
    successes: u32,
    draining: bool,
    silent: bool,
    /// Time at which a crashed server restarts.
    restart_at: Option<Time>,
    /// Flows whose packets are ignored.
    silenced: HashSet<FlowId>,
    health: ReportMode<bool>,
    load: ReportMode<LoadReport>,
    /// Changes of the load, for a delayed load endpoint.
    history: VecDeque<(Time, LoadReport)>,
    report: ServerReport,
}

impl Task {
    pub(crate) fn new(
        settings: ServerSettings,
        socket: UdpSocket,
        inbox: mpsc::Receiver<Command>,
    ) -> Task {
        let clock = Clock::start();
        let socket = Arc::new(socket);
        Task {
            sender: Sender::new(socket.clone(), clock),
            socket,
            inbox,
            clock,
            flows: HashMap::new(),
            runs: BTreeMap::new(),
            due: BTreeSet::new(),
            next_run: 0,
            capacity: if settings.cold { 1 } else { settings.slots },
            successes: 0,
            draining: false,
            silent: false,
            restart_at: None,
            silenced: HashSet::new(),
            health: ReportMode::Accurate,
            load: ReportMode::Accurate,
            history: VecDeque::new(),
            report: ServerReport {
                boot: settings.boot,
                ..ServerReport::default()
            },
            settings,
        }
    }

    pub(crate) async fn run(mut self) {
        let mut buffer = [0; 2048];
        loop {
            let due = self.due.first().map(|(due, _)| *due);
            let next = due.into_iter().chain(self.restart_at).min();
            let wake = self.clock.instant(next.unwrap_or(Time::ZERO));
            let socket = self.socket.clone();
            tokio::select! {
                command = self.inbox.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                received = socket.recv_from(&mut buffer) => if let Ok((length, source)) = received {
                    self.receive(&buffer[..length], source).await;
                },
                () = tokio::time::sleep_until(wake), if next.is_some() => {}
            }
            let now = self.clock.now();
            self.recover(now);
            self.run_due(now).await;
            self.record_load(now);
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Change(change, done) => {
                self.apply(change);
                let _ = done.send(());
            }
            Command::Report(sender) => {
                let _ = sender.send(self.report());
            }
            // Dropping the sender leaves the call open.
            Command::Health(_) | Command::Load(_) if self.is_silent() => {}
            Command::Health(sender) => {
                let _ = self.reported_health().map(|health| sender.send(health));
            }
            Command::Load(sender) => {
                let _ = self.reported_load().map(|load| sender.send(load));
            }
        }
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Drain(draining) => self.draining = draining,
            Change::Restart { cold } => self.restart(cold),
            Change::Silence(silent) => self.silent = silent,
            Change::SilenceFlows => self.silenced.extend(self.flows.keys()),
            Change::SetHealth(mode) => self.health = mode,
            Change::SetLoad(mode) => self.load = mode,
        }
    }

    fn is_silent(&self) -> bool {
        self.silent || self.restart_at.is_some()
    }

    fn running(&self) -> u32 {
        self.runs.len() as u32
    }

    fn report(&self) -> ServerReport {
        ServerReport {
            running: self.running(),
            flows: self.flows.len() as u32,
            ..self.report.clone()
        }
    }

    fn reported_health(&self) -> Option<bool> {
        match self.health {
            ReportMode::Accurate | ReportMode::Delayed(_) => Some(!self.draining),
            ReportMode::Fixed(health) => Some(health),
            ReportMode::Hang => None,
        }
    }

    fn reported_load(&self) -> Option<LoadReport> {
        match self.load {
            ReportMode::Accurate => Some(self.current_load()),
            ReportMode::Delayed(lag) => Some(self.past_load(lag)),
            ReportMode::Fixed(load) => Some(load),
            ReportMode::Hang => None,
        }
    }

    fn current_load(&self) -> LoadReport {
        LoadReport {
            requests: self.running(),
            flows: self.flows.len() as u32,
            boot: self.report.boot,
        }
    }

    /// Returns the load of some time ago, or the oldest known load.
    fn past_load(&self, lag: Duration) -> LoadReport {
        let then = self.clock.now() - lag;
        let past = self.history.iter();
        let load = past.rev().find(|(time, _)| *time <= then);
        let load = load.or(self.history.front());
        load.map_or(self.current_load(), |(_, load)| *load)
    }

    /// Records the current load for [`Task::past_load`].
    fn record_load(&mut self, now: Time) {
        let load = self.current_load();
        if self.history.back().is_some_and(|(_, last)| *last == load) {
            return;
        }
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((now, load));
    }

    fn restart(&mut self, cold: bool) {
        self.report.lost += self.runs.len() as u64;
        self.report.boot += 1;
        self.runs.clear();
        self.due.clear();
        self.flows.clear();
        self.silenced.clear();
        self.capacity = if cold { 1 } else { self.settings.slots };
        self.successes = 0;
        self.restart_at = None;
    }

    /// Restarts a crashed server once its crash time has passed.
    fn recover(&mut self, now: Time) {
        if self.restart_at.is_some_and(|end| end <= now) {
            self.restart(true);
        }
    }

    async fn receive(&mut self, bytes: &[u8], source: SocketAddr) {
        let now = self.clock.now();
        self.recover(now);
        if self.is_silent() {
            return;
        }
        let datagram = Datagram::decode(bytes, &self.settings.services, now);
        let Ok(packet) = datagram.and_then(Datagram::from_caller) else {
            self.report.malformed += 1;
            return;
        };
        if self.silenced.contains(&packet.flow) {
            return;
        }
        if let Some(latest) = self.flows.get_mut(&packet.flow) {
            *latest = source;
        }
        match packet.kind {
            PacketKind::Open => self.open(now, packet, source).await,
            PacketKind::Request | PacketKind::Data if !self.flows.contains_key(&packet.flow) => {
                self.reply(&packet, PacketKind::Reset, Reason::UnknownFlow, source)
                    .await;
            }
            PacketKind::Request => self.start(now, packet, source).await,
            PacketKind::Cancel => self.cancel(&packet),
            PacketKind::Close => self.close(packet.flow),
            PacketKind::Data
            | PacketKind::Answer
            | PacketKind::Refused
            | PacketKind::Unknown
            | PacketKind::Reset => {}
        }
    }

    async fn reply(&mut self, packet: &Packet, kind: PacketKind, reason: Reason, to: SocketAddr) {
        self.sender
            .send(to, &packet.reply(kind, reason), None)
            .await;
    }

    async fn open(&mut self, now: Time, packet: Packet, source: SocketAddr) {
        let known = self.flows.contains_key(&packet.flow);
        let full = self.flows.len() >= self.settings.connections as usize;
        if !known && (self.draining || full) {
            self.report.refused += 1;
            let reason = if full {
                Reason::Overload
            } else {
                Reason::Shutdown
            };
            self.reply(&packet, PacketKind::Refused, reason, source)
                .await;
            return;
        }
        self.flows.insert(packet.flow, source);
        self.start(now, packet, source).await;
    }

    async fn start(&mut self, now: Time, packet: Packet, source: SocketAddr) {
        if packet.deadline.is_some_and(|deadline| deadline <= now) {
            self.report.expired += 1;
            self.reply(&packet, PacketKind::Refused, Reason::Deadline, source)
                .await;
            return;
        }
        if self.running() >= self.settings.slots {
            self.report.shed += 1;
            self.reply(&packet, PacketKind::Refused, Reason::Shed, source)
                .await;
            return;
        }
        let key = (packet.flow, packet.request);
        let start = RequestStart {
            at: now,
            source,
            kind: packet.kind,
            attempt: packet.attempt,
        };
        self.report.executions.entry(key).or_default().push(start);
        let work = Work::decode(&packet.payload).unwrap_or_default();
        let run = Run {
            due: now + work.run,
            packet,
            work,
            part: 0,
        };
        self.schedule(run);
        self.report.peak = self.report.peak.max(self.running());
        if self.running() > 2 * self.capacity {
            self.crash(now);
        }
    }

    /// Schedules the next step of a run for its due time or its deadline, whichever is first.
    fn schedule(&mut self, mut run: Run) {
        run.due = run.packet.deadline.map_or(run.due, |d| d.min(run.due));
        self.due.insert((run.due, self.next_run));
        self.runs.insert(self.next_run, run);
        self.next_run += 1;
    }

    /// Drops all requests and stops answering until the restart.
    fn crash(&mut self, now: Time) {
        self.report.crashes += 1;
        self.report.lost += self.runs.len() as u64;
        self.runs.clear();
        self.due.clear();
        self.restart_at = Some(now + self.settings.crash_time);
    }

    fn cancel(&mut self, packet: &Packet) {
        let same =
            |run: &Run| run.packet.flow == packet.flow && run.packet.request == packet.request;
        self.report.cancelled += self.remove(same);
    }

    fn close(&mut self, flow: FlowId) {
        self.flows.remove(&flow);
        self.report.cancelled += self.remove(|run| run.packet.flow == flow);
    }

    /// Removes the matching runs and returns their number.
    fn remove(&mut self, matches: impl Fn(&Run) -> bool) -> u64 {
        let before = self.runs.len();
        self.runs.retain(|_, run| !matches(run));
        let runs = &self.runs;
        self.due.retain(|(_, key)| runs.contains_key(key));
        (before - self.runs.len()) as u64
    }

    /// Advances all runs that are due.
    async fn run_due(&mut self, now: Time) {
        while let Some(&(due, key)) = self.due.first() {
            if due > now {
                return;
            }
            self.due.pop_first();
            if let Some(run) = self.runs.remove(&key) {
                self.advance(now, run).await;
            }
        }
    }

    /// Sends the next parts of an answer, or ends the run if its deadline has passed.
    async fn advance(&mut self, now: Time, mut run: Run) {
        let to = self.flows.get(&run.packet.flow).copied();
        let to = to.filter(|_| !self.silent && !self.silenced.contains(&run.packet.flow));
        if run.packet.deadline.is_some_and(|deadline| deadline <= now) {
            self.report.expired += 1;
            if let Some(to) = to {
                self.reply(&run.packet, PacketKind::Unknown, Reason::Deadline, to)
                    .await;
            }
            return;
        }
        loop {
            if let Some(to) = to {
                let part = self.answer_part(&run);
                self.sender.send(to, &part, None).await;
            }
            run.part += 1;
            if run.part >= run.work.parts {
                self.finish();
                return;
            }
            if !run.work.pace.is_zero() {
                run.due = run.due + run.work.pace;
                self.schedule(run);
                return;
            }
        }
    }

    fn answer_part(&self, run: &Run) -> Packet {
        let body = Body {
            service: self.settings.service.clone(),
            flow: run.packet.flow,
            request: run.packet.request,
            part: run.part,
            parts: run.work.parts,
            server: self.settings.server,
        };
        Packet {
            kind: PacketKind::Answer,
            deadline: None,
            part: run.part,
            last: run.part + 1 == run.work.parts,
            payload: body.encode(run.work.size),
            ..run.packet.clone()
        }
    }

    /// Counts a finished request. The capacity doubles once as many requests have finished.
    fn finish(&mut self) {
        self.report.finished += 1;
        self.successes += 1;
        if self.successes >= self.capacity {
            self.capacity = (2 * self.capacity).min(self.settings.slots);
            self.successes = 0;
        }
    }
}
