//! Simulation of several instances whose records interleave arbitrarily.

mod bodies;
mod checks;

use arbtest::{arbitrary, arbitrary::Unstructured};
use lavenderwind::{
    ledger::Ledger,
    log::{
        Offset, Rebuilder,
        records::{Record, record::Body},
    },
};

use self::{bodies::arbitrary_body, checks::Oracle};
use crate::records::Writer;

pub(crate) type Arbitrary<T> = arbitrary::Result<T>;

/// Size of a checkpoint chunk, in bytes; small enough that a checkpoint has
/// several chunks.
const CHUNK_BYTES: usize = 700;

/// Number of times that each state of interest was reached.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub(crate) duties_taken: u32,
    pub(crate) duties_refused: u32,
    pub(crate) intents: u32,
    pub(crate) intents_refused: u32,
    pub(crate) adoptions: u32,
    pub(crate) claims_won: u32,
    pub(crate) claims_lost: u32,
    pub(crate) releases: u32,
    pub(crate) revisions: u32,
    /// Service revisions that were refused for other reasons than a revoked key.
    pub(crate) conflicts: u32,
    /// Service revisions that were refused because of a revoked key.
    pub(crate) revived_keys_refused: u32,
    /// Records and usage slices that the ledger ignored as duplicates.
    pub(crate) duplicates: u32,
    pub(crate) windows_closed: u32,
    pub(crate) late_slices: u64,
    pub(crate) checkpoints: u32,
    pub(crate) expiries: u32,
    pub(crate) quarantines: u32,
    pub(crate) restarts: u32,
    /// Ledgers rebuilt from a checkpoint.
    pub(crate) rebuilt: u32,
    /// Rebuilds that were impossible because the retained records contained no
    /// complete checkpoint.
    pub(crate) incomplete: u32,
}

/// An instance with its own ledger, which may not yet contain the last records of
/// the log.
pub(super) struct Instance {
    pub(super) writer: Writer,
    pub(super) ledger: Ledger,
    pub(super) last_appended: Option<Record>,
    /// Number of usage slices that this incarnation has written.
    pub(super) slices: u64,
}

/// The log, a ledger that has applied the whole log, and the instances.
pub(crate) struct Simulation {
    log: Vec<Record>,
    reference: Ledger,
    instances: Vec<Instance>,
    oracle: Oracle,
}

impl Simulation {
    pub(crate) fn new() -> Self {
        let mut instances = Vec::new();
        for name in ["entry-1", "entry-2", "entry-3"] {
            instances.push(Instance {
                writer: Writer::new(name),
                ledger: Ledger::new(),
                last_appended: None,
                slices: 0,
            });
        }
        Self {
            log: Vec::new(),
            reference: Ledger::new(),
            instances,
            oracle: Oracle::default(),
        }
    }

    pub(crate) fn step(&mut self, u: &mut Unstructured<'_>, counts: &mut Counts) -> Arbitrary<()> {
        let index = u.choose_index(self.instances.len())?;
        match u.int_in_range(0..=9)? {
            0..=2 => self.read(u, index)?,
            3 if u.ratio(1, 4)? => {
                counts.restarts += 1;
                self.instances[index].writer.restart();
                self.instances[index].slices = 0;
            }
            3 => {
                // Repeats an append, as after a lost response.
                let Some(record) = self.instances[index].last_appended.clone() else {
                    return Ok(());
                };
                self.append(record, counts);
            }
            _ => {
                let instance = &mut self.instances[index];
                let body = arbitrary_body(u, instance)?;
                let is_mark = matches!(body, Body::CheckpointMark(_));
                let record = instance.writer.record(body);
                instance.last_appended = Some(record.clone());
                self.append(record, counts);
                if is_mark {
                    self.publish(u, index, counts)?;
                }
            }
        }
        Ok(())
    }

    /// Applies some of the unread records to the ledger of an instance.
    fn read(&mut self, u: &mut Unstructured<'_>, index: usize) -> Arbitrary<()> {
        let instance = &mut self.instances[index];
        let unread = self.log.len() - instance.ledger.applied().0 as usize;
        let count = u.int_in_range(0..=unread.min(20))?;
        for _ in 0..count {
            let offset = instance.ledger.applied().0 + 1;
            instance
                .ledger
                .apply(Offset(offset), &self.log[offset as usize - 1]);
        }
        Ok(())
    }

    fn append(&mut self, record: Record, counts: &mut Counts) {
        let offset = Offset(self.log.len() as u64 + 1);
        let before = self.reference.clone();
        let apply_result = self.reference.apply(offset, &record);
        self.log.push(record.clone());
        self.check(&before, offset, &record, &apply_result, counts);
    }

    /// Appends the chunks of the last checkpoint. Some chunks are appended twice,
    /// and some checkpoints remain incomplete.
    fn publish(
        &mut self,
        u: &mut Unstructured<'_>,
        index: usize,
        counts: &mut Counts,
    ) -> Arbitrary<()> {
        let offset = Offset(self.log.len() as u64);
        let checkpoint = self.reference.checkpoint().cloned();
        let Some(checkpoint) = checkpoint.filter(|known| known.offset == offset) else {
            return Ok(());
        };
        for chunk in checkpoint.chunks_of(CHUNK_BYTES) {
            if u.ratio(1, 24)? {
                return Ok(());
            }
            let body = Body::CheckpointChunk(chunk);
            let record = self.instances[index].writer.record(body);
            if u.ratio(1, 8)? {
                self.append(record.clone(), counts);
            }
            self.append(record, counts);
        }
        Ok(())
    }

    /// Checks that a ledger rebuilt after the oldest records were removed from the log
    /// equals the reference, if the retained records contain a complete checkpoint.
    fn check_rebuilds(&self, u: &mut Unstructured<'_>, counts: &mut Counts) -> Arbitrary<()> {
        for _ in 0..4 {
            let oldest = u.int_in_range(2..=self.log.len().max(2))?;
            let mut rebuilder = Rebuilder::new(Offset(oldest as u64));
            for record in self.log.iter().skip(oldest - 1) {
                rebuilder.push(record.clone());
            }
            let Some(rebuilt) = rebuilder.finish() else {
                counts.incomplete += 1;
                continue;
            };
            counts.rebuilt += 1;
            assert_eq!(rebuilt.applied(), self.reference.applied());
            assert_eq!(rebuilt.digest(), self.reference.digest());
        }
        Ok(())
    }

    /// Checks that all instances have the same ledger after reading the whole log,
    /// and that a ledger decoded from the encoding of an arbitrary prefix reaches
    /// the same state.
    pub(crate) fn finish(
        &mut self,
        u: &mut Unstructured<'_>,
        counts: &mut Counts,
    ) -> Arbitrary<()> {
        self.check_rebuilds(u, counts)?;
        let cut = u.int_in_range(0..=self.log.len())?;
        let mut prefix = Ledger::new();
        for (index, record) in self.log[..cut].iter().enumerate() {
            prefix.apply(Offset(index as u64 + 1), record);
        }
        let mut rebuilt = Ledger::decode(&prefix.encode()).unwrap();
        for (index, record) in self.log.iter().enumerate().skip(cut) {
            rebuilt.apply(Offset(index as u64 + 1), record);
        }
        assert_eq!(rebuilt.encode(), self.reference.encode());
        for instance in &mut self.instances {
            let ledger = &mut instance.ledger;
            for (index, record) in self.log.iter().enumerate() {
                ledger.apply(Offset(index as u64 + 1), record);
            }
            assert_eq!(ledger.digest(), self.reference.digest());
        }
        self.check_usage_sum();
        Ok(())
    }
}
