//! Callbacks through which the entry exchanges state with the other instances, its
//! peers.

use std::sync::Arc;

use derive_more::Debug;
use futures_util::future::{BoxFuture, FutureExt, ready};

use crate::peer::{PeerAmount, TargetLoad};

type IsQuarantinedFn = dyn Fn(&str, &[u8]) -> bool + Send + Sync;
type NotifyQuarantineFn = dyn Fn(&str, &[u8]) -> BoxFuture<'static, ()> + Send + Sync;
type IsLiveFn = dyn Fn(&Arc<str>, u64) -> bool + Send + Sync;
type ReportServedFn = dyn Fn(&str, u64) + Send + Sync;
type TakeServedFn = dyn Fn() -> Vec<PeerAmount> + Send + Sync;
type PeerLoadFn = dyn Fn(&str) -> TargetLoad + Send + Sync;
type ReportLoadFn = dyn Fn(&str, TargetLoad) + Send + Sync;

/// Callbacks that query and notify the other instances.
#[derive(Clone, Debug)]
pub struct PeerCallbacks {
    /// Whether this instance certainly knows all changes of API keys, so that
    /// it may serve keyed routes.
    #[debug(skip)]
    pub may_serve_keyed: Arc<dyn Fn() -> bool + Send + Sync>,
    /// Whether a peer announced the quarantine of a request, given its account
    /// (`SERVICE/ACCOUNT`) and body digest.
    #[debug(skip)]
    pub is_quarantined: Arc<IsQuarantinedFn>,
    /// Announces the quarantine of a request and waits until the peers refuse
    /// the request.
    #[debug(skip)]
    pub notify_quarantine: Arc<NotifyQuarantineFn>,
    /// Whether an instance, given by its name, is live in the given incarnation. An
    /// incarnation that is not known yet counts as live for some time.
    #[debug(skip)]
    pub is_live: Arc<IsLiveFn>,
    /// Number of live instances, this one included.
    #[debug(skip)]
    pub live_instances: Arc<dyn Fn() -> u32 + Send + Sync>,
    /// Reports to the peers the tokens served to an account (`SERVICE/ACCOUNT`).
    #[debug(skip)]
    pub report_served: Arc<ReportServedFn>,
    /// Returns the tokens that the peers have served since the last call, by account.
    #[debug(skip)]
    pub take_served: Arc<TakeServedFn>,
    /// Returns the load that the peers have in flight on a target.
    #[debug(skip)]
    pub peer_load: Arc<PeerLoadFn>,
    /// Reports to the peers the load that this instance has in flight on a target.
    #[debug(skip)]
    pub report_load: Arc<ReportLoadFn>,
}

impl PeerCallbacks {
    /// Creates callbacks for an instance without peers.
    pub fn none() -> Self {
        Self {
            may_serve_keyed: Arc::new(|| true),
            is_quarantined: Arc::new(|_, _| false),
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
