//! Routes, client accounts and services of one version of the configuration.

use std::{cmp::Reverse, sync::Arc, time::Duration};

use derive_more::IsVariant;
use indexmap::IndexMap;

const BITS_PER_BYTE: f64 = 8.0;

/// Bits that a link of one megabit a second moves in a millisecond.
const BITS_PER_MS_PER_MBPS: f64 = 1_000.0;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, Eq, IsVariant, PartialEq)]
pub enum RouteKind {
    /// Whole answers; requests are idempotent.
    Idempotent,
    /// Whole answers; a request runs at most once.
    Once,
    /// Streams of events.
    Stream {
        /// Whether a stream may go on at another target, after a given event.
        resumable: bool,
    },
}

/// How requests of one host and path are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: Arc<str>,
    /// Host that callers name.
    pub host: Arc<str>,
    /// Beginning of the paths that take this route.
    pub path_prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time until the final answer.
    pub timeout: Duration,
    /// Time within which an answer, or a stream's first event, is on time.
    pub latency_objective: Duration,
    /// Most targets that one request is sent to.
    pub max_attempts: u32,
    /// Longest pause between two events of a stream that is on time.
    pub event_objective: Option<Duration>,
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// Whether callers need no key.
    pub open: bool,
    /// Whether a model generates the answers.
    pub generates: bool,
    /// Services that share the requests.
    pub shares: Vec<ServiceShare>,
}

impl Route {
    /// Returns whether a request may run more than once.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Once => false,
            RouteKind::Stream { resumable } => resumable,
        }
    }

    /// Chooses the service of a request; `point` is uniform in 0 to 1.
    #[must_use]
    pub fn choose_service(&self, point: f64) -> Option<&Arc<str>> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut left = point * total as f64;
        for share in &self.shares {
            left -= f64::from(share.weight);
            if left < 0.0 {
                return Some(&share.service);
            }
        }
        self.shares.last().map(|share| &share.service)
    }

    /// Returns whether the route sends requests to a service.
    #[must_use]
    pub fn routes_to(&self, service: &str) -> bool {
        self.shares
            .iter()
            .any(|share| share.weight > 0 && *share.service == *service)
    }
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceShare {
    /// Service.
    pub service: Arc<str>,
    /// Weight among the route's shares.
    pub weight: u32,
}

/// A client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// Name.
    pub name: Arc<str>,
    /// Urgency of its requests; precedes that of the route.
    pub priority: Option<u8>,
}

/// A service that runs on targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Connections that one target accepts from all callers together.
    pub max_connections: Option<u32>,
    /// Engine that runs on each target, if it serves models.
    pub engine: Option<Engine>,
    /// How its targets are ordered, if the platform orders them.
    pub scaling: Option<Scaling>,
}

/// What is known of a service's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that the KV cache holds.
    pub kv_tokens: u64,
    /// Time that a change of role takes.
    pub role_change: Duration,
    /// Time for which a prefilled KV cache is kept for its decode.
    pub handle_ttl: Duration,
    /// Size of a token in the KV cache, in bytes.
    pub token_kv_bytes: f64,
    /// Bandwidth between engines, in megabits a second, if it is known.
    pub link_mbps: Option<f64>,
}

impl Engine {
    /// Returns the time in which a KV cache of so many tokens is moved to
    /// another engine, in milliseconds.
    #[must_use]
    pub fn transfer_ms(&self, tokens: u32) -> f64 {
        let bits = f64::from(tokens) * self.token_kv_bytes * BITS_PER_BYTE;
        self.link_mbps
            .map_or(0.0, |link_mbps| bits / (link_mbps * BITS_PER_MS_PER_MBPS))
    }
}

/// Bounds and prices by which a service's targets are ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct Scaling {
    /// Fewest targets in a failure domain.
    pub min_targets: u32,
    /// Most targets in a failure domain.
    pub max_targets: u32,
    /// Time from the order of a target until it serves.
    pub boot: Duration,
    /// Price of a reclaimable target as a part of that of another.
    pub reclaimable_price: Option<f64>,
    /// Price of one second of a target, by failure domain.
    pub domain_prices: IndexMap<Arc<str>, f64>,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a request's head.
    pub header_timeout: Duration,
    /// Longest time that a connection stays idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(30),
        }
    }
}

/// What a catalog is built from.
#[derive(Clone, Debug, Default)]
pub struct CatalogParts {
    /// Version of the configuration.
    pub version: u64,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Client accounts with their keys; `None` if no route asks for a key.
    pub accounts: Option<Vec<(Account, Vec<Arc<str>>)>>,
}

/// One version of the configuration, indexed.
#[derive(Debug, Default)]
pub struct Catalog {
    version: u64,
    limits: CallerLimits,
    routes: IndexMap<Arc<str>, Vec<Arc<Route>>>,
    services: IndexMap<Arc<str>, Arc<Service>>,
    accounts: Option<IndexMap<Arc<str>, Arc<Account>>>,
}

impl Catalog {
    /// Indexes a configuration.
    #[must_use]
    pub fn new(parts: CatalogParts) -> Self {
        let mut routes: IndexMap<Arc<str>, Vec<Arc<Route>>> = IndexMap::new();
        for route in parts.routes {
            let host_routes = routes.entry(route.host.clone()).or_default();
            host_routes.push(Arc::new(route));
        }
        for host_routes in routes.values_mut() {
            host_routes.sort_by_key(|route| Reverse(route.path_prefix.len()));
        }
        let mut services = IndexMap::new();
        for service in parts.services {
            services.insert(service.name.clone(), Arc::new(service));
        }
        Self {
            version: parts.version,
            limits: parts.limits,
            routes,
            services,
            accounts: parts.accounts.map(index_keys),
        }
    }

    /// Returns the version of the configuration.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the bounds on callers.
    #[must_use]
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Finds the route with the longest prefix of `path` among those of `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host_routes = self.routes.get(host)?;
        host_routes
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns whether callers of a route need a key.
    #[must_use]
    pub fn needs_key(&self, route: &Route) -> bool {
        self.accounts.is_some() && !route.open
    }

    /// Finds the client account that holds a key.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        self.accounts.as_ref()?.get(key)
    }

    /// Returns a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns the names of all client accounts.
    #[must_use]
    pub fn account_names(&self) -> Vec<Arc<str>> {
        let mut names: Vec<Arc<str>> = Vec::new();
        for account in self.accounts.iter().flat_map(IndexMap::values) {
            if !names.contains(&account.name) {
                names.push(account.name.clone());
            }
        }
        names
    }
}

fn index_keys(accounts: Vec<(Account, Vec<Arc<str>>)>) -> IndexMap<Arc<str>, Arc<Account>> {
    let mut by_key = IndexMap::new();
    for (account, keys) in accounts {
        let account = Arc::new(account);
        for key in keys {
            by_key.insert(key, account.clone());
        }
    }
    by_key
}
