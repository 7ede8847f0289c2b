//! Builds requests and unpacks responses.

use bytes::Bytes;

use crate::error::StoreError;
use crate::generated::etcdserverpb::compare::{
    CompareResult,
    CompareTarget,
    TargetUnion, //
};
use crate::generated::etcdserverpb::range_request::{
    SortOrder,
    SortTarget, //
};
use crate::generated::etcdserverpb::request_op::Request;
use crate::generated::etcdserverpb::response_op::Response;
use crate::generated::etcdserverpb::{
    Compare,
    DeleteRangeRequest,
    PutRequest,
    RangeRequest,
    RequestOp,
    ResponseHeader,
    ResponseOp, //
};
use crate::generated::mvccpb::KeyValue;
use crate::keys;

pub(crate) fn get(key: Bytes) -> RequestOp {
    op(Request::RequestRange(RangeRequest {
        key,
        ..RangeRequest::default()
    }))
}

/// Requests all keys from `key` up to `end`, exclusive.
pub(crate) fn get_range(key: Bytes, end: Bytes) -> RequestOp {
    op(Request::RequestRange(RangeRequest {
        key,
        range_end: end,
        ..RangeRequest::default()
    }))
}

/// Requests the key of the latest change, without its value.
pub(crate) fn latest_change() -> RequestOp {
    op(Request::RequestRange(RangeRequest {
        key: keys::changes(),
        range_end: keys::changes_end(),
        limit: 1,
        sort_order: SortOrder::Descend.into(),
        sort_target: SortTarget::Key.into(),
        keys_only: true,
    }))
}

pub(crate) fn put(key: Bytes, value: Bytes, lease: i64) -> RequestOp {
    op(Request::RequestPut(PutRequest { key, value, lease }))
}

pub(crate) fn delete(key: Bytes, range_end: Bytes) -> RequestOp {
    op(Request::RequestDeleteRange(DeleteRangeRequest {
        key,
        range_end,
    }))
}

/// Requires that a key does not exist.
pub(crate) fn absent(key: Bytes) -> Compare {
    created_at(key, 0)
}

/// Requires that a key was created at a store revision and not deleted since.
pub(crate) fn created_at(key: Bytes, revision: i64) -> Compare {
    compare(key, CompareResult::Equal, revision)
}

/// Requires that a key exists.
pub(crate) fn present(key: Bytes) -> Compare {
    compare(key, CompareResult::Greater, 0)
}

/// Returns the keys and values of each response.
///
/// Returns [`StoreError::Protocol`] if a response does not belong to a range request.
pub(crate) fn ranges(responses: Vec<ResponseOp>) -> Result<Vec<Vec<KeyValue>>, StoreError> {
    let range = |op: ResponseOp| match op.response {
        Some(Response::ResponseRange(range)) => Ok(range.kvs),
        _ => Err(StoreError::Protocol),
    };
    responses.into_iter().map(range).collect()
}

/// Returns the store revision of a response.
pub(crate) fn revision(header: Option<&ResponseHeader>) -> Result<i64, StoreError> {
    header.map(|h| h.revision).ok_or(StoreError::Protocol)
}

fn op(request: Request) -> RequestOp {
    RequestOp {
        request: Some(request),
    }
}

fn compare(key: Bytes, result: CompareResult, revision: i64) -> Compare {
    Compare {
        result: result.into(),
        target: CompareTarget::Create.into(),
        key,
        target_union: Some(TargetUnion::CreateRevision(revision)),
    }
}
