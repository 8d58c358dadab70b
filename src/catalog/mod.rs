//! Index of the routes, client accounts and services in one version of the
//! configuration.

use std::{cmp::Reverse, sync::Arc, time::Duration};

use derive_more::IsVariant;
use indexmap::IndexMap;

const BITS_PER_BYTE: f64 = 8.0;

/// Bits that a link of 1 Mbit/s transfers in a millisecond.
const BITS_PER_MS_PER_MBPS: f64 = 1_000.0;

/// Form of a route's responses, and whether its requests may be repeated.
#[derive(Clone, Copy, Debug, Eq, IsVariant, PartialEq)]
pub enum RouteKind {
    /// Single responses; requests are idempotent.
    Idempotent,
    /// Single responses; a request is executed at most once.
    Once,
    /// Streams of events.
    Stream {
        /// Whether another target may continue an interrupted stream after a
        /// given event.
        resumable: bool,
    },
}

/// Rules for the requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: Arc<str>,
    /// Host that requests are addressed to.
    pub host: Arc<str>,
    /// Prefix of the paths that match this route.
    pub path_prefix: Arc<str>,
    /// Form of the responses, and whether requests may be repeated.
    pub kind: RouteKind,
    /// Maximum time until the response is complete.
    pub timeout: Duration,
    /// Latency objective for a response or, for a stream, for its first event.
    pub latency_objective: Duration,
    /// Maximum number of targets that one request is sent to.
    pub max_attempts: u32,
    /// Objective for the longest pause between two events of a stream.
    pub event_objective: Option<Duration>,
    /// Priority of the requests; 0 is the highest.
    pub priority: u8,
    /// Whether callers may use the route without a key.
    pub allows_anonymous: bool,
    /// Whether a model generates the responses.
    pub generates: bool,
    /// Services that the requests are distributed over, by weight.
    pub shares: Vec<ServiceShare>,
}

impl Route {
    /// Returns whether a request may be executed more than once.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Once => false,
            RouteKind::Stream { resumable } => resumable,
        }
    }

    /// Chooses a service by weight; `point` is a random number, uniform in
    /// `[0, 1)`.
    #[must_use]
    pub fn choose_service(&self, point: f64) -> Option<&Arc<str>> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut remaining = point * total as f64;
        for share in &self.shares {
            remaining -= f64::from(share.weight);
            if remaining < 0.0 {
                return Some(&share.service);
            }
        }
        self.shares.last().map(|share| &share.service)
    }

    /// Returns whether the service has a share of the route's requests.
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
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// A client account, which callers use through its keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// Name.
    pub name: Arc<str>,
    /// Priority of the account's requests; overrides that of the route.
    pub priority: Option<u8>,
    /// Quota of all instances together; `None` if there is no limit.
    pub quota: Option<Quota>,
}

/// Unit in which an account's quota is counted.
#[derive(Clone, Copy, Debug, Eq, IsVariant, PartialEq)]
pub enum QuotaUnit {
    /// Each request counts 1.
    Requests,
    /// A request counts the tokens of its prompt and the maximum of its answer.
    Tokens,
}

/// Limit on the rate of a client account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Quota {
    /// Unit of the other fields.
    pub unit: QuotaUnit,
    /// Units per second; not 0.
    pub rate_per_s: u64,
    /// Units that may be used at once after a pause; 0 if not configured.
    pub burst: u64,
    /// Tokens that a request without a token count counts as.
    pub plain_tokens: u64,
}

/// A service that runs on targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// Maximum number of connections to one target, over all instances.
    pub max_connections: Option<u32>,
    /// Engine that runs on each target; `None` if the service runs no models.
    pub engine: Option<Engine>,
    /// Bounds and prices for ordering targets; `None` if none are ordered.
    pub scaling: Option<Scaling>,
}

/// Properties of a service's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Maximum number of requests that run concurrently on one engine.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens.
    pub kv_tokens: u64,
    /// Duration of a role change.
    pub role_change: Duration,
    /// Time for which an engine keeps a prefilled KV cache until decode starts.
    pub handle_ttl: Duration,
    /// Size of one token in the KV cache, in bytes.
    pub token_kv_bytes: f64,
    /// Bandwidth between two engines, in megabits per second, if known.
    pub link_mbps: Option<f64>,
}

