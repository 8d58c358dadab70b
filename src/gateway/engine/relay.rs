//! Relays an event stream to its caller, and resumes the stream at another engine if
//! the engine fails.

use std::{io, sync::Arc};

use bytes::Bytes;
use futures_util::{Stream, stream};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::{
    call::{Call, Step},
    gateway::{
        caller::answer_guard::AnswerGuard,
        engine::{
            decode,
            events::EventSplitter,
            stream_times::{StartWork, StreamTimes},
        },
        state::State,
        target::{
            answer_memory::{self, MemoryShare},
            attempt::{self, Answer, AttemptError},
            attempt_history::AttemptHistory,
            crash::CallGuard,
            in_flight::InFlightGuard,
            loads::AttemptOutcome,
            pool::Connection,
        },
    },
    intake::HeldMemory,
    platform::AttemptHead,
    policy::retry::RetryDecision,
    roster::Target,
};

/// The stream of the engine that currently generates the answer.
#[derive(Debug)]
pub(in crate::gateway) struct EngineStream {
    target: Arc<Target>,
    body: Incoming,
    connection: Connection,
    in_flight: InFlightGuard,
    call_in_flight: CallGuard,
    /// Whether the answer itself marks its end, so that it cannot end with its connection.
    is_delimited: bool,
    times: StreamTimes,
}

impl EngineStream {
    pub(in crate::gateway) fn new(
        answer: Answer,
        in_flight: InFlightGuard,
        times: StreamTimes,
    ) -> Self {
        let target = answer.target.clone();
        let is_delimited = answer.head.is_delimited;
        let (body, connection, call_in_flight) = answer.into_stream();
        Self {
            target,
            body,
            connection,
            in_flight,
            call_in_flight,
            is_delimited,
            times,
        }
    }
}

/// An event stream that is relayed to its caller.
#[derive(Debug)]
pub(in crate::gateway) struct Relay {
    state: Arc<State>,
    call: Arc<Call>,
    /// Stream of the current engine; `None` after that engine has failed or the stream
    /// has ended.
    source: Option<EngineStream>,
    splitter: EventSplitter,
    /// Memory of the incomplete event.
    event_memory: MemoryShare,
    history: AttemptHistory,
    guard: AnswerGuard,
    last_event_id: Option<Arc<str>>,
    event_count: usize,
    /// Memory of the request body, which is kept to be sent again if the stream is
    /// resumed.
    _memory: Option<HeldMemory>,
}

/// Result of waiting for more bytes of a stream.
enum StreamRead {
    /// Complete events for the caller.
    Events(Bytes),
    /// The engine ended the stream.
    End,
    Failed(AttemptError),
}

impl StreamRead {
    fn out_of_memory() -> Self {
        let error = answer_memory::Error::OutOfMemory;
        Self::Failed(AttemptError::incomplete_answer(error))
    }
}

impl Relay {
    pub(in crate::gateway) fn new(
        state: Arc<State>,
        call: Arc<Call>,
        source: EngineStream,
        history: AttemptHistory,
        memory: Option<HeldMemory>,
    ) -> Self {
        let last_event_id = call.resume_after.clone();
        let event_memory = state.answer_memory.share();
        let guard = AnswerGuard::new(Some(call.id.clone()), call.caller.clone(), call.received_at);
        call.caller.enter(Step::Relay);
        Self {
            guard,
            event_memory,
            state,
            call,
            source: Some(source),
            splitter: EventSplitter::default(),
            history,
            last_event_id,
            event_count: 0,
            _memory: memory,
        }
    }

    /// Returns the stream of bytes for the caller. An error in the stream closes the
    /// caller's connection before the end of the body, so that the caller notices
    /// that the answer is incomplete.
    pub(in crate::gateway) fn into_stream(self) -> impl Stream<Item = io::Result<Bytes>> + Send {
        stream::unfold(self, |mut relay| async move {
            let item = relay.next_chunk().await?;
            Some((item, relay))
        })
    }

