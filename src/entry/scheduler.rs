//! Admission of requests and their assignment to targets.
//!
//! Requests for the same kind of target and model share one fair queue. A
//! request leaves it as soon as the router finds a target with room for it.

use std::sync::{Arc, Mutex, MutexGuard};

use indexmap::IndexMap;
use tokio::{sync::oneshot, time::Instant};

use crate::{
    entry::error::{Error, Result},
    platform::protocol::TargetState,
    policy::{
        load::InFlight,
        queue::{FairQueue, Popped, QueueError, QueueRequest, QueueSettings, cost_tokens},
        routing::{Availability, Choice, RouteError, RouteRequest, RouteSettings, RouteTable},
    },
    target::table::{TargetTable, TargetView},
};

/// Wait that callers are told where no better estimate exists, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// What a request needs of a target.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    /// Kind of target.
    pub(super) kind: Arc<str>,
    /// Model; empty for a plain service.
    pub(super) model: Arc<str>,
    /// Version of the weights.
    pub(super) version: Arc<str>,
    /// Adapter; empty for none.
    pub(super) adapter: Arc<str>,
    /// Account, `SERVICE/ACCOUNT`.
    pub(super) account: Arc<str>,
    /// Weight of the account.
    pub(super) weight: u32,
    /// Estimated tokens of the prompt.
    pub(super) prompt_tokens: u32,
    /// Most tokens of the answer.
    pub(super) output_tokens: u32,
    /// Chained hashes of the prompt's blocks.
    pub(super) prefix_blocks: Vec<u64>,
    /// Instant by which the answer must begin.
    pub(super) deadline: Option<Instant>,
}

/// A place on a target; given back when dropped.
#[derive(Debug)]
pub(super) struct Permit {
    /// The target.
    pub(super) target: TargetView,
    scheduler: Arc<Scheduler>,
    choice: Choice,
    queue: QueueKey,
    account: Arc<str>,
    charged_tokens: u64,
    served_tokens: u64,
}

/// Queues requests and assigns them to targets.
#[derive(Debug)]
pub(super) struct Scheduler {
    started_at: Instant,
    targets: TargetTable,
    settings: QueueSettings,
    state: Mutex<State>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct QueueKey {
    kind: Arc<str>,
    model: Arc<str>,
}

#[derive(Debug)]
struct Waiter {
    demand: Arc<Demand>,
    excluded: Arc<[Arc<str>]>,
    deadline_ms: u64,
    grant: oneshot::Sender<Result<Grant>>,
}

#[derive(Debug)]
struct Grant {
    target: TargetView,
    choice: Choice,
    charged_tokens: u64,
}

#[derive(Debug)]
struct Queue {
    waiting: FairQueue<Waiter>,
    /// Request that left the queue and waits for room.
    next: Option<Popped<Waiter>>,
}

#[derive(Debug)]
struct State {
    routes: RouteTable,
    snapshot: Arc<Vec<TargetView>>,
    queues: IndexMap<QueueKey, Queue>,
}

impl Scheduler {
    /// Creates a scheduler over the targets of a table.
    pub(super) fn new(targets: TargetTable, max_queued: u32) -> Arc<Self> {
        let settings = QueueSettings {
            max_requests: max_queued as usize,
            max_account_requests: max_queued as usize,
            ..QueueSettings::default()
        };
        Arc::new(Self {
            started_at: Instant::now(),
            targets,
            settings,
            state: Mutex::new(State {
                routes: RouteTable::new(RouteSettings::default()),
                snapshot: Arc::default(),
                queues: IndexMap::new(),
            }),
        })
    }

    /// Waits for a place on a target that is none of `excluded`.
    ///
    /// # Errors
    ///
    /// [`Error::QueueFull`], [`Error::Overloaded`] and [`Error::NoTarget`].
    pub(super) async fn acquire(
        self: &Arc<Self>,
        demand: &Arc<Demand>,
        excluded: &[Arc<str>],
    ) -> Result<Permit> {
        let (grant, granted) = oneshot::channel();
        let now_ms = self.now_ms();
        let deadline_ms = demand.deadline.map_or(u64::MAX, |at| self.ms_of(at));
        let waiter = Waiter {
            demand: Arc::clone(demand),
            excluded: excluded.into(),
            deadline_ms,
            grant,
        };
        let key = demand.queue_key();
        {
            let mut state = self.lock();
            state.observe(&self.targets, now_ms);
            let queue = state.queue(&key, &self.settings);
            queue.push(waiter, now_ms)?;
            state.pump(&key, now_ms);
        }
        let grant = granted.await.unwrap_or(Err(Error::NoTarget))?;
        Ok(Permit {
            target: grant.target,
            scheduler: Arc::clone(self),
            choice: grant.choice,
            queue: key,
            account: Arc::clone(&demand.account),
            charged_tokens: grant.charged_tokens,
            served_tokens: grant.charged_tokens,
        })
    }

