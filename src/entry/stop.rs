//! Detection of stop sequences in generated text.

/// Emits generated text up to the first stop sequence.
///
/// Text that may be the start of a stop sequence is withheld until more text
/// arrives.
#[derive(Clone, Debug, Default)]
pub(super) struct StopFilter {
    sequences: Vec<String>,
    pending: String,
}

impl StopFilter {
    /// Creates a filter for the given sequences.
    pub(super) fn new(sequences: &[String]) -> Self {
        Self {
            sequences: sequences.to_vec(),
            pending: String::new(),
        }
    }

    /// Adds text. Returns the text to emit, and whether a stop sequence was found.
    /// The stop sequence and the text after it are never emitted.
    pub(super) fn push(&mut self, text: &str) -> (String, bool) {
        if self.sequences.is_empty() {
            return (text.to_owned(), false);
        }
        self.pending.push_str(text);
        if let Some(end) = self.first_match() {
            self.pending.truncate(end);
            return (std::mem::take(&mut self.pending), true);
        }
        let emitted_bytes = self.pending.len() - self.longest_partial_match();
        let withheld = self.pending.split_off(emitted_bytes);
        (std::mem::replace(&mut self.pending, withheld), false)
    }

    /// Returns the text that is still withheld; called when no more text follows.
    pub(super) fn finish(&mut self) -> String {
        std::mem::take(&mut self.pending)
    }

    /// Returns the byte offset of the first stop sequence in the pending text.
    fn first_match(&self) -> Option<usize> {
        let found = self
            .sequences
            .iter()
            .filter_map(|s| self.pending.find(&**s));
        found.min()
    }

    /// Returns the length, in bytes, of the longest suffix of the pending text that
    /// is a proper prefix of a stop sequence.
    fn longest_partial_match(&self) -> usize {
        let mut longest = 0;
        for sequence in &self.sequences {
            for (length, _) in sequence.char_indices().skip(1) {
                if length > longest && self.pending.ends_with(&sequence[..length]) {
                    longest = length;
                }
            }
        }
        longest
    }
}
