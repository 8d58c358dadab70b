//! This instance's unflushed usage slices and the peer that holds copies of
//! them.

use indexmap::IndexMap;
use prost::Message;

use super::{
    frames::{UsageCopy, UsageFlushed, frame::Body},
    usage::Source,
};
use crate::log::records::UsageSlice;

/// Unflushed slices of this instance and the peer that holds copies of them.
#[derive(Debug, Default)]
pub(super) struct UnflushedUsage {
    /// The peer that holds the copies, with its incarnation.
    holder: Option<Source>,
    /// Slices by number.
    slices: IndexMap<u64, UsageSlice>,
}

impl UnflushedUsage {
    /// Maximum number of unflushed slices. Above it, the oldest slice is removed.
    const MAX_SLICES: usize = 256;

    /// Stores a slice and returns the frame with its copy for the holder.
    pub(super) fn insert(&mut self, slice: UsageSlice) -> Body {
        let frame = copy_frame(&slice);
        self.slices.insert(slice.slice, slice);
        if self.slices.len() > Self::MAX_SLICES {
            self.slices.shift_remove_index(0);
        }
        frame
    }

    /// Removes the slices up to and including number `up_to_slice`. Returns the frame
    /// that tells the holder that these slices are flushed.
    pub(super) fn remove_flushed(&mut self, up_to_slice: u64) -> Body {
        self.slices.retain(|&number, _| number > up_to_slice);
        Body::UsageFlushed(UsageFlushed { slice: up_to_slice })
    }

    /// Returns the peer that holds the copies.
    pub(super) fn holder(&self) -> Option<&Source> {
        self.holder.as_ref()
    }

    /// Sets the holder and returns the frames with copies of all slices for the holder.
    pub(super) fn set_holder(&mut self, holder: Option<Source>) -> Vec<Body> {
        self.holder = holder;
        self.slices.values().map(copy_frame).collect()
    }

    /// Clears the holder, so that the next update selects a holder and sends it copies
    /// of all slices.
    pub(super) fn clear_holder(&mut self) {
        self.holder = None;
    }
}

fn copy_frame(slice: &UsageSlice) -> Body {
    Body::UsageCopy(UsageCopy {
        slice: slice.encode_to_vec(),
    })
}