    /// Takes in changes of targets and the passing of time.
    pub(super) fn tick(&self) {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        state.observe(&self.targets, now_ms);
        for index in 0..state.queues.len() {
            let Some((key, _)) = state.queues.get_index(index) else {
                continue;
            };
            let key = key.clone();
            state.pump(&key, now_ms);
        }
    }

    /// Takes in what peers have in flight on a target, and returns what this
    /// instance has there.
    pub(super) fn exchange_load(&self, target: &str, peers: InFlight) -> InFlight {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let Some(load) = state.routes.load_mut(target) else {
            return InFlight::default();
        };
        load.observe_peers(peers, now_ms);
        load.own()
    }

    /// Charges an account for what peers served to it.
    pub(super) fn add_remote(&self, account: &str, weight: u32, tokens: u64) {
        for queue in self.lock().queues.values_mut() {
            queue.waiting.add_remote(account, weight, tokens);
        }
    }

    /// Requests that wait for a target.
    pub(super) fn queued(&self) -> usize {
        self.lock().queues.values().map(Queue::len).sum()
    }

    fn release(&self, permit: &Permit) {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        state.routes.finished(&permit.choice, now_ms);
        if let Some(queue) = state.queues.get_mut(&permit.queue) {
            let (charged, served) = (permit.charged_tokens, permit.served_tokens);
            queue.waiting.settle(&permit.account, charged, served);
        }
        state.pump(&permit.queue, now_ms);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }

    fn now_ms(&self) -> u64 {
        self.ms_of(Instant::now())
    }

    fn ms_of(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.started_at).as_millis() as u64
    }
}

impl Demand {
    fn queue_key(&self) -> QueueKey {
        QueueKey {
            kind: Arc::clone(&self.kind),
            model: Arc::clone(&self.model),
        }
    }

    fn route_request<'a>(&'a self, excluded: &'a [Arc<str>]) -> RouteRequest<'a> {
        RouteRequest::new(&self.kind)
            .model(&self.model, &self.version)
            .adapter(&self.adapter)
            .tokens(self.prompt_tokens, self.output_tokens)
            .prefix_blocks(&self.prefix_blocks)
            .home_key(self.prefix_blocks.first().copied().unwrap_or(0))
            .excluded(excluded)
    }

    fn cost_tokens(&self) -> u64 {
        cost_tokens(self.prompt_tokens.into(), self.output_tokens.into())
    }
}

impl Permit {
    /// Sets the tokens that the account was really served.
    pub(super) fn set_served(&mut self, prompt_tokens: u32, output_tokens: u32) {
        self.served_tokens = cost_tokens(prompt_tokens.into(), output_tokens.into());
    }

    /// Whether the target may still get new work.
    pub(super) fn is_usable(&self) -> bool {
        let state = self.scheduler.lock();
        state
            .routes
            .target(&self.target.name)
            .is_some_and(|target| target.availability() == Availability::Live)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let scheduler = Arc::clone(&self.scheduler);
        scheduler.release(self);
    }
}

impl Queue {
    fn len(&self) -> usize {
        self.waiting.len() + usize::from(self.next.is_some())
    }

    fn push(&mut self, waiter: Waiter, now_ms: u64) -> Result<()> {
        let demand = Arc::clone(&waiter.demand);
        let deadline_ms = waiter.deadline_ms;
        let request = QueueRequest::new(Arc::clone(&demand.account), waiter)
            .weight(demand.weight)
            .cost_tokens(demand.cost_tokens())
            .deadline_ms(deadline_ms);
        match self.waiting.push(request, now_ms) {
            Ok(_) => Ok(()),
            Err(QueueError::TooLate { wait_ms }) => Err(Error::Overloaded {
                retry_after_ms: wait_ms.max(RETRY_AFTER_MS),
            }),
            Err(QueueError::Full | QueueError::AccountFull) => Err(Error::QueueFull),
        }
    }

