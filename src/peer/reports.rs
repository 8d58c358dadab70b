//! Reports that this instance sends to its peers: crashes of targets, requests that proved
//! sound, and what targets say in their answers.
//!
//! The reports form a log, and each link continues after the last report that was sent over
//! it, so that none is lost in a queue that is full. A link is sent all that is known
//! instead if it was just opened, if its kind has changed, or if it is further behind than
//! the log reaches.

use std::{collections::VecDeque, sync::Arc};

use tokio::sync::watch;

use super::{
    Error, Result,
    frames::frame::Body,
    state::{State, link_kind_of},
    topology::LinkKind,
};

/// Maximum number of reports in the log.
const MAX_REPORTS: usize = 4_096;

/// Maximum total size of the reports in the log, as the sum of [`report_size`].
const MAX_SIZE: usize = 65_536;

#[derive(Debug)]
struct Entry {
    frame: Body,
    /// Peer that sent the report; `None` for a report of this instance.
    from: Option<Arc<str>>,
}

/// The newest reports, numbered from 0.
#[derive(Debug, Default)]
pub(super) struct ReportLog {
    entries: VecDeque<Entry>,
    size: usize,
    /// Number of the next report.
    end: watch::Sender<u64>,
}

impl ReportLog {
    /// Adds a report.
    pub(super) fn push(&mut self, frame: Body, from: Option<&str>) {
        self.size += report_size(&frame);
        self.entries.push_back(Entry {
            frame,
            from: from.map(Arc::from),
        });
        while self.entries.len() > MAX_REPORTS || self.size > MAX_SIZE {
            let Some(oldest) = self.entries.pop_front() else {
                break;
            };
            self.size -= report_size(&oldest.frame);
        }
        self.end.send_modify(|end| *end += 1);
    }

    /// Returns a channel that changes when there is a report to send.
    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        let mut end = self.end.subscribe();
        // A new link has all reports to send.
        end.mark_changed();
        end
    }

    /// Makes all links check whether they have reports to send.
    pub(super) fn wake_links(&self) {
        self.end.send_modify(|_| ());
    }

    fn end(&self) -> u64 {
        *self.end.borrow()
    }

    /// Returns the reports from number `next` on, or `None` if the log does not reach that
    /// far back.
    fn since(&self, next: u64) -> Option<impl Iterator<Item = &Entry>> {
        let behind = usize::try_from(self.end() - next).ok()?;
        let skipped = self.entries.len().checked_sub(behind)?;
        Some(self.entries.iter().skip(skipped))
    }
}

/// Returns the number of fingerprints in a report, at least 1.
fn report_size(frame: &Body) -> usize {
    let fingerprints = match frame {
        Body::CrashReport(report) => report.fingerprints.len(),
        Body::SoundReport(report) => report.fingerprints.len(),
        _ => 0,
    };
    fingerprints.max(1)
}

impl State {
    /// Returns the reports that are to be sent over a connection next. They count as sent.
    ///
    /// # Errors
    ///
    /// Fails if the connection was replaced.
    pub(super) fn take_reports(&mut self, peer: &str, link_id: u64) -> Result<Vec<Body>> {
        let link = self.links.get(peer).filter(|link| link.id == link_id);
        let link = link.ok_or_else(|| Error::Replaced { name: peer.into() })?;
        let unsent = link.next_report.and_then(|next| self.reports.since(next));
        let frames = match unsent {
            Some(unsent) => self.frames_for(peer, unsent),
            None => self.all_reports(),
        };
        let end = self.reports.end();
        if let Some(link) = self.links.get_mut(peer) {
            link.next_report = Some(end);
        }
        Ok(frames)
    }

    /// Returns the frames of those reports that are sent or forwarded to a peer.
    fn frames_for<'a, I>(&self, peer: &str, entries: I) -> Vec<Body>
    where
        I: Iterator<Item = &'a Entry>,
    {
        let kind = link_kind_of(&self.link_kinds, peer);
        let mut frames = Vec::new();
        for entry in entries {
            let is_receiver = match entry.from.as_deref() {
                None => kind != LinkKind::Backup,
                Some(from) => from != peer && self.link_kind(from).forwards_to(kind),
            };
            if is_receiver {
                frames.push(entry.frame.clone());
            }
        }
        frames
    }

    /// Returns the frames that tell a peer all that is known.
    fn all_reports(&self) -> Vec<Body> {
        let mut frames = self.suspect_frames();
        frames.extend(self.notices.frames());
        frames
    }
}
