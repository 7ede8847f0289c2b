//! Generates requests and downloads while a test changes or disturbs a fleet.

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

/// Number of callers that make short requests, each on its own flow.
const SHORT_CALLERS: u64 = 6;

/// Number of callers that download. All callers together need fewer slots than the backend
/// servers have.
const DOWNLOAD_CALLERS: u64 = 3;

/// Number of requests that a caller makes on a flow before it opens another one.
const REQUESTS_PER_FLOW: u64 = 10;

/// Results of the requests of one or more callers.
#[derive(Default)]
pub(crate) struct Outcome {
    /// Number of short requests that were answered in full.
    pub(crate) answered: u64,
    /// Number of downloads that were received in full.
    pub(crate) downloads: u64,
    /// Numbers of all other results, by kind of request and debug text of the result.
    pub(crate) failures: BTreeMap<String, u64>,
    /// Number of answers that belonged to another caller or could not be decoded.
    pub(crate) mismatched: u64,
    /// Requests that were refused, which means that no backend server ran them.
    pub(crate) refused: Vec<(FlowId, RequestId)>,
}

impl Outcome {
    /// Returns the number of requests that did not get their answer.
    pub(crate) fn failed(&self) -> u64 {
        self.failures.values().sum()
    }

    /// Returns a summary for messages of assertions.
    pub(crate) fn summary(&self) -> String {
        format!(
            "{} short requests and {} downloads were answered, failed: {:?}, mismatched: {}",
            self.answered, self.downloads, self.failures, self.mismatched
        )
    }

    fn add(&mut self, other: Outcome) {
        self.answered += other.answered;
        self.downloads += other.downloads;
        self.mismatched += other.mismatched;
        self.refused.extend(other.refused);
        for (failure, count) in other.failures {
            *self.failures.entry(failure).or_default() += count;
        }
    }

    fn record(&mut self, result: RequestOutcome, request: (FlowId, RequestId), download: bool) {
        if matches!(result, RequestOutcome::Refused(_)) {
            self.refused.push(request);
        }
        match result {
            RequestOutcome::Answered { .. } if download => self.downloads += 1,
            RequestOutcome::Answered { .. } => self.answered += 1,
            other => {
                let kind = if download { "download" } else { "short" };
                *self
                    .failures
                    .entry(format!("{kind} {other:?}"))
                    .or_default() += 1;
            }
        }
    }

    fn record_report(&mut self, report: &CallerReport) {
        self.mismatched += report.mismatched + report.malformed;
    }
}

/// Callers that make non-idempotent requests and downloads in the background.
pub(crate) struct Load {
    stop: Arc<AtomicBool>,
    tasks: JoinSet<Outcome>,
}

impl Load {
    /// Starts callers of short requests and of downloads. A download lasts `parts` times 20 ms.
    pub(crate) async fn start(fleet: &Fleet, parts: u32) -> Load {
        Load::start_callers(fleet, Work::for_millis(5), Work::download(parts, 20)).await
    }

    /// Starts callers that all make requests with the same work.
    pub(crate) async fn with_work(fleet: &Fleet, work: Work) -> Load {
        Load::start_callers(fleet, work, work).await
    }

    async fn start_callers(fleet: &Fleet, short: Work, download: Work) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let mut tasks = JoinSet::new();
        for seed in 0..SHORT_CALLERS + DOWNLOAD_CALLERS {
            let settings = CallerSettings {
                fabric: fleet.fabric.front,
                services: services(),
                timeout: Duration::from_secs(3),
                seed: 100 + seed,
                ..CallerSettings::default()
            };
            let caller = Caller::start(settings).await.unwrap();
            let work = if seed < SHORT_CALLERS {
                short
            } else {
                download
            };
            tasks.spawn(run_caller(caller, work, stop.clone()));
        }
        Load { stop, tasks }
    }

    /// Stops each caller after its request in progress and returns the results.
    pub(crate) async fn finish(mut self) -> Outcome {
        self.stop.store(true, Ordering::Relaxed);
        let mut outcome = Outcome::default();
        while let Some(result) = self.tasks.join_next().await {
            outcome.add(result.unwrap());
        }
        outcome
    }
}

/// Makes requests until `stop` is set. Opens another flow after [`REQUESTS_PER_FLOW`] requests or
/// one that failed.
async fn run_caller(mut caller: Caller, work: Work, stop: Arc<AtomicBool>) -> Outcome {
    let mut outcome = Outcome::default();
    while !stop.load(Ordering::Relaxed) {
        let mut flow = caller.flow(ADDRESS.into(), SERVICE).unwrap();
        for n in 0..REQUESTS_PER_FLOW {
            let options = RequestOptions {
                work,
                ..RequestOptions::default()
            };
            let result = flow.request(options).await.unwrap();
            let request = (flow.flow, RequestId(n));
            outcome.record(result, request, work.parts > 1);
            if stop.load(Ordering::Relaxed) || !matches!(result, RequestOutcome::Answered { .. }) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        flow.close().await.unwrap();
    }
    outcome.record_report(&caller.report().await.unwrap());
    outcome
}

/// Makes `count` requests in sequence, each on its own flow.
pub(crate) async fn make_requests(caller: &mut Caller, count: usize) -> Outcome {
    let mut outcome = Outcome::default();
    for _ in 0..count {
        let mut flow = caller.flow(ADDRESS.into(), SERVICE).unwrap();
        let options = RequestOptions {
            work: Work::for_millis(5),
            ..RequestOptions::default()
        };
        let result = flow.request(options).await.unwrap();
        outcome.record(result, (flow.flow, RequestId(0)), false);
        flow.close().await.unwrap();
    }
    outcome.record_report(&caller.report().await.unwrap());
    outcome
}
