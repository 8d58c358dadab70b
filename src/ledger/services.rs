//! Service documents with their keys and history.
//!
//! Revisions use compare-and-set: a revision is accepted only if it is based on
//! the current revision of its service.

use std::{collections::HashMap, sync::Arc};

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};

use super::{
    Error, Rejection, Result,
    state::{HistoryState, RevisionState, ServiceState},
};
use crate::{
    log::{
        Offset,
        records::{Record, ServiceRevision},
    },
    service::{self, Document},
};

/// Maximum number of services.
const MAX_SERVICES: usize = 1024;

/// Maximum number of revisions in the history of one service.
const MAX_HISTORY_REVISIONS: usize = 32;

/// Maximum number of service names whose history has only refused revisions.
const MAX_REFUSED_HISTORIES: usize = 64;

/// Longest service name for which a history is kept, in bytes.
const MAX_HISTORY_NAME_BYTES: usize = 128;

type KeyDigest = [u8; 32];

/// The current revision of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceEntry {
    /// Number of the revision, starting at 1.
    pub revision: u64,
    /// Offset of the record that published the revision.
    pub offset: Offset,
    /// The parsed document.
    pub document: Document,
    /// The document as published.
    pub text: Arc<str>,
}

/// One published revision, accepted or refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RevisionEntry {
    /// Offset of the record that published the revision.
    pub offset: Offset,
    /// Name of the writer of the record.
    pub writer: Arc<str>,
    /// Number of the revision on which this one is based; 0 for a new service.
    pub base_revision: u64,
    /// Number of this revision; `None` if it was refused.
    pub revision: Option<u64>,
    /// Reason for the refusal; empty if the revision was accepted.
    pub refusal: Arc<str>,
}

/// Owner of a valid key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyEntry {
    /// Service that accepts the key.
    pub service: Arc<str>,
    /// Account within the service.
    pub account: Arc<str>,
    /// Identifier of the key.
    pub key_id: Arc<str>,
}

/// All services, with their histories and keys.
#[derive(Clone, Debug, Default)]
pub(super) struct Services {
    /// Current entry by service name.
    entries: IndexMap<Arc<str>, Arc<ServiceEntry>>,
    /// Accepted and refused revisions, by service name.
    histories: IndexMap<Arc<str>, Vec<RevisionEntry>>,
    revoked: IndexSet<KeyDigest>,
    configured_offset: Offset,
    /// Valid keys by digest, derived from `entries`.
    keys: HashMap<KeyDigest, KeyEntry>,
}

impl Services {
    pub(super) fn entries(&self) -> impl Iterator<Item = &Arc<ServiceEntry>> {
        self.entries.values()
    }

    pub(super) fn get(&self, name: &str) -> Option<&Arc<ServiceEntry>> {
        self.entries.get(name)
    }

    pub(super) fn history(&self, service: &str) -> &[RevisionEntry] {
        self.histories.get(service).map_or(&[], Vec::as_slice)
    }

    pub(super) fn key(&self, digest: &KeyDigest) -> Option<&KeyEntry> {
        self.keys.get(digest)
    }

    pub(super) fn is_revoked(&self, digest: &KeyDigest) -> bool {
        self.revoked.contains(digest)
    }

    pub(super) fn configured_offset(&self) -> Offset {
        self.configured_offset
    }

    /// Accepts or refuses a revision and adds it to the service's history.
    pub(super) fn revise(
        &mut self,
        offset: Offset,
        record: &Record,
        revision: &ServiceRevision,
    ) -> std::result::Result<(), Rejection> {
        let result = self.accept_revision(offset, revision);
        let mut entry = RevisionEntry {
            offset,
            writer: record.writer.as_str().into(),
            base_revision: revision.base_revision,
            revision: None,
            refusal: Arc::default(),
        };
        match &result {
            Ok(()) => entry.revision = Some(revision.base_revision + 1),
            Err(rejection) => entry.refusal = rejection.to_string().into(),
        }
        self.add_to_history(&revision.service, entry);
        result
    }

