//! Follows the configuration and the list of targets in the platform's store.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use tokio::time::{Instant, sleep};

use super::state::State;
use crate::platform::{
    CONFIGURATION_KEY, KeyedRecord, OPERATOR_TOPIC, StoreClient, StoreError, TARGET_TOPIC, Topic,
    read_catalog, read_target,
};

/// Longest wait of a read for the next record. A connection that has gone
/// silent is noticed after it and the client's timeout.
const READ_WAIT: Duration = Duration::from_millis(1_500);

/// Wait of a read while a target may come back.
const SHORT_WAIT: Duration = Duration::from_millis(200);

/// Shortest and longest delay after a failed read.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));

/// Records of a topic.
#[derive(Debug)]
enum Update {
    /// The newest record of each key, in place of all that was known.
    Snapshot(Vec<KeyedRecord>),
    /// Records after those.
    Changes(Vec<KeyedRecord>),
}

/// Follows one topic.
#[derive(Debug)]
struct Follower {
    store: StoreClient,
    topic: Topic,
    next_offset: Option<u64>,
    failed_since: Option<Instant>,
    delay: Duration,
}

impl Follower {
    fn new(store: StoreClient, topic: Topic) -> Self {
        Self {
            store,
            topic,
            next_offset: None,
            failed_since: None,
            delay: RETRY_DELAYS.0,
        }
    }

    /// Waits for the next records; `Err` after a failed read.
    async fn next(&mut self, wait: Duration) -> Result<Update, ()> {
        let result = match self.next_offset {
            None => self.read_newest().await,
            Some(from) => self.read_changes(from, wait).await,
        };
        match result {
            Ok(update) => {
                self.note_success();
                Ok(update)
            }
            Err(error) => {
                self.note_failure(&error);
                sleep(self.delay.mul_f64(rand::random_range(0.5..1.0))).await;
                self.delay = (self.delay * 2).min(RETRY_DELAYS.1);
                Err(())
            }
        }
    }

    async fn read_newest(&mut self) -> Result<Update, StoreError> {
        let newest = self.store.newest(self.topic).await?;
        self.next_offset = Some(newest.next_offset);
        Ok(Update::Snapshot(newest.records))
    }

    async fn read_changes(&mut self, from: u64, wait: Duration) -> Result<Update, StoreError> {
        let batch = self.store.read(self.topic, from, wait).await?;
        if batch.malformed > 0 {
            let topic = self.topic;
            let malformed = batch.malformed;
            tracing::warn!("gateway: {malformed} records of {topic} from {from} cannot be read");
        }
        self.next_offset = Some(batch.next_offset);
        Ok(Update::Changes(batch.records))
    }

    fn note_success(&mut self) {
        self.delay = RETRY_DELAYS.0;
        if let Some(since) = self.failed_since.take() {
            let outage_ms = since.elapsed().as_millis() as u64;
            tracing::info!(outage_ms, "gateway: store regained for {}", self.topic);
        }
    }

    fn note_failure(&mut self, error: &StoreError) {
        if let StoreError::Trimmed { first_offset } = error {
            tracing::info!(
                first_offset,
                "gateway: {} was trimmed; reading anew",
                self.topic
            );
            self.next_offset = None;
            return;
        }
        if self.failed_since.is_none() {
            tracing::warn!("gateway: store lost for {}: {error}", self.topic);
            self.failed_since = Some(Instant::now());
        }
    }
}

/// Follows the configuration for ever.
pub(super) async fn follow_catalog(state: Arc<State>, store: StoreClient) {
    let mut follower = Follower::new(store, OPERATOR_TOPIC);
    loop {
        let sent_at = Instant::now();
        let Ok(update) = follower.next(READ_WAIT).await else {
            continue;
        };
        let (Update::Snapshot(records) | Update::Changes(records)) = update;
        for record in records {
            take_configuration(&state, &record);
        }
        state.note_catalog_read(sent_at);
    }
}

fn take_configuration(state: &State, record: &KeyedRecord) {
    let offset = record.offset;
    let Some(value) = record
        .value
        .as_ref()
        .filter(|_| *record.key == *CONFIGURATION_KEY)
    else {
        tracing::info!(
            offset,
            "gateway: operator's record {} is not used",
            record.key
        );
        return;
    };
    match read_catalog(value) {
        Ok(catalog) => {
            let version = catalog.version();
            if state.set_catalog(catalog) {
                tracing::info!(version, offset, "gateway: configuration taken");
            }
        }
        Err(error) => tracing::error!(offset, "gateway: configuration refused: {error}"),
    }
}

