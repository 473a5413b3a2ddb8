//! One lock for each key, for operations of which only one may run at a time per key, such as a probe of a node.

use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::Hash;
use std::sync::Arc;

use tokio::sync::{Mutex, OwnedMutexGuard};

/// Locks by key. [`KeyedLock::sweep`] releases the memory of unused ones.
#[derive(Debug)]
pub struct KeyedLock<Key>(RefCell<HashMap<Key, Arc<Mutex<()>>>>);

impl<Key> Default for KeyedLock<Key> {
    fn default() -> Self {
        KeyedLock(RefCell::default())
    }
}

impl<Key: Eq + Hash> KeyedLock<Key> {
    /// Acquires the lock of `key`.
    pub async fn lock(&self, key: Key) -> OwnedMutexGuard<()> {
        let lock = self.0.borrow_mut().entry(key).or_default().clone();
        lock.lock_owned().await
    }

    /// Removes the locks that are neither held nor waited for.
    pub fn sweep(&self) {
        self.0.borrow_mut().retain(|_, lock| Arc::strong_count(lock) > 1);
    }
}