    fn accept_revision(
        &mut self,
        offset: Offset,
        revision: &ServiceRevision,
    ) -> std::result::Result<(), Rejection> {
        let current = self.entries.get(revision.service.as_str());
        let current = current.map_or(0, |entry| entry.revision);
        if revision.base_revision != current {
            return Err(Rejection::RevisionConflict {
                base: revision.base_revision,
                current,
            });
        }
        if current == 0 && self.entries.len() >= MAX_SERVICES {
            return Err(Rejection::TooManyServices(MAX_SERVICES));
        }
        let document = Document::parse(&revision.document).map_err(Rejection::Document)?;
        if *document.service != *revision.service {
            return Err(Rejection::ServiceName(document.service.to_string()));
        }
        self.check_keys(&document)?;
        self.check_conflicts(&document)?;
        self.revoke_keys(&document);
        let entry = ServiceEntry {
            revision: current + 1,
            offset,
            document,
            text: revision.document.as_str().into(),
        };
        self.set_current_revision(Arc::new(entry));
        self.configured_offset = offset;
        Ok(())
    }

    /// Checks that the document neither makes a revoked key valid again nor contains
    /// a key of another service.
    fn check_keys(&self, document: &Document) -> std::result::Result<(), Rejection> {
        for account in &document.accounts {
            for key in &account.keys {
                let Some(digest) = key.digest() else {
                    continue;
                };
                if !key.revoked && self.revoked.contains(&digest) {
                    return Err(Rejection::KeyRevoked(key.id.to_string()));
                }
                let Some(owner) = self.keys.get(&digest) else {
                    continue;
                };
                if owner.service != document.service {
                    return Err(Rejection::KeyInUse {
                        key: key.id.to_string(),
                        service: owner.service.to_string(),
                    });
                }
            }
        }
        Ok(())
    }

    /// Checks that the routes and target kinds of a document do not conflict with
    /// those of other services.
    fn check_conflicts(&self, document: &Document) -> std::result::Result<(), Rejection> {
        for entry in self.entries.values() {
            let other = &entry.document;
            if other.service == document.service {
                continue;
            }
            check_path_conflicts(document, other)?;
            check_kind_conflicts(document, other)?;
        }
        Ok(())
    }

    fn revoke_keys(&mut self, document: &Document) {
        for account in &document.accounts {
            for key in &account.keys {
                let Some(digest) = key.digest() else {
                    continue;
                };
                if key.revoked {
                    self.revoked.insert(digest);
                }
            }
        }
    }

    /// Makes an accepted revision the current one and updates the valid keys.
    fn set_current_revision(&mut self, entry: Arc<ServiceEntry>) {
        let name = &entry.document.service;
        self.keys.retain(|_, owner| owner.service != *name);
        for account in &entry.document.accounts {
            for key in &account.keys {
                if key.revoked {
                    continue;
                }
                let Some(digest) = key.digest() else {
                    continue;
                };
                let owner = KeyEntry {
                    service: name.clone(),
                    account: account.name.clone(),
                    key_id: key.id.clone(),
                };
                self.keys.insert(digest, owner);
            }
        }
        self.entries.insert(name.clone(), entry.clone());
    }

    fn add_to_history(&mut self, service: &str, entry: RevisionEntry) {
        if service.is_empty() || service.len() > MAX_HISTORY_NAME_BYTES {
            return;
        }
        if !self.histories.contains_key(service) {
            self.histories.insert(service.into(), Vec::new());
        }
        let history = &mut self.histories[service];
        if history.len() >= MAX_HISTORY_REVISIONS {
            history.remove(0);
        }
        history.push(entry);
        self.limit_refused_histories();
    }