impl Engine {
    /// Returns the time to transfer the KV cache of `tokens` tokens to another
    /// engine, in milliseconds; 0 if the bandwidth is not known.
    #[must_use]
    pub fn transfer_ms(&self, tokens: u32) -> f64 {
        let bits = f64::from(tokens) * self.token_kv_bytes * BITS_PER_BYTE;
        self.link_mbps
            .map_or(0.0, |link_mbps| bits / (link_mbps * BITS_PER_MS_PER_MBPS))
    }
}

/// Bounds and prices for ordering a service's targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Scaling {
    /// Minimum number of targets in each failure domain.
    pub min_targets: u32,
    /// Maximum number of targets in each failure domain.
    pub max_targets: u32,
    /// Time from ordering a target until it serves requests.
    pub boot_time: Duration,
    /// Price of a reclaimable target as a fraction of the regular price; `None` if
    /// no targets are ordered.
    pub reclaimable_price: Option<f64>,
    /// Price of one target for one second, by failure domain.
    pub domain_prices: IndexMap<Arc<str>, f64>,
}

/// Limits on the connections and requests of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time for receiving a request head.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
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

/// Contents of one version of the configuration, from which a [`Catalog`] is
/// built.
#[derive(Clone, Debug, Default)]
pub struct CatalogConfig {
    /// Version of the configuration.
    pub version: u64,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Client accounts with their keys; `None` if no route needs a key.
    pub accounts: Option<Vec<(Account, Vec<Arc<str>>)>>,
}

/// One version of the configuration, indexed for lookups.
#[derive(Debug, Default)]
pub struct Catalog {
    version: u64,
    limits: CallerLimits,
    /// Routes by host, those with the longest path prefix first.
    routes: IndexMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    services: IndexMap<Arc<str>, Arc<Service>>,
    /// Client accounts by API key; `None` if no route needs a key.
    accounts: Option<IndexMap<Arc<str>, Arc<Account>>>,
    /// Quotas by the names of the client accounts that have one.
    quotas: IndexMap<Arc<str>, Quota>,
}

impl Catalog {
    /// Builds the index of a configuration.
    #[must_use]
    pub fn new(config: CatalogConfig) -> Self {
        let mut routes: IndexMap<Arc<str>, Vec<Arc<Route>>> = IndexMap::new();
        for route in config.routes {
            let host_routes = routes.entry(route.host.clone()).or_default();
            host_routes.push(Arc::new(route));
        }
        for host_routes in routes.values_mut() {
            host_routes.sort_by_key(|route| Reverse(route.path_prefix.len()));
        }
        let mut services = IndexMap::new();
        for service in config.services {
            services.insert(service.name.clone(), Arc::new(service));
        }
        let mut quotas = IndexMap::new();
        for (account, _) in config.accounts.iter().flatten() {
            if let Some(quota) = account.quota {
                quotas.insert(account.name.clone(), quota);
            }
        }
        Self {
            quotas,
            version: config.version,
            limits: config.limits,
            routes,
            services,
            accounts: config.accounts.map(index_keys),
        }
    }

    /// Returns the version of the configuration.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers.
    #[must_use]
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Finds the route of `host` whose path prefix is the longest that matches
    /// `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host_routes = self.routes.get(host)?;
        host_routes
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns whether a route can only be used with a key.
    #[must_use]
    pub fn needs_key(&self, route: &Route) -> bool {
        self.accounts.is_some() && !route.allows_anonymous
    }

    /// Finds the client account that a key belongs to.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        self.accounts.as_ref()?.get(key)
    }

    /// Returns the quota of a client account.
    #[must_use]
    pub fn quota(&self, account: &str) -> Option<&Quota> {
        self.quotas.get(account)
    }

    /// Returns whether any client account has a quota.
    #[must_use]
    pub fn has_quotas(&self) -> bool {
        !self.quotas.is_empty()
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Iterates over all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns the names of all client accounts that have a key, without
    /// duplicates.
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
