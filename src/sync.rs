//! Locks that outlive a panic of a task.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also if a task has panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