    async fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        while !self.guard.is_finished() {
            match self.read_events().await {
                StreamRead::Events(bytes) => return Some(Ok(bytes)),
                StreamRead::End => {
                    self.finish();
                    return None;
                }
                StreamRead::Failed(error) => {
                    if self.resume(&error).await {
                        continue;
                    }
                    self.guard.finish();
                    return Some(Err(io::Error::other(error.to_string())));
                }
            }
        }
        None
    }

    async fn read_events(&mut self) -> StreamRead {
        let Some(source) = &mut self.source else {
            return StreamRead::Failed(AttemptError::incomplete_answer(
                "no engine left to resume the stream",
            ));
        };
        loop {
            let reading = timeout_at(self.call.deadline, source.body.frame());
            let read = tokio::select! {
                biased;
                () = self.event_memory.evicted() => return StreamRead::out_of_memory(),
                read = reading => read,
            };
            let frame = match read {
                Err(_) => return StreamRead::Failed(AttemptError::timeout()),
                Ok(Some(Err(error))) => {
                    source.call_in_flight.mark_broken();
                    return StreamRead::Failed(AttemptError::connection_lost(error));
                }
                Ok(None) if self.splitter.take_pending().is_empty() => return StreamRead::End,
                Ok(None) => {
                    source.call_in_flight.mark_broken();
                    let cause = "stream ended inside an event";
                    return StreamRead::Failed(AttemptError::connection_lost(cause));
                }
                Ok(Some(Ok(frame))) => frame,
            };
            let Some(bytes) = frame.data_ref() else {
                continue;
            };
            let events = self.splitter.push(bytes);
            let has_memory = self.event_memory.resize(self.splitter.pending_bytes());
            let Some(events) = events else {
                if self.splitter.exceeds_limit() {
                    let cause = "event exceeds 1 MiB";
                    return StreamRead::Failed(AttemptError::incomplete_answer(cause));
                }
                if has_memory.is_err() {
                    return StreamRead::out_of_memory();
                }
                continue;
            };
            source.in_flight.record_prefilled();
            source.times.record_events(&self.state, events.count);
            if self.event_count == 0 {
                self.state.note_first_event(&self.call);
            }
            self.event_count += events.count;
            if events.last_id.is_some() {
                self.last_event_id = events.last_id;
            }
            return StreamRead::Events(events.bytes);
        }
    }

    /// Records that the engine has ended the stream, and returns the connection to
    /// the pool.
    fn finish(&mut self) {
        self.guard.finish();
        let Some(source) = self.source.take() else {
            return;
        };
        let now_ms = self.state.now_ms();
        let target = &source.target;
        self.state
            .loads()
            .observe(&target.id, AttemptOutcome::Answered, now_ms);
        if source.is_delimited {
            source.call_in_flight.record_answer(&self.call);
        }
        source.times.finish(&self.state);
        self.state.pool.put_back(target, source.connection);
        tracing::info!(
            request = &*self.call.id,
            target = &*target.id,
            events = self.event_count,
            start = %source.times.start(),
            streams = source.times.requests_in_flight(),
            first_event_ms = source.times.first_event_ms(),
            longest_pause_ms = source.times.longest_pause().as_millis() as u64,
            elapsed_ms = self.call.received_at.elapsed().as_millis() as u64,
            "gateway: stream ended"
        );
    }

    /// Resumes the stream at another engine, after the last complete event. Returns
    /// false if the retry rules or the retry budget forbid another attempt, or if no
    /// engine resumes the stream.
    async fn resume(&mut self, error: &AttemptError) -> bool {
        // Closes the connection to the failed engine, so that this engine stops
        // generating before another engine continues.
        let failed_target = self.source.take().map(|source| {
            source.connection.mark_failed();
            source.target
        });
        if let Some(target) = &failed_target {
            attempt::record_failure(&self.state, &self.call, target, error).await;
            self.history.tried.push(target.id.clone());
        }
        self.splitter.take_pending();
        self.event_memory = self.state.answer_memory.share();
        let mut failure = error.failure;
        loop {
            let decision = self
                .history
                .record_failure(&self.state, &self.call, failure);
            if decision != RetryDecision::Retry || self.state.quarantine_left(&self.call).is_some()
            {
                break;
            }
            match self.resume_once().await {
                Some(Ok(source)) => {
                    self.source = Some(source);
                    self.call.caller.enter(Step::Relay);
                    return true;
                }
                Some(Err(error)) => failure = error.failure,
                None => break,
            }
        }
        tracing::info!(
            request = &*self.call.id,
            events = self.event_count,
            attempts = self.history.attempts,
            "gateway: stream broken off: {error}"
        );
        metrics::counter!("gateway_streams_broken_total").increment(1);
        false
    }

    /// Tries to resume the stream at one engine; `None` if no engine can be selected.
    async fn resume_once(&mut self) -> Option<Result<EngineStream, AttemptError>> {
        let failure_domain = &self.state.settings.failure_domain;
        let tried = &self.history.tried;
        let decode = decode::choose_engine(&self.state, &self.call, failure_domain, tried)?;
        let target = decode.target;
        self.call.caller.enter(Step::Resumption);
        self.state
            .loads()
            .record_send(&target.id, self.state.now_ms());
        self.history.tried.push(target.id.clone());
        let times = StreamTimes::new(&target, StartWork::Resumed, decode.requests);
        let in_flight = InFlightGuard::new(&self.state, &target.id, 0);
        let head = AttemptHead {
            resume_after: self.last_event_id.as_deref(),
            ..AttemptHead::default()
        };
        let deadline = self.call.deadline;
        let sent = attempt::send(&self.state, &self.call, &target, head, deadline).await;
        Some(sent.and_then(|answer| {
            if !answer.status.is_success() || !answer.head.is_signed {
                answer.mark_failed();
                return Err(AttemptError::incomplete_answer(format!(
                    "resume answered {}",
                    answer.status
                )));
            }
            tracing::info!(
                request = &*self.call.id,
                target = &*target.id,
                after = self.last_event_id.as_deref().unwrap_or("-"),
                "gateway: stream resumed"
            );
            Ok(EngineStream::new(answer, in_flight, times))
        }))
    }
}

impl State {
    /// Counts a call as used by its client account, and records the time to the first
    /// event; called when the first event of the call's stream has arrived.
    fn note_first_event(&self, call: &Call) {
        if let Some(account) = &call.account {
            self.usage().record(&account.name);
        }
        let elapsed = Instant::now().saturating_duration_since(call.received_at);
        metrics::histogram!("gateway_first_event_ms", "route" => call.route.name.to_string())
            .record(elapsed.as_secs_f64() * 1_000.0);
    }
}
