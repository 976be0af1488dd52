//! Processor time and memory of a process, from `/proc`.
use std::fs;

use eyre::{Result, eyre};

/// Processor time and memory of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ProcessUsage {
    /// Processor time since its start, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

/// Reads the usage of the process with `id`.
pub fn read(id: u32) -> Result<ProcessUsage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    Ok(ProcessUsage {
        cpu_seconds: cpu_seconds(&stat).ok_or_else(|| eyre!("unknown form of stat"))?,
        resident_bytes: resident_bytes(&status).ok_or_else(|| eyre!("unknown form of status"))?,
    })
}

fn cpu_seconds(stat: &str) -> Option<f64> {
    // The process name in parentheses may contain spaces and parentheses.
    let (_, fields) = stat.rsplit_once(')')?;
    const USER_TIME_FIELD: usize = 11;
    let mut fields = fields.split_whitespace().skip(USER_TIME_FIELD);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    let ticks_per_second = rustix::param::clock_ticks_per_second();
    Some((user + system) as f64 / ticks_per_second as f64)
}

fn resident_bytes(status: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes * 1024)
}
