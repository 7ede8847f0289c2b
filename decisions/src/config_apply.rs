//! Checks records and applies them to the configuration.

use std::collections::BTreeMap;

use crate::config::{
    Configuration,
    MAX_CHANGES,
    REMEMBERED_OPERATIONS,
    Record, //
};
use crate::config_error::ConfigError;
use crate::config_overlay::Rows;
use crate::config_plan::{
    Plan,
    Writes, //
};
use crate::ids::{
    OperationId,
    Revision, //
};

impl Configuration {
    /// Checks whether a record can be applied.
    ///
    /// Returns the error that [`Configuration::apply`] would return.
    pub fn check(&self, record: &Record) -> Result<(), ConfigError> {
        self.plan(record).map(drop)
    }

    /// Applies all changes of a record. The cost depends on the size of the record, not on that of
    /// the configuration.
    ///
    /// Returns an error and changes nothing if the operation was already applied, if the revision
    /// is not the next one, or if a change is invalid.
    pub fn apply(&mut self, record: &Record) -> Result<(), ConfigError> {
        let writes = self.plan(record)?;
        self.write_rows(writes);
        self.revision = record.revision;
        self.record_operation(record.operation, record.revision);
        Ok(())
    }

    fn plan(&self, record: &Record) -> Result<Writes, ConfigError> {
        if let Some(revision) = self.operation(record.operation) {
            return Err(ConfigError::Repeated {
                operation: record.operation,
                revision,
            });
        }
        if self.revision.0.checked_add(1) != Some(record.revision.0) {
            return Err(ConfigError::RevisionMismatch {
                requested: record.revision,
                current: self.revision,
            });
        }
        if record.changes.len() > MAX_CHANGES {
            return Err(ConfigError::TooManyChanges {
                count: record.changes.len(),
                max: MAX_CHANGES,
            });
        }
        let mut plan = Plan::new(self);
        for change in &record.changes {
            plan.add(change)?;
        }
        Ok(plan.into_writes())
    }

    /// Replaces the changed rows in the tables and in the index. All old rows are removed before
    /// new ones are added, because a record may swap the names or addresses of two rows.
    fn write_rows(&mut self, writes: Writes) {
        let index = &mut self.index;
        remove_rows(&mut self.zones, &writes.zones, |z| index.remove_zone(z));
        remove_rows(&mut self.services, &writes.services, |s| {
            index.remove_service(s)
        });
        remove_rows(&mut self.pools, &writes.pools, |p| index.remove_pool(p));
        remove_rows(&mut self.servers, &writes.servers, |s| {
            index.remove_server(s)
        });
        insert_rows(&mut self.zones, writes.zones, |z| index.add_zone(z));
        insert_rows(&mut self.services, writes.services, |s| {
            index.add_service(s)
        });
        insert_rows(&mut self.pools, writes.pools, |p| index.add_pool(p));
        insert_rows(&mut self.servers, writes.servers, |s| index.add_server(s));
        self.next_id = writes.next_id;
    }

    /// Stores the revision of an applied operation, and drops the oldest operation if more than
    /// [`REMEMBERED_OPERATIONS`] are stored.
    pub(crate) fn record_operation(&mut self, operation: OperationId, revision: Revision) {
        self.operations.push_back((operation, revision));
        self.index.operations.insert(operation, revision);
        if self.operations.len() > REMEMBERED_OPERATIONS
            && let Some((oldest, _)) = self.operations.pop_front()
        {
            self.index.operations.remove(&oldest);
        }
    }
}

fn remove_rows<K: Ord, V>(
    table: &mut BTreeMap<K, V>,
    rows: &Rows<K, V>,
    mut unindex: impl FnMut(&V),
) {
    for id in rows.keys() {
        if let Some(old) = table.remove(id) {
            unindex(&old);
        }
    }
}

fn insert_rows<K: Ord, V>(table: &mut BTreeMap<K, V>, rows: Rows<K, V>, mut index: impl FnMut(&V)) {
    for (id, row) in rows {
        if let Some(row) = row {
            index(&row);
            table.insert(id, row);
        }
    }
}
