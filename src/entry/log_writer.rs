//! Appends records of this instance to the log.

use std::sync::Arc;

use derive_more::Debug;
use futures_util::future::BoxFuture;

use crate::{
    ledger::ApplyResult,
    log::{self, Appender, Offset, records::record::Body},
};

type AppendFn = dyn Fn(Body) -> BoxFuture<'static, log::Result<Appended>> + Send + Sync;

/// A record of this instance that was appended and applied to the ledger.
#[derive(Clone, Debug)]
pub struct Appended {
    /// Offset of the record.
    pub offset: Offset,
    /// Result of applying the record to the ledger.
    pub apply_result: ApplyResult,
}

/// Appends records of this instance to the log; cheap to clone.
#[derive(Clone, Debug)]
pub struct LogWriter {
    name: Arc<str>,
    incarnation: u64,
    #[debug(skip)]
    append: Arc<AppendFn>,
}

impl LogWriter {
    /// Creates a writer that calls `append` for each record.
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

    /// Instance name that is written with each record.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Incarnation that is written with each record.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Appends a record and waits until it is applied to this instance's ledger.
    ///
    /// # Errors
    ///
    /// Fails for the reasons of [`Appender::append`].
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
