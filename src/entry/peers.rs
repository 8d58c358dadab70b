//! What the entry asks of the other instances.

use std::sync::Arc;

use derive_more::Debug;
use futures_util::future::{BoxFuture, FutureExt, ready};

use crate::peer::{Served, TargetLoad};

type IsQuarantinedFn = dyn Fn(&str, &[u8]) -> bool + Send + Sync;
type NotifyQuarantineFn = dyn Fn(&str, &[u8]) -> BoxFuture<'static, ()> + Send + Sync;
type IsLiveFn = dyn Fn(&str, u64) -> bool + Send + Sync;
type ReportServedFn = dyn Fn(&str, u64) + Send + Sync;
type TakeServedFn = dyn Fn() -> Vec<Served> + Send + Sync;
type PeerLoadFn = dyn Fn(&str) -> TargetLoad + Send + Sync;
type ReportLoadFn = dyn Fn(&str, TargetLoad) + Send + Sync;

/// What the entry asks of the other instances.
#[derive(Clone, Debug)]
pub struct PeerCallbacks {
    /// Whether this instance surely knows the newest keys.
    #[debug(skip)]
    pub may_serve_keyed: Arc<dyn Fn() -> bool + Send + Sync>,
    /// Whether a peer announced that a request is quarantined.
    #[debug(skip)]
    pub quarantined: Arc<IsQuarantinedFn>,
    /// Announces a quarantined request, and waits until peers refuse it.
    #[debug(skip)]
    pub notify_quarantine: Arc<NotifyQuarantineFn>,
    /// Whether an incarnation of an instance is live.
    #[debug(skip)]
    pub is_live: Arc<IsLiveFn>,
    /// Number of live instances, this one included.
    #[debug(skip)]
    pub live_instances: Arc<dyn Fn() -> u32 + Send + Sync>,
    /// Reports tokens served to an account, `SERVICE/ACCOUNT`.
    #[debug(skip)]
    pub report_served: Arc<ReportServedFn>,
    /// Takes the tokens that peers served since the last call.
    #[debug(skip)]
    pub take_served: Arc<TakeServedFn>,
    /// What peers have in flight on a target.
    #[debug(skip)]
    pub peer_load: Arc<PeerLoadFn>,
    /// Reports what this instance has in flight on a target.
    #[debug(skip)]
    pub report_load: Arc<ReportLoadFn>,
}

impl PeerCallbacks {
    /// Returns the peers of an instance that is alone.
    pub fn none() -> Self {
        Self {
            may_serve_keyed: Arc::new(|| true),
            quarantined: Arc::new(|_, _| false),
            notify_quarantine: Arc::new(|_, _| ready(()).boxed()),
            is_live: Arc::new(|_, _| true),
            live_instances: Arc::new(|| 1),
            report_served: Arc::new(|_, _| ()),
            take_served: Arc::new(Vec::new),
            peer_load: Arc::new(|_| TargetLoad::default()),
            report_load: Arc::new(|_, _| ()),
        }
    }
}
