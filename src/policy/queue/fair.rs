//! Implementation of the fair queue.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
};

use indexmap::IndexMap;

use super::{
    DequeuedRequest, QueueError, QueueRequest, QueueSettings, Ticket,
    account::{AccountQueue, Queued},
    rate::{DrainRate, MS_PER_S},
};

/// A bounded queue that shares its drain rate fairly between client accounts.
///
/// Each account has a counter of the tokens served to it, divided by its weight.
/// The queue dispatches the oldest request of the account with the lowest counter.
///
/// ```
/// use lavenderwind::policy::queue::{FairQueue, QueueRequest, QueueSettings};
///
/// let mut queue = FairQueue::new(QueueSettings::default());
/// let request = QueueRequest::new("shop/a".into(), "first").cost_tokens(120);
/// queue.push(request, 0).unwrap();
/// let dequeued = queue.pop(5).unwrap();
/// queue.adjust_charge(&dequeued.account, dequeued.charged_tokens, 90);
/// assert_eq!(dequeued.item, "first");
/// ```
#[derive(Debug)]
pub struct FairQueue<T> {
    settings: QueueSettings,
    /// Counter and backlog by account name.
    accounts: IndexMap<Arc<str>, AccountQueue<T>>,
    /// Counter and index of each account with queued requests, ordered by counter.
    backlogged: BTreeSet<(u64, usize)>,
    /// Latest start (in milliseconds) and ticket of each queued request.
    deadlines: BTreeSet<(u64, Ticket)>,
    queued_tokens: u64,
    /// Highest counter at which an account was served.
    virtual_time: u64,
    next_sequence: u64,
    rate: DrainRate,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            accounts: IndexMap::new(),
            backlogged: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            queued_tokens: 0,
            virtual_time: 0,
            next_sequence: 0,
            rate: DrainRate::new(settings.initial_tokens_per_s),
        }
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.deadlines.len()
    }

    /// Returns `true` if no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.deadlines.is_empty()
    }

    /// Returns the total estimated cost of the queued requests, in tokens.
    #[must_use]
    pub fn queued_tokens(&self) -> u64 {
        self.queued_tokens
    }

    /// Returns the drain rate used for predictions, in tokens per second.
    #[must_use]
    pub fn drain_tokens_per_s(&self) -> u64 {
        self.rate.tokens_per_s
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// Fails if a bound on the number of requests is reached, or if the predicted
    /// wait is too long for the request's deadline.
    pub fn push(&mut self, request: QueueRequest<T>, now_ms: u64) -> Result<Ticket, QueueError> {
        if self.len() >= self.settings.max_requests {
            return Err(QueueError::Full);
        }
        let index = self.ensure_account(&request.account, request.weight);
        if self.accounts[index].requests.len() >= self.settings.max_account_requests {
            return Err(QueueError::AccountFull);
        }
        let latest_start_ms = request.deadline_ms.saturating_sub(request.service_ms);
        self.check_deadline(index, latest_start_ms, now_ms)?;

        if self.is_empty() {
            self.rate.restart_sample(now_ms);
        }
        let ticket = Ticket {
            account: index,
            sequence: self.next_sequence,
        };
        self.next_sequence += 1;
        self.mark_backlogged(index);
        let account = &mut self.accounts[index];
        account.queued_tokens += request.cost_tokens;
        account.requests.push_back(Queued {
            item: request.item,
            sequence: ticket.sequence,
            cost_tokens: request.cost_tokens,
            queued_at_ms: now_ms,
            latest_start_ms,
        });
        self.queued_tokens += request.cost_tokens;
        self.deadlines.insert((latest_start_ms, ticket));
        Ok(ticket)
    }

    /// Returns the item that [`Self::pop`] would remove next.
    ///
    /// This lets a caller check that a target has room for the request before
    /// [`Self::pop`] charges the request's account.
    #[must_use]
    pub fn peek(&self) -> Option<&T> {
        let &(_, index) = self.backlogged.first()?;
        let queued = self.accounts[index].requests.front()?;
        Some(&queued.item)
    }

    /// Removes the next request to dispatch and charges its estimated cost to its
    /// account.
    ///
    /// Call [`Self::expire`] until it returns `None` first, so that no late request is
    /// dispatched.
    pub fn pop(&mut self, now_ms: u64) -> Option<DequeuedRequest<T>> {
        let &(counter, index) = self.backlogged.first()?;
        self.virtual_time = self.virtual_time.max(counter);
        let sequence = self.accounts[index].requests.front()?.sequence;
        let ticket = Ticket {
            account: index,
            sequence,
        };
        let (queued, account) = self.remove_queued(ticket)?;
        self.add_counter(index, queued.cost_tokens);
        self.rate.record_dispatch(queued.cost_tokens, now_ms);
        Some(DequeuedRequest {
            account,
            item: queued.item,
            charged_tokens: queued.cost_tokens,
            waited_ms: now_ms.saturating_sub(queued.queued_at_ms),
        })
    }

    /// Removes a request that can no longer meet its deadline, if there is one.
    ///
    /// The account is not charged. A request is removed once its latest start has
    /// passed, which is its [service time](QueueRequest::service_ms) before its
    /// deadline. If this method is called at intervals of at most the service time, the
    /// caller can therefore refuse the request before the deadline has passed.
    pub fn expire(&mut self, now_ms: u64) -> Option<DequeuedRequest<T>> {
        let &(latest_start_ms, ticket) = self.deadlines.first()?;
        if latest_start_ms >= now_ms {
            return None;
        }
        self.remove_uncharged(ticket, now_ms)
    }

    /// Returns the earliest instant, in milliseconds, at which [`Self::expire`] would
    /// remove a request.
    #[must_use]
    pub fn next_expiry_ms(&self) -> Option<u64> {
        let &(latest_start_ms, _) = self.deadlines.first()?;
        Some(latest_start_ms.saturating_add(1))
    }

    /// Removes a request without charging its account, for instance after its
    /// caller has disconnected.
    pub fn remove_uncharged(&mut self, ticket: Ticket, now_ms: u64) -> Option<DequeuedRequest<T>> {
        let (queued, account) = self.remove_queued(ticket)?;
        Some(DequeuedRequest {
            account,
            item: queued.item,
            charged_tokens: 0,
            waited_ms: now_ms.saturating_sub(queued.queued_at_ms),
        })
    }

    /// Replaces the estimated charge of a dispatched request by the actual cost,
    /// `served_tokens`.
    pub fn adjust_charge(&mut self, account: &str, charged_tokens: u64, served_tokens: u64) {
        let Some(index) = self.accounts.get_index_of(account) else {
            return;
        };
        if served_tokens >= charged_tokens {
            self.add_counter(index, served_tokens - charged_tokens);
            return;
        }
        let refund = self.accounts[index].counter_units(charged_tokens - served_tokens);
        let counter = self.accounts[index].counter.saturating_sub(refund);
        self.set_counter(index, counter);
    }

    /// Charges an account for tokens that peers served to it.
    ///
    /// The charge raises the account's counter above the virtual time by at most
    /// the tokens that this queue drains in `max_lead_ms`. Without this bound, an
    /// account to which peers served many tokens would get nothing from this queue
    /// for a long time.
    pub fn charge_for_peers(&mut self, account: &str, weight: u32, tokens: u64) {
        let index = self.ensure_account(account, weight);
        let lead_tokens = self
            .rate
            .tokens_per_s
            .saturating_mul(self.settings.max_lead_ms)
            / MS_PER_S;
        let account_queue = &self.accounts[index];
        let max_counter = self
            .virtual_time
            .saturating_add(account_queue.counter_units(lead_tokens));
        let counter = account_queue.counter.max(self.virtual_time);
        let charged = counter
            .saturating_add(account_queue.counter_units(tokens))
            .min(max_counter);
        self.set_counter(index, charged.max(account_queue.counter));
    }

    /// Predicts the shortest wait of a request that an account would queue now,
    /// in milliseconds.
    ///
    /// If no other requests arrive, the prediction differs from the actual wait by at
    /// most the time to drain one request per account. Later arrivals can only
    /// lengthen the actual wait.
    #[must_use]
    pub fn predicted_wait_ms(&self, account: &str) -> u64 {
        let index = self.accounts.get_index_of(account);
        self.rate.duration_ms(self.tokens_ahead(index, u64::MAX))
    }

    /// Removes the accounts for which `keep` returns `false`; does nothing while
    /// any request is queued.
    pub fn retain_accounts<F>(&mut self, mut keep: F)
    where
        F: FnMut(&str) -> bool,
    {
        // Removal changes account indices, which tickets of queued requests contain.
        if !self.is_empty() {
            return;
        }
        self.accounts.retain(|name, _| keep(name));
    }

    /// Returns an error if a request's predicted wait exceeds the time that is left
    /// until its latest start.
    fn check_deadline(
        &self,
        index: usize,
        latest_start_ms: u64,
        now_ms: u64,
    ) -> Result<(), QueueError> {
        let Some(slack_ms) = latest_start_ms.checked_sub(now_ms) else {
            return Err(QueueError::TooLate { wait_ms: 0 });
        };
        if self.rate.duration_ms(self.queued_tokens) <= slack_ms {
            return Ok(());
        }
        let slack_tokens = slack_ms
            .saturating_add(1)
            .saturating_mul(self.rate.tokens_per_s)
            .div_ceil(MS_PER_S);
        let ahead_tokens = self.tokens_ahead(Some(index), slack_tokens);
        let wait_ms = self.rate.duration_ms(ahead_tokens);
        if wait_ms > slack_ms {
            return Err(QueueError::TooLate { wait_ms });
        }
        Ok(())
    }

    /// Sums the queued tokens that are dispatched before a request that the account at
    /// `index` (`None` for an unknown account) would queue now. The summation stops
    /// once the sum exceeds `enough_tokens`.
    fn tokens_ahead(&self, index: Option<usize>, enough_tokens: u64) -> u64 {
        let own_queue = index.map(|index| &self.accounts[index]);
        let mut ahead_tokens = own_queue.map_or(0, |own| own.queued_tokens);
        let start_counter = own_queue.map_or(self.idle_start_counter(), |own| {
            own.counter.max(self.idle_start_counter()) + own.counter_units(own.queued_tokens)
        });
        for &(counter, other) in &self.backlogged {
            if counter >= start_counter || ahead_tokens > enough_tokens {
                break;
            }
            if Some(other) == index {
                continue;
            }
            let account = &self.accounts[other];
            ahead_tokens += account
                .tokens_for_units(start_counter - counter)
                .min(account.queued_tokens);
        }
        ahead_tokens
    }

    /// Returns the lower bound to which an idle account's counter is raised when the
    /// account queues a request. An account thus cannot save up service while it is
    /// idle.
    fn idle_start_counter(&self) -> u64 {
        match self.backlogged.first() {
            Some(&(counter, _)) => counter.min(self.virtual_time),
            None => self.virtual_time,
        }
    }

    /// Returns the index of an account and sets its weight; adds the account if it is
    /// new.
    fn ensure_account(&mut self, name: &str, weight: u32) -> usize {
        let weight = weight.max(1);
        let Some(index) = self.accounts.get_index_of(name) else {
            let account = AccountQueue {
                weight,
                counter: 0,
                queued_tokens: 0,
                requests: VecDeque::new(),
            };
            return self.accounts.insert_full(name.into(), account).0;
        };
        self.accounts[index].weight = weight;
        index
    }

    /// Raises the counter of an idle account that is about to queue a request, and
    /// marks the account as backlogged.
    fn mark_backlogged(&mut self, index: usize) {
        let floor = self.idle_start_counter();
        let account = &mut self.accounts[index];
        if !account.requests.is_empty() {
            return;
        }
        account.counter = account.counter.max(floor);
        self.backlogged.insert((account.counter, index));
    }

    fn add_counter(&mut self, index: usize, tokens: u64) {
        let account = &self.accounts[index];
        let counter = account
            .counter
            .saturating_add(account.counter_units(tokens));
        self.set_counter(index, counter);
    }

    fn set_counter(&mut self, index: usize, counter: u64) {
        let account = &mut self.accounts[index];
        let old_counter = std::mem::replace(&mut account.counter, counter);
        if self.backlogged.remove(&(old_counter, index)) {
            self.backlogged.insert((counter, index));
        }
    }

    fn remove_queued(&mut self, ticket: Ticket) -> Option<(Queued<T>, Arc<str>)> {
        let (name, account) = self.accounts.get_index_mut(ticket.account)?;
        let position = account
            .requests
            .binary_search_by_key(&ticket.sequence, |queued| queued.sequence)
            .ok()?;
        let queued = account.requests.remove(position)?;
        account.queued_tokens -= queued.cost_tokens;
        if account.requests.is_empty() {
            self.backlogged.remove(&(account.counter, ticket.account));
        }
        self.queued_tokens -= queued.cost_tokens;
        self.deadlines.remove(&(queued.latest_start_ms, ticket));
        Some((queued, Arc::clone(name)))
    }
}
