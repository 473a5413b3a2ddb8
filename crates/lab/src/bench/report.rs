//! The figures of a benchmark run, and how they are shown.

use serde::Serialize;

use super::slope::Line;
use crate::spread::Spread;
use crate::table::Table;

/// Latency percentiles in milliseconds, each with its spread over the rounds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RoundLatencies {
    /// Half of the calls took at most this.
    pub p50: Spread,
    /// 99 of 100.
    pub p99: Spread,
    /// 999 of 1,000.
    pub p999: Spread,
}

/// One kind of call at one path.
#[derive(Clone, Debug, Serialize)]
pub struct PathFigures {
    /// What was called, and how.
    pub name: &'static str,
    /// Calls that were offered, all rounds together.
    pub offered: u64,
    /// Whole answers.
    pub whole: u64,
    /// Latency from the planned start.
    pub latency_ms: RoundLatencies,
    /// Processor time per call in microseconds, callers and back ends included.
    pub processor_us_per_call: Spread,
}

/// What one more of something costs in memory.
#[derive(Clone, Debug, Serialize)]
pub struct MemoryFigure {
    /// Of what.
    pub name: &'static str,
    /// How many there were.
    pub count: u64,
    /// Bytes for each.
    pub bytes_each: f64,
}

/// What an idle node costs.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct IdleFigures {
    /// The nodes of the fleet.
    pub nodes: usize,
    /// Frames that a node receives per second.
    pub frames_per_second: f64,
    /// Batches, each one HTTP request, that a node sends per second.
    pub batches_per_second: f64,
    /// The share of one core that a node uses, in percent; its idle back end is included.
    pub processor_percent: f64,
}

/// Figures of real nodes.
#[derive(Clone, Debug, Serialize)]
pub struct RealFigures {
    /// Calls per second that were offered.
    pub rate: f64,
    /// Direct calls and calls through nodes.
    pub paths: Vec<PathFigures>,
    /// Calls through edge and gate that one core can carry, from the processor time that the nodes add to a call.
    pub calls_per_second_per_core: f64,
    /// Memory.
    pub memory: Vec<MemoryFigure>,
    /// Idle nodes.
    pub idle: IdleFigures,
}

/// One hollow fleet, idle.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct HollowPoint {
    /// Its nodes.
    pub nodes: usize,
    /// Frame bytes that a node sends per virtual second.
    pub bytes_per_second: f64,
    /// Frames that a node sends per virtual second.
    pub frames_per_second: f64,
    /// Processor time of a node per virtual second, in microseconds, frames sealed and opened.
    pub processor_us_per_second: f64,
    /// Memory of a node in bytes; the configuration and the list of machines are shared between hollow nodes.
    pub memory_bytes: f64,
    /// Nodes that were not ready at the end.
    pub not_ready: usize,
}

/// A hollow fleet under configuration changes.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ChangePoint {
    /// Changes during the window.
    pub changes: u32,
    /// Frame bytes that a node sent during the window.
    pub bytes: f64,
    /// Processor time of a node during the window, in microseconds.
    pub processor_us: f64,
}

/// Figures of hollow nodes.
#[derive(Clone, Debug, Serialize)]
pub struct HollowFigures {
    /// One point for each size of fleet.
    pub by_fleet_size: Vec<HollowPoint>,
    /// Bytes per second of a node against the number of nodes.
    pub bytes_per_second: Option<Line>,
    /// Processor microseconds per second of a node against the number of nodes.
    pub processor_us_per_second: Option<Line>,
    /// Memory bytes of a node against the number of nodes.
    pub memory_bytes: Option<Line>,
    /// The fleet size of [`HollowFigures::by_changes`].
    pub change_nodes: usize,
    /// The length of the configuration document of that fleet in bytes; every node fetches it after every change.
    pub document_bytes: usize,
    /// One point for each number of changes.
    pub by_changes: Vec<ChangePoint>,
    /// Frame bytes of a node against changes.
    pub bytes_per_change: Option<Line>,
    /// Processor microseconds of a node against changes.
    pub processor_us_per_change: Option<Line>,
}

/// Everything that was measured.
#[derive(Clone, Debug, Serialize)]
pub struct BenchReport {
    /// The command.
    pub command: String,
    /// Cores of the machine.
    pub cores: usize,
    /// Whether the program was built with optimization.
    pub optimized: bool,
    /// Other programs' load on the machine when the run began, as the system's one-minute average.
    pub load_average_at_start: f64,
    /// Real nodes.
    pub real: RealFigures,
    /// Hollow nodes.
    pub hollow: HollowFigures,
}

