//! Memory for the answers of targets, with one limit for all answers in flight.

use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use indexmap::IndexMap;
use tokio_util::sync::CancellationToken;

use crate::{
    policy::answer_budget::{AnswerBudget, Resized},
    sync,
};

/// Divisor of the instance's memory limit; the quotient is the limit for answers. Up to
/// [`MAX_WITH_EVICTED`](crate::policy::answer_budget::MAX_WITH_EVICTED) times as much is used
/// while answers are given up.
const ANSWER_MEMORY_DIVISOR: u64 = 5;

/// Failure to read a whole answer.
#[derive(Debug, Display)]
pub(in crate::gateway) enum Error {
    /// answer body exceeds {max_bytes} bytes
    TooLarge {
        /// Limit of the answer.
        max_bytes: usize,
    },
    /// no memory left for the answer
    OutOfMemory,
    /// {0}
    Broken(hyper::Error),
}

/// Memory of all answers in flight.
#[derive(Debug, Default)]
pub(in crate::gateway) struct AnswerMemory {
    limit_bytes: AtomicUsize,
    answers: Mutex<Answers>,
}

#[derive(Debug, Default)]
struct Answers {
    budget: AnswerBudget,
    /// Cancelled if the answer must be given up, by its number.
    evictions: IndexMap<u64, CancellationToken>,
}

impl AnswerMemory {
    /// Sets the limit from the memory limit of the instance.
    pub(in crate::gateway) fn set_limit(&self, instance_bytes: u64) {
        let limit_bytes = (instance_bytes / ANSWER_MEMORY_DIVISOR) as usize;
        self.limit_bytes.store(limit_bytes, Ordering::Relaxed);
    }

    /// Returns whether more than three quarters of the limit are in use.
    pub(in crate::gateway) fn is_short(&self) -> bool {
        let limit_bytes = self.limit_bytes.load(Ordering::Relaxed);
        self.lock().budget.total_bytes() > limit_bytes / 4 * 3
    }

    /// Returns the share of a new answer, which has no memory yet.
    pub(in crate::gateway) fn share(self: &Arc<Self>) -> MemoryShare {
        let evicted = CancellationToken::new();
        let mut answers = self.lock();
        let number = answers.budget.open();
        answers.evictions.insert(number, evicted.clone());
        drop(answers);
        MemoryShare {
            memory: self.clone(),
            number,
            bytes: 0,
            evicted,
        }
    }

    /// Changes the memory of an answer; returns whether it was granted.
    fn resize(&self, number: u64, bytes: usize) -> bool {
        let limit_bytes = self.limit_bytes.load(Ordering::Relaxed);
        let mut answers = self.lock();
        let Resized::Granted { evicted } = answers.budget.resize(number, bytes, limit_bytes) else {
            return false;
        };
        for evicted in evicted {
            if let Some(eviction) = answers.evictions.swap_remove(&evicted) {
                eviction.cancel();
            }
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, Answers> {
        sync::lock(&self.answers)
    }
}

/// Share of one answer in the memory for answers; released on drop.
#[derive(Debug)]
pub(in crate::gateway) struct MemoryShare {
    memory: Arc<AnswerMemory>,
    number: u64,
    bytes: usize,
    evicted: CancellationToken,
}

impl MemoryShare {
    /// Changes the memory of the answer.
    ///
    /// # Errors
    ///
    /// Fails if the answer must be given up because the limit is reached.
    pub(in crate::gateway) fn resize(&mut self, bytes: usize) -> Result<(), Error> {
        if bytes == self.bytes {
            return Ok(());
        }
        if !self.memory.resize(self.number, bytes) {
            metrics::counter!("gateway_answers_out_of_memory_total").increment(1);
            return Err(Error::OutOfMemory);
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Waits until the answer must be given up because smaller ones need the memory.
    pub(in crate::gateway) async fn evicted(&self) {
        self.evicted.cancelled().await;
        metrics::counter!("gateway_answers_out_of_memory_total").increment(1);
    }

    /// Marks the answer as complete, so that it is kept until it is delivered.
    fn complete(&self) {
        self.memory.lock().budget.complete(self.number);
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        let mut answers = self.memory.lock();
        answers.budget.close(self.number);
        answers.evictions.swap_remove(&self.number);
    }
}

/// A whole body with its share of the memory, which is released when the last reference to
/// the bytes is dropped.
#[derive(Debug)]
struct HeldBytes {
    bytes: Vec<u8>,
    _memory: MemoryShare,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a body to its end, into one buffer. The sizes of its chunks, which the sender
/// chooses, thus do not matter.
///
/// # Errors
///
/// Fails if the body breaks off, exceeds `max_bytes`, or must be given up because the memory
/// for answers is used up.
pub(in crate::gateway) async fn read_whole(
    memory: &Arc<AnswerMemory>,
    mut body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, Error> {
    let mut memory = memory.share();
    let mut bytes: Vec<u8> = Vec::new();
    loop {
        let frame = tokio::select! {
            biased;
            () = memory.evicted() => return Err(Error::OutOfMemory),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else {
            break;
        };
        let frame = frame.map_err(Error::Broken)?;
        let Some(chunk) = frame.data_ref() else {
            continue;
        };
        let needed_bytes = bytes.len() + chunk.len();
        if needed_bytes > max_bytes {
            return Err(Error::TooLarge { max_bytes });
        }
        if needed_bytes > bytes.capacity() {
            let capacity = needed_bytes.max(2 * bytes.capacity()).min(max_bytes);
            memory.resize(capacity)?;
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(chunk);
    }
    memory.complete();
    Ok(Bytes::from_owner(HeldBytes {
        bytes,
        _memory: memory,
    }))
}
