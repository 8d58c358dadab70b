//! Compact encoding of the amounts in a heartbeat: `packed_amounts` of `peer.proto`.
//!
//! An element contains the difference to the previous index and a rounded amount, and takes
//! two bytes if the difference is less than 32. Amounts are rounded down by less than a
//! sixteenth. The encoder keeps the rest for later elements, so that the sum is exact.

use prost::encoding::{encoded_len_varint, key_len};

/// Number of the field `packed_amounts`.
const FIELD_NUMBER: u32 = 40;

/// Number of bits of the digits of an amount. With 4 bits, two bytes also hold differences of
/// indices up to 31, and 2% of an amount are sent later on average.
const DIGIT_BITS: u32 = 4;

/// Number of bits of the exponent of an amount.
const EXPONENT_BITS: u32 = 5;

/// Number of bits of an amount. The bits above them are the difference of the indices.
const AMOUNT_BITS: u32 = DIGIT_BITS + EXPONENT_BITS;

/// Largest amount that an element can contain, when rounded. Larger ones are sent in messages
/// of their own.
pub(super) const MAX_PACKED_AMOUNT: u64 = (1 << (DIGIT_BITS + (1 << EXPONENT_BITS) - 1)) - 1;

/// A rounded amount and the index of its name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct PackedAmount {
    index: u32,
    /// Exponent and digits of the amount.
    code: u32,
}

impl PackedAmount {
    /// Rounds `amount` down, which must not be more than [`MAX_PACKED_AMOUNT`].
    pub(super) fn new(index: u32, amount: u64) -> Self {
        debug_assert!(amount <= MAX_PACKED_AMOUNT, "amount {amount} is too large");
        let shift = (u64::BITS - amount.leading_zeros()).saturating_sub(DIGIT_BITS + 1);
        // The first digit of an amount of more than `DIGIT_BITS` adds 1 to the exponent.
        let code = (shift << DIGIT_BITS) + (amount >> shift) as u32;
        Self { index, code }
    }

    /// Returns the index of the name.
    pub(super) fn index(self) -> u32 {
        self.index
    }

    /// Returns the rounded amount.
    pub(super) fn amount(self) -> u64 {
        let exponent = self.code >> DIGIT_BITS;
        let digits = u64::from(self.code & ((1 << DIGIT_BITS) - 1));
        if exponent == 0 {
            return digits;
        }
        ((1 << DIGIT_BITS) + digits) << (exponent - 1)
    }

    /// Returns the element of the field that follows one with the index `previous_index`.
    fn element(self, previous_index: u32) -> u32 {
        (self.index - previous_index) << AMOUNT_BITS | self.code
    }

    fn element_bytes(self, previous_index: u32) -> usize {
        encoded_len_varint(self.element(previous_index).into())
    }
}

/// Amounts of one heartbeat, in the order of their indices.
#[derive(Debug, Default)]
pub(super) struct PackedAmounts {
    entries: Vec<PackedAmount>,
    /// Size of the elements, in bytes.
    element_bytes: usize,
}

impl PackedAmounts {
    /// Returns the number of bytes that inserting an amount adds to the heartbeat.
    pub(super) fn added_bytes(&self, entry: PackedAmount) -> usize {
        let element_bytes = self.element_bytes_with(entry);
        field_bytes(element_bytes) - field_bytes(self.element_bytes)
    }

    /// Inserts an amount.
    pub(super) fn insert(&mut self, entry: PackedAmount) {
        self.element_bytes = self.element_bytes_with(entry);
        self.entries.insert(self.position(entry), entry);
    }

    /// Returns the elements of the field.
    pub(super) fn into_elements(self) -> Vec<u32> {
        let mut elements = Vec::with_capacity(self.entries.len());
        let mut previous_index = 0;
        for entry in self.entries {
            elements.push(entry.element(previous_index));
            previous_index = entry.index;
        }
        elements
    }

    /// Returns the size of the elements after inserting an amount, in bytes.
    fn element_bytes_with(&self, entry: PackedAmount) -> usize {
        let (before, after) = self.entries.split_at(self.position(entry));
        let previous_index = before.last().map_or(0, |previous| previous.index);
        let mut bytes = self.element_bytes + entry.element_bytes(previous_index);
        if let Some(next) = after.first() {
            bytes += next.element_bytes(entry.index);
            bytes -= next.element_bytes(previous_index);
        }
        bytes
    }

    fn position(&self, entry: PackedAmount) -> usize {
        self.entries
            .partition_point(|other| other.index <= entry.index)
    }
}

/// Decodes the elements of the field.
pub(super) fn unpack(elements: &[u32]) -> impl Iterator<Item = PackedAmount> {
    let mut index = 0u32;
    elements.iter().map(move |element| {
        // An index that is too large has no name, which the caller rejects.
        index = index.saturating_add(element >> AMOUNT_BITS);
        let code = element & ((1 << AMOUNT_BITS) - 1);
        PackedAmount { index, code }
    })
}

/// Returns the size of the field with elements of this size together, in bytes.
fn field_bytes(element_bytes: usize) -> usize {
    if element_bytes == 0 {
        return 0;
    }
    key_len(FIELD_NUMBER) + encoded_len_varint(element_bytes as u64) + element_bytes
}
