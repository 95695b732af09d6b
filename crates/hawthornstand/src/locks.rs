//! Locks that survive a panic of their holder.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex; a panic elsewhere does not make the state unusable.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
