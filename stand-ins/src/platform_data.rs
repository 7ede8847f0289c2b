//! Keys, values and injected faults of the stand-in platform.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use lovagespindle_store::generated::etcdserverpb::compare::{
    CompareResult,
    TargetUnion, //
};
use lovagespindle_store::generated::etcdserverpb::range_request::SortOrder;
use lovagespindle_store::generated::etcdserverpb::request_op::Request;
use lovagespindle_store::generated::etcdserverpb::response_op::Response;
use lovagespindle_store::generated::etcdserverpb::{
    Compare,
    DeleteRangeRequest,
    DeleteRangeResponse,
    PutRequest,
    PutResponse,
    RangeRequest,
    RangeResponse,
    RequestOp,
    ResponseHeader,
    ResponseOp,
    TxnRequest,
    TxnResponse, //
};
use lovagespindle_store::generated::mvccpb::event::EventType;
use lovagespindle_store::generated::mvccpb::{
    Event,
    KeyValue, //
};
use tokio::sync::oneshot;
use tonic::Status;

use crate::platform::Counts;
use crate::platform_lease::Leases;
use crate::platform_watch::Watches;

/// Size limit of a value, in bytes.
const MAX_VALUE: usize = 1_000_000;

/// Prefix of the keys of the instance registry.
const REGISTRY_PREFIX: &[u8] = b"instances/";

/// Holds back a transaction until it is released.
pub(crate) struct WriteHold {
    /// Signals that the transaction arrived.
    pub(crate) reached: oneshot::Sender<()>,
    /// Receives the signal to run the transaction.
    pub(crate) release: oneshot::Receiver<()>,
}

/// Faults to inject.
#[derive(Default)]
pub(crate) struct Faults {
    pub(crate) down: bool,
    pub(crate) delay: Duration,
    /// Whether the reply to the next call that changes a key is dropped.
    pub(crate) drop_reply: bool,
    /// Holds back the next transaction that contains a write.
    pub(crate) hold: Option<WriteHold>,
    /// Prefix of the key whose next write expires all leases.
    pub(crate) expire: Option<&'static str>,
}

/// The state of the service.
#[derive(Default)]
pub(crate) struct Data {
    pub(crate) faults: Faults,
    pub(crate) counts: Counts,
    pub(crate) leases: Leases,
    pub(crate) watches: Watches,
    /// Incremented by each call that changes a key.
    pub(crate) revision: i64,
    rows: BTreeMap<Bytes, KeyValue>,
    /// The instance registry that reads return while it is stale.
    stale_rows: Option<BTreeMap<Bytes, KeyValue>>,
    /// Events of the current call.
    changed: Vec<Event>,
}

impl Data {
    pub(crate) fn range(&self, request: &RangeRequest) -> RangeResponse {
        let mut kvs: Vec<_> = self.find(&request.key, &request.range_end);
        if request.sort_order == i32::from(SortOrder::Descend) {
            kvs.reverse();
        }
        let count = kvs.len();
        let limit = usize::try_from(request.limit).unwrap_or(0);
        if limit > 0 {
            kvs.truncate(limit);
        }
        let more = kvs.len() < count;
        if request.keys_only {
            kvs.iter_mut().for_each(|kv| kv.value = Bytes::new());
        }
        RangeResponse {
            header: self.header(),
            kvs,
            more,
            count: i64::try_from(count).unwrap_or(i64::MAX),
        }
    }

    pub(crate) fn put(&mut self, request: PutRequest) -> Result<PutResponse, Status> {
        self.check(&request)?;
        self.write_one(request.key, request.value, request.lease);
        let header = self.header();
        Ok(PutResponse { header })
    }

    pub(crate) fn delete_range(&mut self, request: &DeleteRangeRequest) -> DeleteRangeResponse {
        let deleted = self.delete(request);
        self.commit();
        let header = self.header();
        DeleteRangeResponse { header, deleted }
    }

