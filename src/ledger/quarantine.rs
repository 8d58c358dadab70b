//! Quarantine of requests that were in flight on crashing targets.

use std::sync::Arc;

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};

use super::{
    Rejection,
    state::{CrashState, SuspectState},
};
use crate::log::{Offset, records::CrashSuspect};

/// Number of crashes after which a request is quarantined.
const QUARANTINE_CRASHES: usize = 2;

/// One boot of a target; identifies a crash, since each boot crashes at most once.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Boot {
    target: Arc<str>,
    boot: Arc<str>,
}

/// Crashes of targets at which a request was in flight.
#[derive(Clone, Debug, Default)]
struct SuspectEntry {
    /// Offset of the last record that reported a crash.
    offset: Offset,
    crashes: IndexSet<Boot>,
}

/// Suspects of one account by body digest.
type SuspectsByDigest = IndexMap<Arc<[u8]>, SuspectEntry>;

/// Requests that were in flight at crashes of targets, by account and body digest.
#[derive(Clone, Debug, Default)]
pub(super) struct Quarantine {
    accounts: IndexMap<Arc<str>, SuspectsByDigest>,
}

impl Quarantine {
    fn get(&self, account: &str, body_digest: &[u8]) -> Option<&SuspectEntry> {
        self.accounts.get(account)?.get(body_digest)
    }

    pub(super) fn is_quarantined(&self, account: &str, body_digest: &[u8]) -> bool {
        let entry = self.get(account, body_digest);
        entry.is_some_and(|entry| entry.crashes.len() >= QUARANTINE_CRASHES)
    }

    pub(super) fn crash_count(&self, account: &str, body_digest: &[u8]) -> usize {
        let entry = self.get(account, body_digest);
        entry.map_or(0, |entry| entry.crashes.len())
    }

    /// Records that a request was in flight when a target crashed. Several reports
    /// of the same boot count as one crash.
    pub(super) fn add_suspect(
        &mut self,
        offset: Offset,
        suspect: &CrashSuspect,
    ) -> std::result::Result<(), Rejection> {
        if suspect.account.is_empty() || suspect.body_digest.is_empty() {
            return Err(Rejection::Malformed(
                "the suspect has no account or body digest",
            ));
        }
        if suspect.target.is_empty() {
            return Err(Rejection::Malformed("the suspect names no target"));
        }
        let account = suspect.account.as_str().into();
        let digests = self.accounts.entry(account).or_default();
        let digest = suspect.body_digest.as_slice().into();
        let entry = digests.entry(digest).or_default();
        entry.offset = offset;
        if entry.crashes.len() >= QUARANTINE_CRASHES {
            return Ok(());
        }
        let boot = Boot {
            target: suspect.target.as_str().into(),
            boot: suspect.target_boot.as_str().into(),
        };
        entry.crashes.insert(boot);
        Ok(())
    }

    pub(super) fn expire(&mut self, up_to: Offset) {
        for digests in self.accounts.values_mut() {
            digests.retain(|_, entry| entry.offset > up_to);
        }
        self.accounts.retain(|_, digests| !digests.is_empty());
    }

    pub(super) fn encode(&self) -> Vec<SuspectState> {
        let mut suspects = Vec::new();
        for (account, digests) in &self.accounts {
            for (digest, entry) in digests {
                suspects.push(SuspectState {
                    account: account.to_string(),
                    body_digest: Bytes::copy_from_slice(digest),
                    offset: entry.offset.0,
                    crashes: entry.encode_crashes(),
                });
            }
        }
        suspects
    }

    pub(super) fn decode(states: Vec<SuspectState>) -> Self {
        let mut decoded = Self::default();
        for state in states {
            let entry = SuspectEntry {
                offset: Offset(state.offset),
                crashes: state.crashes.into_iter().map(Boot::decode).collect(),
            };
            let digests = decoded.accounts.entry(state.account.into()).or_default();
            digests.insert(state.body_digest.as_ref().into(), entry);
        }
        decoded
    }
}

impl SuspectEntry {
    fn encode_crashes(&self) -> Vec<CrashState> {
        let mut crashes = Vec::with_capacity(self.crashes.len());
        for boot in &self.crashes {
            crashes.push(CrashState {
                target: boot.target.to_string(),
                boot: boot.boot.to_string(),
            });
        }
        crashes
    }
}

impl Boot {
    fn decode(state: CrashState) -> Self {
        Self {
            target: state.target.into(),
            boot: state.boot.into(),
        }
    }
}
