//! The record of a run: what was sent, answered and run, a line each.

use std::{
    fs::File,
    io::{self, BufWriter, Write},
    sync::Mutex,
    time::{Duration, Instant},
};

pub struct Record {
    file: Mutex<BufWriter<File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        Ok(Self {
            file: Mutex::new(BufWriter::new(File::create(path)?)),
            started_at: Instant::now(),
        })
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub fn note(&self, text: &str) {
        let now = self.now().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now:8.3} {text}");
    }

    /// Notes a line, prints it, and writes out what was noted so far.
    pub fn say(&self, text: &str) {
        self.note(text);
        println!("{text}");
        let _ = self.file.lock().unwrap().flush();
    }
}