impl BenchReport {
    /// The report for a terminal.
    pub fn render(&self) -> String {
        let build = if self.optimized { "optimized" } else { "NOT optimized: figures are too high" };
        let mut text =
            format!("{} cores, load {:.1} at the start, {build} build\n\n", self.cores, self.load_average_at_start);
        text.push_str(&self.real.render());
        text.push_str(&self.hollow.render());
        text
    }
}

impl RealFigures {
    fn render(&self) -> String {
        let mut paths = Table::new(&[
            "path",
            "whole of offered",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "spread of p99",
            "processor us/call",
        ]);
        for path in &self.paths {
            paths.push(vec![
                path.name.to_owned(),
                format!("{} of {}", path.whole, path.offered),
                format!("{:.2}", path.latency_ms.p50.median),
                format!("{:.2}", path.latency_ms.p99.median),
                format!("{:.2}", path.latency_ms.p999.median),
                format!("{:.2} to {:.2}", path.latency_ms.p99.minimum, path.latency_ms.p99.maximum),
                format!("{:.0}", path.processor_us_per_call.median),
            ]);
        }
        let mut memory = Table::new(&["memory of each", "measured on", "bytes"]);
        for figure in &self.memory {
            memory.push(vec![figure.name.to_owned(), figure.count.to_string(), format!("{:.0}", figure.bytes_each)]);
        }
        format!(
            "Real nodes at {} calls/s\n{}\nAdded by two hops: {}\nCalls per second per core: {:.0}\n\n{}\n\n\
             Idle, {} nodes: {:.1} frames/s and {:.1} batches/s sent, {:.2}% of a core each\n\n",
            self.rate,
            paths.to_text(),
            self.render_added(),
            self.calls_per_second_per_core,
            memory.to_text(),
            self.idle.nodes,
            self.idle.frames_per_second,
            self.idle.batches_per_second,
            self.idle.processor_percent,
        )
    }

    /// The differences of the medians between direct lookups and those through nodes.
    fn render_added(&self) -> String {
        let [direct, through, ..] = self.paths.as_slice() else { return "-".to_owned() };
        let added = |percentile: fn(&RoundLatencies) -> Spread| {
            percentile(&through.latency_ms).median - percentile(&direct.latency_ms).median
        };
        format!(
            "p50 {:+.2} ms, p99 {:+.2} ms, p99.9 {:+.2} ms",
            added(|latency| latency.p50),
            added(|latency| latency.p99),
            added(|latency| latency.p999)
        )
    }
}

impl HollowFigures {
    fn render(&self) -> String {
        let mut sizes =
            Table::new(&["hollow nodes", "frames/s", "bytes/s", "processor us/s", "memory bytes", "not ready"]);
        for point in &self.by_fleet_size {
            sizes.push(vec![
                point.nodes.to_string(),
                format!("{:.1}", point.frames_per_second),
                format!("{:.0}", point.bytes_per_second),
                format!("{:.0}", point.processor_us_per_second),
                format!("{:.0}", point.memory_bytes),
                point.not_ready.to_string(),
            ]);
        }
        let mut changes = Table::new(&["configuration changes", "bytes", "processor us"]);
        for point in &self.by_changes {
            let (bytes, processor) = (format!("{:.0}", point.bytes), format!("{:.0}", point.processor_us));
            changes.push(vec![point.changes.to_string(), bytes, processor]);
        }
        format!(
            "Hollow nodes, of each node\n{}\n{}{}{}\nChanges in a fleet of {} nodes with a document of {} bytes, of each node\n{}\n{}{}",
            sizes.to_text(),
            render_line("bytes/s", "node of the fleet", self.bytes_per_second),
            render_line("processor us/s", "node of the fleet", self.processor_us_per_second),
            render_line("memory bytes", "node of the fleet", self.memory_bytes),
            self.change_nodes,
            self.document_bytes,
            changes.to_text(),
            render_line("bytes", "change", self.bytes_per_change),
            render_line("processor us", "change", self.processor_us_per_change),
        )
    }
}

fn render_line(value: &str, position: &str, line: Option<Line>) -> String {
    match line {
        Some(Line { base, slope, worst_fit }) => {
            let fit = worst_fit * 100.0;
            format!(
                "{value}: {base:.1} and {slope:+.4} for each {position} (points lie within {fit:.0}% of the line)\n"
            )
        }
        None => format!("{value}: too few points for a slope\n"),
    }
}
