//! Bodies of the store's answers.

use std::sync::Arc;

use serde::Deserialize;

#[derive(Default, Deserialize)]
pub(super) struct NewestContent {
    pub(super) items: Vec<NewestItem>,
    pub(super) more: bool,
    pub(super) end_offset: u64,
}

#[derive(Deserialize)]
pub(super) struct NewestItem {
    pub(super) key: Arc<str>,
    /// In Base64.
    pub(super) value: String,
    pub(super) offset: u64,
}

#[derive(Deserialize)]
pub(super) struct AppendedOffsets {
    pub(super) offset: u64,
    pub(super) end_offset: u64,
}

#[derive(Deserialize)]
pub(super) struct EndOffset {
    pub(super) end_offset: u64,
}

#[derive(Deserialize)]
pub(super) struct FirstOffset {
    pub(super) first_offset: u64,
}
