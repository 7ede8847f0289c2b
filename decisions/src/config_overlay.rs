//! Tables of the configuration with the changes of one record, which are checked here before they
//! are written.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

/// Rows to write; `None` deletes the row.
pub(crate) type Rows<K, V> = BTreeMap<K, Option<V>>;

/// A table of the configuration as it would be after the changes added so far.
pub(crate) struct Overlay<'a, K, V> {
    /// Rows of the configuration.
    base: &'a BTreeMap<K, V>,
    /// Identifiers of the rows of the configuration by name.
    names: &'a FxHashMap<String, K>,
    /// Rows that the changes wrote or, with `None`, deleted.
    rows: Rows<K, V>,
    /// Names that the changes assigned to a row or, with `None`, removed.
    changed_names: FxHashMap<String, Option<K>>,
}

impl<'a, K: Copy + Ord, V> Overlay<'a, K, V> {
    pub(crate) fn new(base: &'a BTreeMap<K, V>, names: &'a FxHashMap<String, K>) -> Self {
        Overlay {
            base,
            names,
            rows: Rows::new(),
            changed_names: FxHashMap::default(),
        }
    }

    pub(crate) fn get(&self, id: K) -> Option<&V> {
        match self.rows.get(&id) {
            Some(row) => row.as_ref(),
            None => self.base.get(&id),
        }
    }

    pub(crate) fn find(&self, name: &str) -> Option<&V> {
        match self.changed_names.get(name) {
            Some(id) => self.get((*id)?),
            None => self.get(*self.names.get(name)?),
        }
    }

    pub(crate) fn put(&mut self, id: K, name: &str, row: V) {
        self.rows.insert(id, Some(row));
        self.changed_names.insert(name.to_owned(), Some(id));
    }

    pub(crate) fn remove(&mut self, id: K, name: &str) {
        self.rows.insert(id, None);
        self.changed_names.insert(name.to_owned(), None);
    }

    pub(crate) fn into_rows(self) -> Rows<K, V> {
        self.rows
    }
}