    /// Drops the oldest history that has only refused revisions if there are more
    /// than [`MAX_REFUSED_HISTORIES`].
    fn limit_refused_histories(&mut self) {
        let refused_histories = self.histories.len() - self.entries.len();
        if refused_histories <= MAX_REFUSED_HISTORIES {
            return;
        }
        let entries = &self.entries;
        let oldest = self
            .histories
            .keys()
            .position(|name| !entries.contains_key(name));
        if let Some(index) = oldest {
            self.histories.shift_remove_index(index);
        }
    }

    pub(super) fn encode_entries(&self) -> Vec<ServiceState> {
        let mut services = Vec::with_capacity(self.entries.len());
        for entry in self.entries.values() {
            services.push(ServiceState {
                revision: entry.revision,
                offset: entry.offset.0,
                text: entry.text.to_string(),
            });
        }
        services
    }

    pub(super) fn encode_histories(&self) -> Vec<HistoryState> {
        let mut histories = Vec::with_capacity(self.histories.len());
        for (service, entries) in &self.histories {
            histories.push(HistoryState {
                service: service.to_string(),
                entries: entries.iter().map(RevisionEntry::encode).collect(),
            });
        }
        histories
    }

    pub(super) fn encode_revoked(&self) -> Vec<Bytes> {
        let mut revoked = Vec::with_capacity(self.revoked.len());
        for digest in &self.revoked {
            revoked.push(Bytes::copy_from_slice(digest));
        }
        revoked
    }

    pub(super) fn decode(
        configured_offset: u64,
        services: Vec<ServiceState>,
        histories: Vec<HistoryState>,
        revoked: Vec<Bytes>,
    ) -> Result<Self> {
        let mut decoded = Self {
            configured_offset: Offset(configured_offset),
            ..Self::default()
        };
        for state in services {
            decoded.set_current_revision(Arc::new(decode_service(state)?));
        }
        for state in histories {
            let entries = state.entries.into_iter().map(RevisionEntry::decode);
            let entries = entries.collect();
            decoded.histories.insert(state.service.into(), entries);
        }
        for digest in revoked {
            let digest = KeyDigest::try_from(&*digest);
            let digest = digest.map_err(|_| Error::Field { field: "revoked" })?;
            decoded.revoked.insert(digest);
        }
        Ok(decoded)
    }
}

impl RevisionEntry {
    fn encode(&self) -> RevisionState {
        RevisionState {
            offset: self.offset.0,
            writer: self.writer.to_string(),
            base_revision: self.base_revision,
            revision: self.revision.unwrap_or(0),
            refusal: self.refusal.to_string(),
        }
    }

    fn decode(state: RevisionState) -> Self {
        Self {
            offset: Offset(state.offset),
            writer: state.writer.into(),
            base_revision: state.base_revision,
            revision: (state.revision > 0).then_some(state.revision),
            refusal: state.refusal.into(),
        }
    }
}

fn decode_service(state: ServiceState) -> Result<ServiceEntry> {
    let document =
        Document::parse(&state.text).map_err(|source: service::Error| Error::Document {
            offset: state.offset,
            source,
        })?;
    Ok(ServiceEntry {
        revision: state.revision,
        offset: Offset(state.offset),
        document,
        text: state.text.into(),
    })
}

fn check_path_conflicts(
    document: &Document,
    other: &Document,
) -> std::result::Result<(), Rejection> {
    for route in &document.routes {
        if other.routes.iter().any(|known| known.path == route.path) {
            return Err(Rejection::PathInUse {
                path: route.path.to_string(),
                service: other.service.to_string(),
            });
        }
    }
    Ok(())
}

fn check_kind_conflicts(
    document: &Document,
    other: &Document,
) -> std::result::Result<(), Rejection> {
    for kind in &document.target_kinds {
        let Some(known) = other.kind(&kind.name) else {
            continue;
        };
        if known.role == kind.role && known.checks_fencing == kind.checks_fencing {
            continue;
        }
        return Err(Rejection::KindConflict {
            kind: kind.name.to_string(),
            service: other.service.to_string(),
        });
    }
    Ok(())
}
