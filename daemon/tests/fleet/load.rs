//! Requests and downloads that go on while something happens to a fleet.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::time::Duration;

use lovagespindle_decisions::ids::{
    FlowId,
    RequestId, //
};
use lovagespindle_stand_ins::caller::{
    CallerReport,
    CallerSettings,
    RequestOptions,
    RequestOutcome, //
};
use lovagespindle_stand_ins::{
    Caller,
    Work, //
};
use tokio::task::JoinSet;

use super::{
    ADDRESS,
    Fleet,
    SERVICE,
    services, //
};

/// How many callers make short requests, each on a flow of its own.
const SHORT: u64 = 6;

/// How many callers download; together with the short ones they are fewer than the slots.
const DOWNLOADS: u64 = 3;

/// How many requests a short flow makes before it is replaced by another.
const REQUESTS: u64 = 10;

/// What became of the requests.
#[derive(Default)]
pub(crate) struct Outcome {
    /// Short requests answered in full.
    pub(crate) answered: u64,
    /// Downloads that arrived in full.
    pub(crate) downloads: u64,
    /// All other endings, by their text.
    pub(crate) others: BTreeMap<String, u64>,
    /// Answers that were not the caller's own, or that could not be decoded.
    pub(crate) foreign: u64,
    /// Requests of which the caller was told that they did not run.
    pub(crate) refused: Vec<(FlowId, RequestId)>,
}

impl Outcome {
    /// Returns how many requests ended otherwise than with their answer.
    pub(crate) fn broken(&self) -> u64 {
        self.others.values().sum()
    }

    /// Returns a line for messages of assertions.
    pub(crate) fn text(&self) -> String {
        format!(
            "{} short requests and {} downloads were answered, broken: {:?}, foreign: {}",
            self.answered, self.downloads, self.others, self.foreign
        )
    }

    fn add(&mut self, other: Outcome) {
        self.answered += other.answered;
        self.downloads += other.downloads;
        self.foreign += other.foreign;
        self.refused.extend(other.refused);
        for (ending, count) in other.others {
            *self.others.entry(ending).or_default() += count;
        }
    }

    fn note(&mut self, ending: RequestOutcome, request: (FlowId, RequestId), download: bool) {
        if matches!(ending, RequestOutcome::Refused(_)) {
            self.refused.push(request);
        }
        match ending {
            RequestOutcome::Answered { .. } if download => self.downloads += 1,
            RequestOutcome::Answered { .. } => self.answered += 1,
            other => {
                let kind = if download { "download" } else { "short" };
                *self.others.entry(format!("{kind} {other:?}")).or_default() += 1;
            }
        }
    }

    fn check(&mut self, report: &CallerReport) {
        self.foreign += report.mismatched + report.malformed;
    }
}

/// Non-idempotent requests and downloads in progress.
pub(crate) struct Load {
    stop: Arc<AtomicBool>,
    tasks: JoinSet<Outcome>,
}

impl Load {
    /// Starts callers; a download lasts `parts` times 20 ms.
    pub(crate) async fn start(fleet: &Fleet, parts: u32) -> Load {
        Load::with(fleet, Work::for_millis(5), Work::download(parts, 20)).await
    }

    /// Starts callers that all make the same requests.
    pub(crate) async fn with_work(fleet: &Fleet, work: Work) -> Load {
        Load::with(fleet, work, work).await
    }

    async fn with(fleet: &Fleet, short: Work, download: Work) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let mut tasks = JoinSet::new();
        for seed in 0..SHORT + DOWNLOADS {
            let settings = CallerSettings {
                fabric: fleet.fabric.front,
                services: services(),
                timeout: Duration::from_secs(3),
                seed: 100 + seed,
                ..CallerSettings::default()
            };
            let caller = Caller::start(settings).await.unwrap();
            let work = if seed < SHORT { short } else { download };
            tasks.spawn(call(caller, work, stop.clone()));
        }
        Load { stop, tasks }
    }

    /// Ends the load after the requests in progress.
    pub(crate) async fn finish(mut self) -> Outcome {
        self.stop.store(true, Ordering::Relaxed);
        let mut outcome = Outcome::default();
        while let Some(result) = self.tasks.join_next().await {
            outcome.add(result.unwrap());
        }
        outcome
    }
}

async fn call(mut caller: Caller, work: Work, stop: Arc<AtomicBool>) -> Outcome {
    let mut outcome = Outcome::default();
    while !stop.load(Ordering::Relaxed) {
        let mut flow = caller.flow(ADDRESS.into(), SERVICE).unwrap();
        for n in 0..REQUESTS {
            let order = RequestOptions {
                work,
                ..RequestOptions::default()
            };
            let ending = flow.request(order).await.unwrap();
            let request = (flow.flow, RequestId(n));
            outcome.note(ending, request, work.parts > 1);
            if stop.load(Ordering::Relaxed) || !matches!(ending, RequestOutcome::Answered { .. }) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        flow.close().await.unwrap();
    }
    outcome.check(&caller.report().await.unwrap());
    outcome
}

/// Makes some requests, one after another, each on a flow of its own.
pub(crate) async fn requests(caller: &mut Caller, count: usize) -> Outcome {
    let mut outcome = Outcome::default();
    for _ in 0..count {
        let mut flow = caller.flow(ADDRESS.into(), SERVICE).unwrap();
        let order = RequestOptions {
            work: Work::for_millis(5),
            ..RequestOptions::default()
        };
        let ending = flow.request(order).await.unwrap();
        outcome.note(ending, (flow.flow, RequestId(0)), false);
        flow.close().await.unwrap();
    }
    outcome.check(&caller.report().await.unwrap());
    outcome
}
