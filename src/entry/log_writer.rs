//! Appends records on behalf of an instance.

use std::sync::Arc;

use derive_more::Debug;
use futures_util::future::BoxFuture;

use crate::{
    ledger::ApplyResult,
    log::{self, Appender, Offset, records::record::Body},
};

type AppendFn = dyn Fn(Body) -> BoxFuture<'static, log::Result<Appended>> + Send + Sync;

/// A record of this instance that was folded.
#[derive(Clone, Debug)]
pub struct Appended {
    /// Offset of the record.
    pub offset: Offset,
    /// What the fold made of it.
    pub apply_result: ApplyResult,
}

/// Appends records on behalf of this instance.
#[derive(Clone, Debug)]
pub struct LogWriter {
    name: Arc<str>,
    incarnation: u64,
    #[debug(skip)]
    append: Arc<AppendFn>,
}

impl LogWriter {
    /// Creates a writer that appends by a function.
    pub fn new<F>(name: Arc<str>, incarnation: u64, append: F) -> Self
    where
        F: Fn(Body) -> BoxFuture<'static, log::Result<Appended>> + Send + Sync + 'static,
    {
        Self {
            name,
            incarnation,
            append: Arc::new(append),
        }
    }

    /// Name under which records are written.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Incarnation under which records are written.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Appends a record and waits until this instance has folded it.
    ///
    /// # Errors
    ///
    /// As [`Appender::append`].
    pub async fn append(&self, body: Body) -> log::Result<Appended> {
        (self.append)(body).await
    }
}

impl From<Appender> for LogWriter {
    fn from(appender: Appender) -> Self {
        let name = Arc::clone(appender.writer());
        let incarnation = appender.incarnation();
        Self::new(name, incarnation, move |body| {
            let appender = appender.clone();
            Box::pin(async move {
                let receipt = appender.append(body).await?;
                Ok(Appended {
                    offset: receipt.offset,
                    apply_result: receipt.apply_result,
                })
            })
        })
    }
}
