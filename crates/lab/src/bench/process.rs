//! What this process has used, as the system counts it.

use std::io;
use std::time::Duration;

/// Clock ticks per second in `/proc`, fixed on Linux for all programs.
const TICKS_PER_SECOND: f64 = 100.0;

/// Fields of `/proc/self/stat` after the program's name in brackets, counted from zero.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

fn malformed(file: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("{file} has another form than expected"))
}

/// Processor time of all threads so far, user and system, to 10 ms.
///
/// # Errors
///
/// Returns an error where there is no `/proc`.
pub fn processor_time() -> io::Result<Duration> {
    let text = std::fs::read_to_string("/proc/self/stat")?;
    parse_processor_time(&text).ok_or_else(|| malformed("/proc/self/stat"))
}

fn parse_processor_time(text: &str) -> Option<Duration> {
    // The name may hold spaces and brackets; what follows the last bracket does not.
    let (_, fields) = text.rsplit_once(')')?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index)?.parse::<f64>().ok();
    let ticks = ticks(USER_TIME_FIELD)? + ticks(SYSTEM_TIME_FIELD)?;
    Some(Duration::from_secs_f64(ticks / TICKS_PER_SECOND))
}

/// Memory in use now, in bytes (resident set).
///
/// # Errors
///
/// Returns an error where there is no `/proc`.
pub fn resident_bytes() -> io::Result<u64> {
    let text = std::fs::read_to_string("/proc/self/status")?;
    parse_kibibytes(&text, "VmRSS:").ok_or_else(|| malformed("/proc/self/status"))
}

/// Memory of the machine, in bytes.
///
/// # Errors
///
/// Returns an error where there is no `/proc`.
pub fn machine_bytes() -> io::Result<u64> {
    let text = std::fs::read_to_string("/proc/meminfo")?;
    parse_kibibytes(&text, "MemTotal:").ok_or_else(|| malformed("/proc/meminfo"))
}

fn parse_kibibytes(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    let number: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(number * 1_024)
}

#[cfg(test)]
mod tests;
