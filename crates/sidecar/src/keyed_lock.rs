//! A lock for each key, so that one question is put at a time for each.

use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::Hash;
use std::sync::Arc;

use tokio::sync::{Mutex, OwnedMutexGuard};

/// Locks by key; a key without holders takes no memory after [`KeyedLock::sweep`].
#[derive(Debug)]
pub struct KeyedLock<Key>(RefCell<HashMap<Key, Arc<Mutex<()>>>>);

impl<Key> Default for KeyedLock<Key> {
    fn default() -> Self {
        KeyedLock(RefCell::default())
    }
}

impl<Key: Eq + Hash> KeyedLock<Key> {
    /// Waits for the lock of `key`.
    pub async fn lock(&self, key: Key) -> OwnedMutexGuard<()> {
        let lock = self.0.borrow_mut().entry(key).or_default().clone();
        lock.lock_owned().await
    }

    /// Forgets the locks that nobody holds.
    pub fn sweep(&self) {
        self.0.borrow_mut().retain(|_, lock| Arc::strong_count(lock) > 1);
    }
}
