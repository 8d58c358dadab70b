//! Reports on service-level burn.
//!
//! Each instance gathers its results in a [`BurnHistory`]; the samples of all
//! instances make a [`BurnReport`], which is shown as a terminal table, JSON or
//! an HTML page.

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
