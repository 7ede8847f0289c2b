//! Leases of the stand-in platform.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use lovagespindle_store::generated::etcdserverpb::{
    LeaseGrantRequest,
    LeaseGrantResponse,
    LeaseKeepAliveResponse,
    LeaseRevokeResponse, //
};
use tokio::time::Instant;
use tonic::Status;

use crate::platform_data::Data;

struct Lease {
    ttl: i64,
    expires_at: Instant,
}

/// Leases and the keys that are deleted when they end.
#[derive(Default)]
pub(crate) struct Leases {
    last_id: i64,
    leases: BTreeMap<i64, Lease>,
    keys: BTreeMap<Bytes, i64>,
}

impl Leases {
    pub(crate) fn contains(&self, id: i64) -> bool {
        self.leases.contains_key(&id)
    }

    /// Attaches a key to a lease, or detaches it if `lease` is 0.
    pub(crate) fn attach(&mut self, key: Bytes, lease: i64) {
        match lease {
            0 => self.keys.remove(&key),
            _ => self.keys.insert(key, lease),
        };
    }

    /// Removes the matching leases and returns the keys attached to them.
    fn remove(&mut self, matches: impl Fn(i64, &Lease) -> bool) -> Vec<Bytes> {
        self.leases.retain(|id, lease| !matches(*id, lease));
        let keys = self.keys.iter();
        let orphans = keys.filter(|(_, lease)| !self.leases.contains_key(*lease));
        orphans.map(|(key, _)| key.clone()).collect()
    }
}

impl Data {
    pub(crate) fn grant(
        &mut self,
        request: &LeaseGrantRequest,
        now: Instant,
    ) -> Result<LeaseGrantResponse, Status> {
        let leases = &mut self.leases;
        leases.last_id += 1;
        let (id, ttl) = (leases.last_id, request.ttl);
        let expires_at = now + seconds(ttl);
        leases.leases.insert(id, Lease { ttl, expires_at });
        Ok(LeaseGrantResponse {
            header: self.header(),
            id,
            ttl,
            error: String::new(),
        })
    }

    pub(crate) fn keep_alive(&mut self, id: i64, now: Instant) -> LeaseKeepAliveResponse {
        let lease = self.leases.leases.get_mut(&id);
        let ttl = lease.map_or(0, |lease| {
            lease.expires_at = now + seconds(lease.ttl);
            lease.ttl
        });
        let header = self.header();
        LeaseKeepAliveResponse { header, id, ttl }
    }

    pub(crate) fn revoke(&mut self, id: i64) -> Result<LeaseRevokeResponse, Status> {
        if !self.leases.contains(id) {
            return Err(Status::not_found("requested lease not found"));
        }
        let keys = self.leases.remove(|other, _| other == id);
        self.delete_keys(keys);
        let header = self.header();
        Ok(LeaseRevokeResponse { header })
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        let keys = self.leases.remove(|_, lease| lease.expires_at <= now);
        self.delete_keys(keys);
    }

    pub(crate) fn expire_all(&mut self) {
        let keys = self.leases.remove(|_, _| true);
        self.delete_keys(keys);
    }
}

fn seconds(ttl: i64) -> Duration {
    Duration::from_secs(u64::try_from(ttl).unwrap_or(0))
}
