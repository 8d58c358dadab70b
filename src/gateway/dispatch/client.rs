//! Queries the dispatcher of a service, and reports placements to it.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use indexmap::IndexMap;
use tokio::{
    net::UdpSocket,
    sync::oneshot,
    time::{Instant, timeout},
};

use super::{
    datagram::{decode_reason, encode, encode_prompt},
    frames::{Ended, Failure, Notice, Prefilled, datagram::Body},
    query::{build_query, decode_choice, record_query},
    ticket::Ticket,
};
use crate::{
    call::{Call, Prompt},
    gateway::{caller::reply::Refusal, engine::placement::PrefillChoice, state::State},
    peer::rendezvous_order,
    policy::dispatch::{OpenQueries, Preference},
    roster::Target,
    sync::lock,
};

/// Time limit for the answer to a query. An instance on a small share of a processor may
/// take some tens of milliseconds.
const QUERY_TIMEOUT: Duration = Duration::from_millis(40);

/// Time for which the rendezvous order of a service is reused.
const ORDER_PERIOD: Duration = Duration::from_millis(250);

/// Bits of the first placement number below the time of the start, so that an instance that
/// starts again does not reuse numbers.
const NUMBER_BITS: u32 = 20;

/// Outcome of a query.
#[derive(Debug)]
pub(in crate::gateway) enum QueryOutcome {
    /// The dispatcher has chosen an engine.
    Placed(PrefillChoice),
    /// The dispatcher refuses the request.
    Refused(Refusal),
    /// There is no usable answer. The instance decides on the placement itself.
    Unanswered {
        /// Reports the placement to the dispatcher, which may count it already.
        ticket: Ticket,
    },
}

/// Placement of this instance whose request has not ended.
#[derive(Debug)]
struct Outstanding {
    notice: Notice,
    sent_at: Instant,
    deadline: Instant,
}

/// Rendezvous order of the instances for a service.
#[derive(Debug)]
struct Order {
    addresses: Vec<SocketAddr>,
    computed_at: Instant,
}

/// Placements that one instance decides on for all.
#[derive(Debug)]
pub(in crate::gateway) struct Dispatch {
    pub(super) socket: UdpSocket,
    pub(super) own_address: SocketAddr,
    next_number: AtomicU64,
    open_queries: Mutex<OpenQueries<oneshot::Sender<Body>>>,
    outstanding: Mutex<IndexMap<u64, Outstanding>>,
    preference: Mutex<Preference>,
    orders: Mutex<IndexMap<Arc<str>, Order>>,
    /// Dispatcher of each service to which the outstanding placements are reported.
    dispatchers: Mutex<IndexMap<Arc<str>, SocketAddr>>,
}

impl Dispatch {
    /// Creates the shared placement over `socket`. `started_at_unix_ms` is the start of the
    /// instance.
    pub(in crate::gateway) fn new(
        socket: UdpSocket,
        own_address: SocketAddr,
        started_at_unix_ms: u64,
    ) -> Arc<Self> {
        Arc::new(Self {
            socket,
            own_address,
            next_number: AtomicU64::new(started_at_unix_ms << NUMBER_BITS),
            open_queries: Mutex::default(),
            outstanding: Mutex::default(),
            preference: Mutex::default(),
            orders: Mutex::default(),
            dispatchers: Mutex::default(),
        })
    }

