//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        Record {
            file: Arc::new(Mutex::new(
                File::create(path).expect("cannot write the record"),
            )),
            start: Instant::now(),
        }
    }

    /// Returns the seconds since the start of the run.
    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.seconds());
        let mut file = self.file.lock().expect("the record is poisoned");
        file.write_all(line.as_bytes())
            .expect("cannot write the record");
    }
}
