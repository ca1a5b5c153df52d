//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Instant;

struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

/// Opens the record in the folder of the case.
pub fn open(folder: &Path) -> std::io::Result<()> {
    let file = Mutex::new(File::create(folder.join("record.txt"))?);
    RECORD.get_or_init(|| Record { started_at: Instant::now(), file });
    Ok(())
}

/// Returns the time since the record was opened, in milliseconds.
pub fn now_ms() -> u64 {
    RECORD.get().map_or(0, |record| record.started_at.elapsed().as_millis() as u64)
}

/// Writes a line.
pub fn line(text: &str) {
    if let Some(record) = RECORD.get() {
        let at_s = record.started_at.elapsed().as_secs_f64();
        let mut file = record.file.lock().unwrap();
        let _ = writeln!(file, "{at_s:8.3} {text}");
    }
}