    /// Asks the dispatcher of the call's service to place its prompt.
    pub(in crate::gateway) async fn query(
        self: &Arc<Self>,
        state: &State,
        call: &Call,
        prompt: &Prompt,
        tried: &[Arc<str>],
        may_refuse: bool,
    ) -> QueryOutcome {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        // From now on, the dispatcher may count the placement. The ticket ends it there, also
        // if the call is dropped.
        let ticket = Ticket::new(self, &call.service, number);
        let Some(dispatcher) = self.dispatcher(state, &call.service) else {
            return QueryOutcome::Unanswered { ticket };
        };
        let asked_at = Instant::now();
        let query = build_query(call, prompt, tried, may_refuse, number);
        let (sender, receiver) = oneshot::channel();
        lock(&self.open_queries).insert(number, dispatcher, sender);
        self.send(dispatcher, Body::Query(query));
        let answer = timeout(QUERY_TIMEOUT, receiver).await;
        let Ok(Ok(answer)) = answer else {
            lock(&self.open_queries).remove(number);
            lock(&self.preference).record_miss(dispatcher, state.now_ms());
            record_query("unanswered", asked_at);
            tracing::info!(
                request = &*call.id,
                dispatcher = %dispatcher,
                "dispatch: query not answered"
            );
            return QueryOutcome::Unanswered { ticket };
        };
        lock(&self.preference).record_answer(dispatcher);
        match answer {
            Body::Refused(refused) => {
                record_query("refused", asked_at);
                ticket.discard();
                QueryOutcome::Refused(Refusal::Short {
                    reason: decode_reason(refused.reason()),
                    wait_ms: refused.wait_ms,
                    retry_after_ms: refused.retry_after_ms,
                })
            }
            Body::Placed(placed) => {
                let Some(mut choice) = decode_choice(state, call, &placed) else {
                    record_query("unusable", asked_at);
                    return QueryOutcome::Unanswered { ticket };
                };
                record_query("placed", asked_at);
                self.keep(call, prompt, &choice, number);
                choice.ticket = Some(ticket);
                QueryOutcome::Placed(choice)
            }
            _ => {
                record_query("declined", asked_at);
                QueryOutcome::Unanswered { ticket }
            }
        }
    }

    /// Tells the dispatcher of a placement that this instance has decided on itself. `ticket`
    /// is that of the query.
    pub(in crate::gateway) fn announce(
        &self,
        state: &State,
        call: &Call,
        prompt: &Prompt,
        choice: &PrefillChoice,
        ticket: &Ticket,
    ) {
        let number = ticket.number();
        self.keep(call, prompt, choice, number);
        if let Some(dispatcher) = self.dispatcher(state, &call.service) {
            let notice = lock(&self.outstanding)
                .get(&number)
                .map(|outstanding| outstanding.notice.clone());
            if let Some(notice) = notice {
                self.send(dispatcher, Body::Notice(notice));
            }
        }
    }

    /// Keeps a placement as outstanding until its ticket is dropped.
    fn keep(&self, call: &Call, prompt: &Prompt, choice: &PrefillChoice, number: u64) {
        let now = Instant::now();
        let decode_target = choice.decode_target.as_ref();
        let notice = Notice {
            number,
            service: call.service.to_string(),
            prompt: Some(encode_prompt(prompt)),
            target: choice.target.id.to_string(),
            decode_target: decode_target.map_or_else(String::new, |target| target.id.to_string()),
            local_prefill: choice.is_local_prefill,
            uncached_tokens: choice.uncached_tokens,
            prefilled: false,
            left_ms: call.time_left(now).as_millis() as u32,
        };
        let outstanding = Outstanding {
            notice,
            sent_at: now,
            deadline: call.deadline,
        };
        lock(&self.outstanding).insert(number, outstanding);
    }

    /// Reports that the prompt of a placement is prefilled.
    pub(super) fn report_prefilled(&self, service: &Arc<str>, number: u64) {
        let mut all = lock(&self.outstanding);
        let Some(outstanding) = all.get_mut(&number) else {
            return;
        };
        outstanding.notice.prefilled = true;
        let elapsed_ms = outstanding.sent_at.elapsed().as_millis() as u32;
        drop(all);
        self.report(
            service,
            Body::Prefilled(Prefilled {
                number,
                service: service.to_string(),
                elapsed_ms,
            }),
        );
    }

    /// Reports that a placement has ended.
    pub(super) fn report_end(&self, service: &Arc<str>, number: u64) {
        // The query is still open if its call was dropped.
        lock(&self.open_queries).remove(number);
        lock(&self.outstanding).swap_remove(&number);
        self.report(
            service,
            Body::Ended(Ended {
                number,
                service: service.to_string(),
            }),
        );
    }

    /// Reports that an attempt failed at a target.
    pub(in crate::gateway) fn report_failure(&self, target: &Target, refused: bool) {
        let failure = Failure {
            target: target.id.to_string(),
            refused,
        };
        self.report(&target.service, Body::Failure(failure));
    }

