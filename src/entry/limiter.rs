//! Rate and concurrency limits of client accounts.

use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicU64, Ordering},
};

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::{
    entry::{
        error::{Error, Result},
        router::AccountEntry,
    },
    policy::limits::{AccountLimiter, AccountLimits, LimitError},
    sync,
};

/// Retry delay reported to callers at the limit of concurrent requests, in
/// milliseconds.
const CONCURRENT_RETRY_MS: u64 = 1_000;

/// Enforces this instance's share of the limits of each account.
#[derive(Debug)]
pub(super) struct Limiter {
    started_at: Instant,
    /// State by account, `SERVICE/ACCOUNT`.
    accounts: Mutex<IndexMap<Arc<str>, AccountState>>,
}

#[derive(Debug)]
struct AccountState {
    limits: AccountLimits,
    limiter: AccountLimiter,
}

/// Counts a request against the limits of its account until dropped.
#[derive(Debug)]
pub(super) struct LimitGuard {
    limiter: Arc<Limiter>,
    account: Arc<str>,
    estimated_tokens: u64,
    served_tokens: AtomicU64,
}

impl Default for Limiter {
    fn default() -> Self {
        Self {
            started_at: Instant::now(),
            accounts: Mutex::default(),
        }
    }
}

impl Limiter {
    /// Counts a request, with an estimate of its tokens, against the limits of its
    /// account.
    ///
    /// Each live instance enforces an equal share of the limits, rounded up.
    /// Returns `None` if the account has no limits.
    ///
    /// # Errors
    ///
    /// Returns [`Error::RateLimited`] if the request would exceed a limit.
    pub(super) fn acquire(
        self: &Arc<Self>,
        account: &AccountEntry,
        live_instances: u32,
        tokens: u64,
    ) -> Result<Option<LimitGuard>> {
        let limits = instance_limits(account, live_instances);
        if limits == AccountLimits::default() {
            return Ok(None);
        }
        let now_ms = self.started_at.elapsed().as_millis() as u64;
        let mut accounts = self.lock();
        let account_state = accounts
            .entry(Arc::clone(&account.full_name))
            .or_insert_with(|| AccountState {
                limits,
                limiter: AccountLimiter::new(limits, now_ms),
            });
        if account_state.limits != limits {
            account_state.limits = limits;
            account_state.limiter.set_limits(limits, now_ms);
        }
        account_state
            .limiter
            .acquire(tokens, now_ms)
            .map_err(rate_limited)?;
        Ok(Some(LimitGuard {
            limiter: Arc::clone(self),
            account: Arc::clone(&account.full_name),
            estimated_tokens: tokens,
            served_tokens: AtomicU64::new(0),
        }))
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<Arc<str>, AccountState>> {
        sync::lock(&self.accounts)
    }
}

impl LimitGuard {
    /// Sets the number of tokens actually used. This number replaces the estimate when
    /// the guard is dropped.
    pub(super) fn set_served(&self, tokens: u64) {
        self.served_tokens.store(tokens, Ordering::Relaxed);
    }
}

impl Drop for LimitGuard {
    fn drop(&mut self) {
        let served_tokens = self.served_tokens.load(Ordering::Relaxed);
        if let Some(account_state) = self.limiter.lock().get_mut(&self.account) {
            account_state
                .limiter
                .release(self.estimated_tokens, served_tokens);
        }
    }
}

/// Returns one instance's share of an account's limits, rounded up.
fn instance_limits(account: &AccountEntry, live_instances: u32) -> AccountLimits {
    let account = &account.account;
    let account_limits = AccountLimits::new(
        account.max_requests_per_s,
        account.max_tokens_per_s,
        account.max_concurrent,
    );
    let instances = u64::from(live_instances.max(1));
    let share = |limit: Option<u64>| limit.map(|limit| limit.div_ceil(instances));
    AccountLimits {
        requests_milli_per_s: share(account_limits.requests_milli_per_s),
        tokens_milli_per_s: share(account_limits.tokens_milli_per_s),
        max_concurrent: share(account_limits.max_concurrent),
    }
}

fn rate_limited(error: LimitError) -> Error {
    let (limit, retry_after_ms) = match error {
        LimitError::Requests { retry_after_ms } => ("request rate", retry_after_ms),
        LimitError::Tokens { retry_after_ms } => ("token rate", retry_after_ms),
        LimitError::Concurrent => ("number of requests in progress", CONCURRENT_RETRY_MS),
    };
    Error::RateLimited {
        limit,
        retry_after_ms,
    }
}