    pub(crate) fn txn(&mut self, request: TxnRequest) -> Result<TxnResponse, Status> {
        let succeeded = request.compare.iter().all(|c| self.compare_matches(c));
        let ops = match succeeded {
            true => request.success,
            false => request.failure,
        };
        for op in &ops {
            if let Some(Request::RequestPut(put)) = &op.request {
                self.check(put)?;
            }
        }
        let responses = ops.into_iter().map(|op| self.run_operation(op)).collect();
        self.commit();
        Ok(TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        })
    }

    pub(crate) fn write_one(&mut self, key: Bytes, value: Bytes, lease: i64) {
        self.write(key, value, lease);
        self.commit();
    }

    pub(crate) fn delete_keys(&mut self, keys: Vec<Bytes>) {
        for key in keys {
            let range_end = Bytes::new();
            self.delete(&DeleteRangeRequest { key, range_end });
        }
        self.commit();
    }

    pub(crate) fn set_down(&mut self, down: bool) {
        self.faults.down = down;
        if down {
            self.break_watches();
        }
    }

    pub(crate) fn break_watches(&mut self) {
        self.watches.close_all();
    }

    pub(crate) fn compact(&mut self) {
        self.watches.compact(self.revision);
    }

    pub(crate) fn set_stale(&mut self, stale: bool) {
        let entries = self
            .rows
            .iter()
            .filter(|(key, _)| key.starts_with(REGISTRY_PREFIX));
        self.stale_rows = stale.then(|| entries.map(|(k, v)| (k.clone(), v.clone())).collect());
    }

    pub(crate) fn keys(&self, prefix: &str) -> Vec<Bytes> {
        let keys = self.rows.keys();
        let found = keys.filter(|k| k.starts_with(prefix.as_bytes()));
        found.cloned().collect()
    }

    pub(crate) fn counts(&mut self) -> Counts {
        Counts {
            waiting: self.watches.waiting(),
            ..self.counts
        }
    }

    pub(crate) fn header(&self) -> Option<ResponseHeader> {
        let revision = self.revision;
        Some(ResponseHeader { revision })
    }

    /// Returns an error if the value is too long or the lease does not exist.
    fn check(&self, put: &PutRequest) -> Result<(), Status> {
        if put.value.len() > MAX_VALUE {
            return Err(Status::invalid_argument("the value is too long"));
        }
        if put.lease != 0 && !self.leases.contains(put.lease) {
            return Err(Status::not_found("requested lease not found"));
        }
        Ok(())
    }

    fn run_operation(&mut self, op: RequestOp) -> ResponseOp {
        let response = op.request.map(|request| match request {
            Request::RequestRange(range) => Response::ResponseRange(self.range(&range)),
            Request::RequestPut(put) => {
                self.write(put.key, put.value, put.lease);
                let header = None;
                Response::ResponsePut(PutResponse { header })
            }
            Request::RequestDeleteRange(range) => {
                let deleted = self.delete(&range);
                let header = None;
                Response::ResponseDeleteRange(DeleteRangeResponse { header, deleted })
            }
        });
        ResponseOp { response }
    }

    fn compare_matches(&self, compare: &Compare) -> bool {
        let row = self.rows.get(&compare.key);
        let (found, expected) = match compare.target_union {
            Some(TargetUnion::Version(expected)) => (row.map_or(0, |kv| kv.version), expected),
            Some(TargetUnion::CreateRevision(expected)) => {
                (row.map_or(0, |kv| kv.create_revision), expected)
            }
            None => return false,
        };
        match CompareResult::try_from(compare.result) {
            Ok(CompareResult::Equal) => found == expected,
            Ok(CompareResult::Greater) => found > expected,
            Ok(CompareResult::Less) => found < expected,
            Ok(CompareResult::NotEqual) => found != expected,
            Err(_) => false,
        }
    }

    /// Returns the rows from `key` up to but excluding `end`, or only the row of `key` if `end` is
    /// empty.
    fn find(&self, key: &Bytes, end: &Bytes) -> Vec<KeyValue> {
        let rows = match &self.stale_rows {
            Some(stale_rows) if key.starts_with(REGISTRY_PREFIX) => stale_rows,
            _ => &self.rows,
        };
        if end.is_empty() {
            return rows.get(key).cloned().into_iter().collect();
        }
        if key >= end {
            return Vec::new();
        }
        let range = rows.range(key.clone()..end.clone());
        range.map(|(_, kv)| kv.clone()).collect()
    }

    fn write(&mut self, key: Bytes, value: Bytes, lease: i64) {
        let revision = self.revision + 1;
        self.counts.longest = self.counts.longest.max(value.len());
        let old = self.rows.get(&key);
        let kv = KeyValue {
            key: key.clone(),
            create_revision: old.map_or(revision, |kv| kv.create_revision),
            mod_revision: revision,
            version: old.map_or(1, |kv| kv.version + 1),
            value,
            lease,
        };
        self.rows.insert(key.clone(), kv.clone());
        self.leases.attach(key, lease);
        self.record_event(EventType::Put, kv);
    }

    fn delete(&mut self, request: &DeleteRangeRequest) -> i64 {
        let found = self.find(&request.key, &request.range_end);
        let deleted = i64::try_from(found.len()).unwrap_or(i64::MAX);
        for kv in found {
            self.rows.remove(&kv.key);
            self.leases.attach(kv.key.clone(), 0);
            let kv = KeyValue {
                key: kv.key,
                mod_revision: self.revision + 1,
                ..KeyValue::default()
            };
            self.record_event(EventType::Delete, kv);
        }
        deleted
    }

    fn record_event(&mut self, kind: EventType, kv: KeyValue) {
        self.changed.push(Event {
            r#type: kind.into(),
            kv: Some(kv),
        });
    }

    /// Publishes the events of the current call under one revision.
    fn commit(&mut self) {
        if self.changed.is_empty() {
            return;
        }
        self.revision += 1;
        let changed = std::mem::take(&mut self.changed);
        let expire = self.faults.expire;
        let expires = expire.is_some_and(|prefix| changed.iter().any(|e| starts_with(e, prefix)));
        self.counts.events += self.watches.publish(self.revision, changed);
        if expires {
            self.faults.expire = None;
            self.expire_all();
        }
    }
}

fn starts_with(event: &Event, prefix: &str) -> bool {
    let kv = event.kv.as_ref();
    kv.is_some_and(|kv| kv.key.starts_with(prefix.as_bytes()))
}