    /// Takes the next request whose caller still waits for it.
    fn take_next(&mut self, now_ms: u64) -> Option<Popped<Waiter>> {
        self.expire(now_ms);
        loop {
            let popped = self.next.take().or_else(|| self.waiting.pop(now_ms))?;
            if !popped.item.grant.is_closed() {
                return Some(popped);
            }
            self.waiting
                .settle(&popped.account, popped.charged_tokens, 0);
        }
    }

    fn expire(&mut self, now_ms: u64) {
        let due = |popped: &mut Popped<Waiter>| popped.item.deadline_ms <= now_ms;
        if let Some(popped) = self.next.take_if(due) {
            self.waiting
                .settle(&popped.account, popped.charged_tokens, 0);
            popped.item.refuse_late();
        }
        while let Some(popped) = self.waiting.expire(now_ms) {
            popped.item.refuse_late();
        }
    }
}

impl Waiter {
    fn refuse_late(self) {
        let _ = self.grant.send(Err(Error::Overloaded {
            retry_after_ms: RETRY_AFTER_MS,
        }));
    }
}

impl State {
    fn queue(&mut self, key: &QueueKey, settings: &QueueSettings) -> &mut Queue {
        self.queues.entry(key.clone()).or_insert_with(|| Queue {
            waiting: FairQueue::new(*settings),
            next: None,
        })
    }

    /// Takes in the target table where it has changed.
    fn observe(&mut self, targets: &TargetTable, now_ms: u64) {
        let snapshot = targets.snapshot();
        if Arc::ptr_eq(&snapshot, &self.snapshot) {
            return;
        }
        for view in snapshot.iter() {
            let availability = availability(view);
            match &view.engine {
                Some(engine) => {
                    let (name, kind) = (&view.name, &view.kind);
                    self.routes
                        .observe_engine(name, kind, availability, engine, now_ms);
                }
                None => self
                    .routes
                    .observe_plain(&view.name, &view.kind, availability, now_ms),
            }
        }
        self.routes
            .retain(|name| snapshot.iter().any(|view| &*view.name == name));
        self.snapshot = snapshot;
    }

    /// Assigns queued requests for as long as there is room.
    fn pump(&mut self, key: &QueueKey, now_ms: u64) {
        let Some(queue) = self.queues.get_mut(key) else {
            return;
        };
        while let Some(popped) = queue.take_next(now_ms) {
            let waiter = &popped.item;
            match choose(&self.routes, &waiter.demand, &waiter.excluded, now_ms) {
                Ok(choice) => {
                    let Some(target) = find_target(&self.snapshot, &choice.target) else {
                        queue.next = Some(popped);
                        return;
                    };
                    let blocks = &popped.item.demand.prefix_blocks;
                    self.routes.dispatched(&choice, blocks, now_ms);
                    let grant = Grant {
                        target,
                        choice,
                        charged_tokens: popped.charged_tokens,
                    };
                    if let Err(Ok(grant)) = popped.item.grant.send(Ok(grant)) {
                        self.routes.finished(&grant.choice, now_ms);
                    }
                }
                Err(RouteError::NotHeld) => {
                    queue
                        .waiting
                        .settle(&popped.account, popped.charged_tokens, 0);
                    let _ = popped.item.grant.send(Err(Error::NoTarget));
                }
                Err(RouteError::Unavailable | RouteError::NoRoom) => {
                    queue.next = Some(popped);
                    return;
                }
            }
        }
    }
}

/// Chooses a target, if need be one that was tried before.
fn choose(
    routes: &RouteTable,
    demand: &Demand,
    excluded: &[Arc<str>],
    now_ms: u64,
) -> std::result::Result<Choice, RouteError> {
    let mut rng = rand::rng();
    match routes.choose(&demand.route_request(excluded), now_ms, &mut rng) {
        Err(RouteError::Unavailable) if !excluded.is_empty() => {
            routes.choose(&demand.route_request(&[]), now_ms, &mut rng)
        }
        other => other,
    }
}

fn find_target(snapshot: &[TargetView], name: &str) -> Option<TargetView> {
    snapshot.iter().find(|view| &*view.name == name).cloned()
}

fn availability(view: &TargetView) -> Availability {
    match view.state {
        TargetState::Starting => Availability::Starting,
        TargetState::Leaving => Availability::Leaving,
        TargetState::Live if view.is_available() => Availability::Live,
        TargetState::Live => Availability::Suspect,
    }
}
