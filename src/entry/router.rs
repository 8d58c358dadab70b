//! Lookup of routes and accounts in the ledger's service documents.

use std::sync::{Arc, RwLock};

use indexmap::IndexMap;

use crate::{
    entry::error::{Error, Result},
    ledger::{Ledger, LedgerHandle, ServiceEntry},
    log::Offset,
    service::{Access, Account, KindRole, Route, TargetKind},
};

/// Name of the account that requests on open routes are charged to.
pub(super) const OPEN_ACCOUNT: &str = "open";

/// A route of an accepted service document.
#[derive(Clone, Debug)]
pub(super) struct RouteEntry {
    /// Service whose document defines the route.
    pub(super) service: Arc<ServiceEntry>,
    /// Route as described in the service document.
    pub(super) route: Route,
    /// Role of the route's targets.
    pub(super) role: KindRole,
}

/// A client account with its full name.
#[derive(Clone, Debug)]
pub(super) struct AccountEntry {
    /// Name that is unique over all services, `SERVICE/ACCOUNT`.
    pub(super) full_name: Arc<str>,
    /// Name of the service whose document defines the account.
    pub(super) service: Arc<str>,
    /// Account as described in the service document.
    pub(super) account: Account,
}

/// Routes and accounts of all services at one offset of the log.
#[derive(Debug, Default)]
pub(super) struct ServiceIndex {
    configured_offset: Option<Offset>,
    /// Routes by path, without trailing slashes.
    routes: IndexMap<Arc<str>, Vec<Arc<RouteEntry>>>,
    /// Accounts by service name and account name.
    accounts: IndexMap<Arc<str>, IndexMap<Arc<str>, Arc<AccountEntry>>>,
}

/// Caches the service index of the current configuration.
#[derive(Debug, Default)]
pub(super) struct Router {
    index: RwLock<Arc<ServiceIndex>>,
}

impl Router {
    /// Returns the service index of the ledger's current configuration, rebuilding
    /// it if the configuration has changed.
    pub(super) fn index(&self, ledger: &LedgerHandle) -> Arc<ServiceIndex> {
        let configured_offset = ledger.read(Ledger::configured_offset);
        let current = Arc::clone(&self.index.read().unwrap_or_else(|e| e.into_inner()));
        if current.configured_offset == Some(configured_offset) {
            return current;
        }
        let index = Arc::new(ledger.read(ServiceIndex::build));
        *self.index.write().unwrap_or_else(|e| e.into_inner()) = Arc::clone(&index);
        index
    }
}

impl ServiceIndex {
    fn build(ledger: &Ledger) -> Self {
        let mut index = Self {
            configured_offset: Some(ledger.configured_offset()),
            ..Self::default()
        };
        for service in ledger.services() {
            index.insert(service);
        }
        index
    }

    fn insert(&mut self, service: &Arc<ServiceEntry>) {
        let document = &service.document;
        for route in &document.routes {
            let Some(kind) = find_kind(&document.target_kinds, &route.target_kind) else {
                continue;
            };
            let entry = RouteEntry {
                service: Arc::clone(service),
                route: route.clone(),
                role: kind.role,
            };
            let path = Arc::from(trim_trailing_slashes(&route.path));
            self.routes.entry(path).or_default().push(Arc::new(entry));
        }
        let accounts = self
            .accounts
            .entry(Arc::clone(&document.service))
            .or_default();
        for account in &document.accounts {
            let entry = AccountEntry::new(&document.service, account.clone());
            accounts.insert(Arc::clone(&account.name), Arc::new(entry));
        }
        if accounts.contains_key(OPEN_ACCOUNT) {
            return;
        }
        let open = AccountEntry::new(&document.service, open_account());
        accounts.insert(Arc::from(OPEN_ACCOUNT), Arc::new(open));
    }

    /// Returns an account of a service, by name.
    pub(super) fn account(&self, service: &str, account: &str) -> Option<&Arc<AccountEntry>> {
        self.accounts.get(service)?.get(account)
    }

    /// Returns the services that have an open route to engines.
    pub(super) fn open_services(&self) -> Vec<Arc<ServiceEntry>> {
        let mut services: Vec<Arc<ServiceEntry>> = Vec::new();
        for entry in self.routes.values().flatten() {
            if entry.route.access != Access::Open || entry.role != KindRole::Engine {
                continue;
            }
            if !services.iter().any(|s| Arc::ptr_eq(s, &entry.service)) {
                services.push(Arc::clone(&entry.service));
            }
        }
        services
    }