    /// Passes an answer from `sender` on to the query that waits for it. Counts an answer that
    /// is ignored.
    pub(super) fn complete(&self, number: u64, sender: SocketAddr, answer: Body) {
        let taken = lock(&self.open_queries).take(number, sender);
        match taken {
            Ok(waiting) => {
                // The query may have timed out meanwhile.
                let _ = waiting.send(answer);
            }
            Err(cause) => {
                let label = cause.to_string();
                metrics::counter!("dispatch_datagrams_ignored_total", "cause" => label)
                    .increment(1);
                tracing::debug!(number, sender = %sender, "dispatch: answer ignored: {cause}");
            }
        }
    }

    /// Sends a message. A message that cannot be sent at once is dropped, as any datagram
    /// may be.
    pub(super) fn send(&self, address: SocketAddr, body: Body) {
        let Some(bytes) = encode(body) else {
            metrics::counter!("dispatch_datagrams_dropped_total", "cause" => "size").increment(1);
            return;
        };
        if self.socket.try_send_to(&bytes, address).is_err() {
            metrics::counter!("dispatch_datagrams_dropped_total", "cause" => "socket").increment(1);
        }
    }

    /// Sends a message to the dispatcher of a service that was last queried.
    fn report(&self, service: &Arc<str>, body: Body) {
        let dispatcher = lock(&self.dispatchers).get(service).copied();
        if let Some(dispatcher) = dispatcher {
            self.send(dispatcher, body);
        }
    }

    /// Returns the dispatcher of a service. If it is another one than before, it is sent all
    /// outstanding placements first.
    fn dispatcher(&self, state: &State, service: &Arc<str>) -> Option<SocketAddr> {
        let order = self.order(state, service);
        let chosen = lock(&self.preference).choose(&order, state.now_ms())?;
        let previous = lock(&self.dispatchers).insert(service.clone(), chosen);
        if previous != Some(chosen) {
            self.send_outstanding(service, chosen);
        }
        Some(chosen)
    }

    fn send_outstanding(&self, service: &Arc<str>, dispatcher: SocketAddr) {
        let now = Instant::now();
        let mut notices = Vec::new();
        for outstanding in lock(&self.outstanding).values() {
            if *outstanding.notice.service != **service {
                continue;
            }
            let mut notice = outstanding.notice.clone();
            let left = outstanding.deadline.saturating_duration_since(now);
            notice.left_ms = left.as_millis() as u32;
            notices.push(notice);
        }
        tracing::info!(
            service = &**service,
            dispatcher = %dispatcher,
            outstanding = notices.len(),
            "dispatch: dispatcher changed"
        );
        for notice in notices {
            self.send(dispatcher, Body::Notice(notice));
        }
    }

    /// Returns the addresses of the live instances in rendezvous order.
    fn order(&self, state: &State, service: &Arc<str>) -> Vec<SocketAddr> {
        let mut orders = lock(&self.orders);
        if let Some(order) = orders.get(service)
            && order.computed_at.elapsed() < ORDER_PERIOD
        {
            return order.addresses.clone();
        }
        let addresses = self.compute_order(state, service);
        let order = Order {
            addresses: addresses.clone(),
            computed_at: Instant::now(),
        };
        orders.insert(service.clone(), order);
        addresses
    }

    fn compute_order(&self, state: &State, service: &str) -> Vec<SocketAddr> {
        let Some(peers) = state.peers() else {
            return Vec::new();
        };
        let mut instances: IndexMap<Arc<str>, SocketAddr> = IndexMap::new();
        for peer in peers.reachable() {
            let address = peer
                .peer_address
                .as_ref()
                .and_then(|text| text.parse().ok());
            if let Some(address) = address.filter(|_| !peer.leaving) {
                instances.insert(peer.name, address);
            }
        }
        if !state.is_stopping() {
            instances.insert(state.settings.name.clone(), self.own_address);
        }
        let mut addresses = Vec::with_capacity(instances.len());
        for name in rendezvous_order(service, instances.keys()) {
            addresses.push(instances[name]);
        }
        addresses
    }
}
