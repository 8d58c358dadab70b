//! Reports on the burn of service-level error budgets.
//!
//! Each instance collects its results in a [`BurnHistory`]. A [`BurnReport`] is
//! computed from the samples of all instances and rendered as a terminal table,
//! JSON or an HTML page.

mod burn;
mod html;
mod sample;
mod table;

pub use self::{
    burn::{
        BurnInput, BurnPoint, BurnReport, BurnRow, BurnSeries, DEFAULT_OBJECTIVE,
        DEFAULT_WINDOWS_S, WindowBurn,
    },
    html::PlotError,
    sample::{BurnHistory, BurnSample, ResultCounts},
};