    /// Finds the route with the longest matching path prefix and checks that it
    /// allows the method.
    ///
    /// `service` is the service of the API key, if the request has a valid one.
    /// Routes of this service take precedence over open routes of other
    /// services with the same prefix.
    ///
    /// # Errors
    ///
    /// A route is usable if it is open or belongs to `service`.
    ///
    /// - [`Error::UnknownRoute`] if no route matches the path.
    /// - [`Error::MethodNotAllowed`] if none of the usable routes with the longest
    ///   matching prefix allows the method.
    /// - [`Error::WrongService`] if the request has a valid key, but only keyed routes
    ///   of other services match.
    /// - [`Error::MissingKey`] if the request has no valid key and only keyed routes
    ///   match. It also replaces [`Error::MethodNotAllowed`] if the request has no
    ///   valid key and a keyed route matches with the same or a longer prefix.
    pub(super) fn find(
        &self,
        path: &str,
        method: &str,
        service: Option<&str>,
    ) -> Result<Arc<RouteEntry>> {
        let mut keyed_by_other_service = false;
        for prefix in prefixes(path) {
            let Some(entries) = self.routes.get(prefix) else {
                continue;
            };
            let mut usable: Vec<&Arc<RouteEntry>> = Vec::new();
            for entry in entries {
                let is_own_service = service == Some(&*entry.service.document.service);
                if is_own_service || entry.route.access == Access::Open {
                    usable.push(entry);
                } else {
                    keyed_by_other_service = true;
                }
            }
            usable.sort_by_key(|entry| service != Some(&*entry.service.document.service));
            if usable.is_empty() {
                continue;
            }
            for entry in &usable {
                if allows_method(&entry.route, method) {
                    return Ok(Arc::clone(entry));
                }
            }
            if keyed_by_other_service && service.is_none() {
                return Err(Error::MissingKey);
            }
            return Err(Error::MethodNotAllowed {
                path: path.to_owned(),
                method: method.to_owned(),
                allow: allowed_methods(&usable),
            });
        }
        Err(match (keyed_by_other_service, service) {
            (true, None) => Error::MissingKey,
            (true, Some(_)) => Error::WrongService {
                path: path.to_owned(),
            },
            (false, _) => Error::UnknownRoute {
                path: path.to_owned(),
            },
        })
    }
}

impl AccountEntry {
    fn new(service: &Arc<str>, account: Account) -> Self {
        Self {
            full_name: Arc::from(format!("{service}/{}", account.name)),
            service: Arc::clone(service),
            account,
        }
    }
}

/// Returns the account, without limits, that requests on open routes are charged to
/// if the service document defines no account named [`OPEN_ACCOUNT`].
fn open_account() -> Account {
    Account {
        name: Arc::from(OPEN_ACCOUNT),
        weight: 1,
        max_requests_per_s: 0,
        max_tokens_per_s: 0,
        max_concurrent: 0,
        keys: Vec::new(),
    }
}

fn find_kind<'a>(kinds: &'a [TargetKind], name: &str) -> Option<&'a TargetKind> {
    kinds.iter().find(|kind| &*kind.name == name)
}

fn allows_method(route: &Route, method: &str) -> bool {
    route.methods.is_empty() || route.methods.iter().any(|m| m.eq_ignore_ascii_case(method))
}

fn allowed_methods(entries: &[&Arc<RouteEntry>]) -> String {
    let mut methods: Vec<&str> = Vec::new();
    for method in entries.iter().flat_map(|entry| &entry.route.methods) {
        if !methods.contains(&&**method) {
            methods.push(method);
        }
    }
    methods.join(", ")
}

fn trim_trailing_slashes(path: &str) -> &str {
    path.trim_end_matches('/')
}

/// Iterates over the prefixes of a path at segment boundaries, the longest
/// first.
fn prefixes(path: &str) -> impl Iterator<Item = &str> {
    let mut next_prefix = Some(trim_trailing_slashes(path));
    std::iter::from_fn(move || {
        let prefix = next_prefix?;
        next_prefix = prefix.rfind('/').map(|end| &prefix[..end]);
        Some(prefix)
    })
}
