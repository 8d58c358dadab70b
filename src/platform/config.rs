//! The operator's configuration document.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use serde::Deserialize;

use crate::catalog::{
    Account, CallerLimits, Catalog, CatalogParts, Engine, Route, RouteKind, Scaling, Service,
    ServiceShare,
};

/// Weight of the only service of a route.
const SINGLE_SERVICE_WEIGHT: u32 = 100;

#[derive(Deserialize)]
struct WireConfig {
    version: u64,
    routes: Vec<WireRoute>,
    services: Vec<WireService>,
    limits: Option<WireLimits>,
    // The platform's "tenant" is a client account.
    tenants: Option<Vec<WireTenant>>,
}

#[derive(Deserialize)]
struct WireRoute {
    name: Arc<str>,
    host: Arc<str>,
    path_prefix: Arc<str>,
    kind: Arc<str>,
    timeout_ms: u64,
    target_latency_ms: Option<u64>,
    target_gap_ms: Option<u64>,
    #[serde(default)]
    priority: u8,
    service: Option<Arc<str>>,
    traffic_split: Option<Vec<WireShare>>,
    #[serde(default = "default_max_attempts")]
    max_attempts: u32,
    #[serde(default)]
    anonymous: bool,
    // "Sticky" marks the routes whose answers a model generates.
    #[serde(default)]
    sticky: bool,
    #[serde(default)]
    resumable: bool,
}

#[derive(Deserialize)]
struct WireShare {
    service: Arc<str>,
    weight: u32,
}

#[derive(Deserialize)]
struct WireService {
    name: Arc<str>,
    max_conns: Option<u32>,
    engine: Option<WireEngine>,
    scaling: Option<WireScaling>,
}

#[derive(Deserialize)]
struct WireEngine {
    slots: u32,
    kv_tokens: u64,
    #[serde(default)]
    switch_s: f64,
    #[serde(default)]
    handle_ttl_s: f64,
    #[serde(default)]
    token_kv_bytes: f64,
    link_mbps: Option<f64>,
}

#[derive(Deserialize)]
struct WireScaling {
    min: u32,
    max: u32,
    #[serde(default)]
    boot_s: f64,
    spot_price: Option<f64>,
    #[serde(default)]
    zone_prices: IndexMap<Arc<str>, f64>,
}

#[derive(Deserialize)]
struct WireLimits {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_ms: u64,
    idle_timeout_ms: u64,
}

#[derive(Deserialize)]
struct WireTenant {
    name: Arc<str>,
    #[serde(default)]
    api_keys: Vec<Arc<str>>,
    priority: Option<u8>,
}

/// Decodes a configuration.
///
/// # Errors
///
/// Fails with the position and the cause if the bytes are not a configuration.
pub fn read_catalog(bytes: &[u8]) -> serde_json::Result<Catalog> {
    let config: WireConfig = serde_json::from_slice(bytes)?;
    Ok(Catalog::new(CatalogParts {
        version: config.version,
        limits: config.limits.map_or_else(CallerLimits::default, limits),
        routes: config.routes.into_iter().map(route).collect(),
        services: config.services.into_iter().map(service).collect(),
        accounts: config
            .tenants
            .map(|tenants| tenants.into_iter().map(account).collect()),
    }))
}

fn route(wire: WireRoute) -> Route {
    let shares = match (wire.traffic_split, wire.service) {
        (Some(shares), _) => shares
            .into_iter()
            .map(|share| ServiceShare {
                service: share.service,
                weight: share.weight,
            })
            .collect(),
        (None, Some(service)) => vec![ServiceShare {
            service,
            weight: SINGLE_SERVICE_WEIGHT,
        }],
        (None, None) => Vec::new(),
    };
    let timeout = Duration::from_millis(wire.timeout_ms);
    Route {
        name: wire.name,
        host: wire.host,
        path_prefix: wire.path_prefix,
        kind: match &*wire.kind {
            "safe" => RouteKind::Idempotent,
            "streaming" => RouteKind::Stream {
                resumable: wire.resumable,
            },
            // A kind that is not known is never repeated.
            _ => RouteKind::Once,
        },
        timeout,
        latency_objective: wire
            .target_latency_ms
            .map_or(timeout, Duration::from_millis),
        max_attempts: wire.max_attempts.max(1),
        event_objective: wire.target_gap_ms.map(Duration::from_millis),
        priority: wire.priority,
        open: wire.anonymous,
        generates: wire.sticky,
        shares,
    }
}

fn service(wire: WireService) -> Service {
    Service {
        name: wire.name,
        max_connections: wire.max_conns,
        engine: wire.engine.map(|engine| Engine {
            slots: engine.slots,
            kv_tokens: engine.kv_tokens,
            role_change: seconds(engine.switch_s),
            handle_ttl: seconds(engine.handle_ttl_s),
            token_kv_bytes: engine.token_kv_bytes,
            link_mbps: engine.link_mbps.filter(|link_mbps| *link_mbps > 0.0),
        }),
        scaling: wire.scaling.map(|scaling| Scaling {
            min_targets: scaling.min,
            max_targets: scaling.max,
            boot: seconds(scaling.boot_s),
            reclaimable_price: scaling.spot_price,
            domain_prices: scaling.zone_prices,
        }),
    }
}

fn account(wire: WireTenant) -> (Account, Vec<Arc<str>>) {
    let account = Account {
        name: wire.name,
        priority: wire.priority,
    };
    (account, wire.api_keys)
}

fn limits(wire: WireLimits) -> CallerLimits {
    CallerLimits {
        max_header_bytes: wire.max_header_bytes,
        max_body_bytes: wire.max_body_bytes,
        header_timeout: Duration::from_millis(wire.header_timeout_ms),
        idle_timeout: Duration::from_millis(wire.idle_timeout_ms),
    }
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or_default()
}

fn default_max_attempts() -> u32 {
    1
}
