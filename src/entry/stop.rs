//! Search for stop sequences in generated text.

/// Holds text back for as long as a stop sequence may have begun in it.
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

    /// Takes in text; returns what may be shown and whether the answer ends.
    pub(super) fn push(&mut self, text: &str) -> (String, bool) {
        if self.sequences.is_empty() {
            return (text.to_owned(), false);
        }
        self.pending.push_str(text);
        if let Some(end) = self.first_match() {
            self.pending.truncate(end);
            return (std::mem::take(&mut self.pending), true);
        }
        let emitted = self.pending.len() - self.longest_partial();
        let rest = self.pending.split_off(emitted);
        (std::mem::replace(&mut self.pending, rest), false)
    }

    /// Returns the text that is still held back.
    pub(super) fn finish(&mut self) -> String {
        std::mem::take(&mut self.pending)
    }

    fn first_match(&self) -> Option<usize> {
        let found = self
            .sequences
            .iter()
            .filter_map(|s| self.pending.find(&**s));
        found.min()
    }

    /// Length of the longest end of the held text that begins a sequence.
    fn longest_partial(&self) -> usize {
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