/// Follows the list of targets for ever.
pub(super) async fn follow_targets(state: Arc<State>, store: StoreClient) {
    let mut follower = Follower::new(store, TARGET_TOPIC);
    let mut removals = PendingRemovals::new(&state);
    loop {
        let was_lost = follower.failed_since.is_some();
        let wait = match removals.is_empty() {
            true => READ_WAIT,
            false => SHORT_WAIT,
        };
        let update = follower.next(wait).await;
        removals.apply_due(&state);
        let Ok(update) = update else {
            continue;
        };
        if was_lost {
            removals.note_return();
        }
        match update {
            Update::Snapshot(records) => replace_targets(&state, &mut removals, &records),
            Update::Changes(records) => {
                for record in &records {
                    take_target(&state, &mut removals, record);
                }
            }
        }
        prune(&state);
    }
}

fn replace_targets(state: &State, removals: &mut PendingRemovals, records: &[KeyedRecord]) {
    for record in records {
        take_target(state, removals, record);
    }
    let known: Vec<Arc<str>> =
        state.with_roster(|roster| roster.iter().map(|target| target.id.clone()).collect());
    for id in known {
        if !records.iter().any(|record| record.key == id) {
            removals.remove(state, &id);
        }
    }
}

fn take_target(state: &State, removals: &mut PendingRemovals, record: &KeyedRecord) {
    let Some(value) = &record.value else {
        removals.remove(state, &record.key);
        return;
    };
    removals.cancel(&record.key);
    match read_target(&record.key, value, Instant::now()) {
        Ok(target) => {
            let known = state.with_roster(|roster| roster.get(&target.id).cloned());
            if known
                .is_none_or(|known| !known.is_same_start(&target) || known.state != target.state)
            {
                tracing::info!(
                    target = &*target.id,
                    service = &*target.service,
                    offset = record.offset,
                    "gateway: target is {:?}, role {:?}",
                    target.state,
                    target.role
                );
            }
            state.with_roster(|roster| roster.insert(target));
        }
        Err(error) => {
            let offset = record.offset;
            let key = &record.key;
            tracing::warn!(offset, "gateway: entry {key} names no target: {error}");
            state.with_roster(|roster| roster.remove(key));
        }
    }
}

/// Forgets what is kept about targets that are gone.
fn prune(state: &State) {
    let known = state.with_roster(|roster| roster.clone());
    state
        .pool
        .expire(Instant::now(), |id| known.get(id).is_some());
    state.loads().retain(|id| known.get(id).is_some());
}

/// Targets whose entries lapsed while the store was out, and that may come
/// back.
#[derive(Debug)]
struct PendingRemovals {
    return_time: Duration,
    returned_at: Option<Instant>,
    due: IndexMap<Arc<str>, Instant>,
}

impl PendingRemovals {
    fn new(state: &State) -> Self {
        Self {
            return_time: Duration::from_millis(state.settings.timing.return_ms),
            returned_at: None,
            due: IndexMap::new(),
        }
    }

    fn is_empty(&self) -> bool {
        self.due.is_empty()
    }

    /// Notes that the store answers again.
    fn note_return(&mut self) {
        self.returned_at = Some(Instant::now());
    }

    /// Removes a target, at once unless the store has just come back.
    fn remove(&mut self, state: &State, id: &Arc<str>) {
        let due_at = self.returned_at.map(|at| at + self.return_time);
        match due_at.filter(|due_at| *due_at > Instant::now()) {
            Some(due_at) => {
                tracing::info!(target = &**id, "gateway: target lapsed in an outage");
                self.due.insert(id.clone(), due_at);
            }
            None => drop_target(state, id),
        }
    }

    fn cancel(&mut self, id: &str) {
        self.due.swap_remove(id);
    }

    fn apply_due(&mut self, state: &State) {
        let now = Instant::now();
        self.due.retain(|id, due_at| {
            if *due_at > now {
                return true;
            }
            drop_target(state, id);
            false
        });
    }
}

fn drop_target(state: &State, id: &Arc<str>) {
    if state.with_roster(|roster| roster.remove(id)).is_some() {
        tracing::info!(target = &**id, "gateway: target is gone");
    }
}
