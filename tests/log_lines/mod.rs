//! Log lines of the process of a test.

#![allow(dead_code, unreachable_pub)]

use std::{
    io,
    sync::{Arc, Mutex},
};

/// Log lines of this process.
#[derive(Clone, Default)]
pub struct Lines(Arc<Mutex<Vec<u8>>>);

impl io::Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Lines {
    /// Captures all log lines of this process from now on.
    pub fn capture() -> Self {
        let lines = Self::default();
        let writer = lines.clone();
        tracing_subscriber::fmt()
            .with_ansi(false)
            .with_thread_names(true)
            .with_writer(move || writer.clone())
            .init();
        lines
    }

    /// Returns the lines that contain a text.
    pub fn with(&self, text: &str) -> Vec<String> {
        let bytes = self.0.lock().unwrap();
        let all = String::from_utf8_lossy(&bytes);
        let lines = all.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }
}
