//! Many nodes without sockets on a virtual clock, to find how their costs grow with the fleet.
//!
//! Every message is sealed into a frame and opened again, as on the network, so that bytes and processor time are those of
//! the real thing without the HTTP around batches of frames.

mod deployment;
mod fleet;

use std::io;
use std::time::Duration;

use derive_more::{Display, Error, From};
use quillhatch_messages::KeySetError;
use quillhatch_types::names::NameError;

use super::process::{machine_bytes, processor_time, resident_bytes};
use super::report::{ChangePoint, HollowFigures, HollowPoint};
use super::slope::Line;
use super::Effort;
use fleet::{HollowFleet, Traffic};

/// Virtual time until groups are formed and membership is known.
const SETTLE: Duration = Duration::from_secs(10);

/// Virtual time that is measured.
const WINDOW: Duration = Duration::from_secs(20);

/// Virtual time between two configuration changes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(2);

/// Numbers of configuration changes in a window.
const CHANGES: [u32; 4] = [0, 2, 4, 8];

/// Why hollow nodes could not be measured.
#[derive(Debug, Display, Error, From)]
pub enum HollowError {
    /// The process's own use could not be read.
    #[display("cannot read what this process uses: {_0}")]
    System(io::Error),
    /// A name is not valid; a fault of the lab.
    Name(NameError),
    /// The fleet key is unusable; a fault of the lab.
    Keys(KeySetError),
    /// The configuration is wrong; a fault of the lab.
    #[display("the configuration is wrong: {findings}")]
    #[from(ignore)]
    Configuration {
        /// The findings, one a line.
        findings: String,
    },
    /// More memory would be used than the bench may take.
    #[display("stopped at {resident} bytes: the bench may take half of the machine's memory")]
    #[from(ignore)]
    Memory {
        /// Memory in use.
        resident: u64,
    },
}

/// The largest fleet, unless the caller says otherwise. The processor time of a fleet grows with the square of its size.
pub fn default_nodes(effort: Effort) -> usize {
    match effort {
        Effort::Quick => 240,
        Effort::Full => 1_000,
    }
}

/// The smallest number that [`measure`] takes as the largest fleet.
pub const LEAST_NODES: usize = 80;

/// Sizes of fleets to measure; the first of them is the one whose configuration changes.
fn sizes(largest: usize) -> [usize; 3] {
    [largest / 4, largest / 2, largest]
}

/// Measures fleets of up to `largest` nodes, and one under configuration changes; `progress` is told what goes on.
///
/// # Errors
///
/// Returns an error if the process would take more than half of the machine's memory.
pub fn measure(largest: usize, progress: &dyn Fn(String)) -> Result<HollowFigures, HollowError> {
    // Fleets stay until the end: memory that one gives back would be taken by the next and not be seen.
    let mut kept = Vec::new();
    let mut by_fleet_size = Vec::new();
    for nodes in sizes(largest) {
        progress(format!("{nodes} hollow nodes, idle"));
        let (point, fleet) = measure_idle(nodes)?;
        by_fleet_size.push(point);
        kept.push(fleet);
    }
    drop(kept);
    let change_nodes = sizes(largest)[0];
    let mut by_changes = Vec::new();
    let mut document_bytes = 0;
    for changes in CHANGES {
        progress(format!("{change_nodes} hollow nodes, {changes} configuration changes"));
        let (point, bytes) = measure_changes(change_nodes, changes)?;
        by_changes.push(point);
        document_bytes = bytes;
    }
    let line = |value: fn(&HollowPoint) -> f64| {
        let points: Vec<(f64, f64)> = by_fleet_size.iter().map(|point| (point.nodes as f64, value(point))).collect();
        Line::through(&points)
    };
    let change_line = |value: fn(&ChangePoint) -> f64| {
        let points: Vec<(f64, f64)> = by_changes.iter().map(|point| (f64::from(point.changes), value(point))).collect();
        Line::through(&points)
    };
    Ok(HollowFigures {
        bytes_per_second: line(|point| point.bytes_per_second),
        processor_us_per_second: line(|point| point.processor_us_per_second),
        memory_bytes: line(|point| point.memory_bytes),
        change_nodes,
        document_bytes,
        bytes_per_change: change_line(|point| point.bytes),
        processor_us_per_change: change_line(|point| point.processor_us),
        by_fleet_size,
        by_changes,
    })
}

fn check_memory() -> Result<(), HollowError> {
    let resident = resident_bytes()?;
    if resident > machine_bytes()? / 2 {
        return Err(HollowError::Memory { resident });
    }
    Ok(())
}

/// What a fleet used during a window.
struct Used {
    traffic: Traffic,
    processor: Duration,
}

fn measure_window(fleet: &mut HollowFleet, window: Duration) -> Result<Used, HollowError> {
    let traffic = fleet.traffic();
    let processor = processor_time()?;
    fleet.run_for(window);
    let used = Used { traffic: fleet.traffic() - traffic, processor: processor_time()? - processor };
    check_memory()?;
    Ok(used)
}

fn measure_idle(nodes: usize) -> Result<(HollowPoint, HollowFleet), HollowError> {
    let before = resident_bytes()?;
    let mut fleet = HollowFleet::new(nodes)?;
    fleet.run_for(SETTLE);
    check_memory()?;
    let used = measure_window(&mut fleet, WINDOW)?;
    let after = resident_bytes()?;
    let of_each = |total: f64| total / nodes as f64;
    let per_second = |total: f64| of_each(total) / WINDOW.as_secs_f64();
    let point = HollowPoint {
        nodes,
        bytes_per_second: per_second(used.traffic.bytes as f64),
        frames_per_second: per_second(used.traffic.frames as f64),
        processor_us_per_second: per_second(used.processor.as_secs_f64() * 1e6),
        memory_bytes: of_each(after.saturating_sub(before) as f64),
        not_ready: fleet.not_ready(),
    };
    Ok((point, fleet))
}

fn measure_changes(nodes: usize, changes: u32) -> Result<(ChangePoint, usize), HollowError> {
    let mut fleet = HollowFleet::new(nodes)?;
    fleet.run_for(SETTLE);
    for number in 0..changes {
        fleet.change_configuration_after(CHANGE_INTERVAL * number);
    }
    let used = measure_window(&mut fleet, WINDOW)?;
    let of_each = |total: f64| total / nodes as f64;
    let point = ChangePoint {
        changes,
        bytes: of_each(used.traffic.bytes as f64),
        processor_us: of_each(used.processor.as_secs_f64() * 1e6),
    };
    Ok((point, fleet.document_bytes()))
}
