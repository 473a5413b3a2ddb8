//! Sets up the log of the program: text lines on the standard error stream.

use log::LevelFilter;

/// Sends log lines of `level` and above to the standard error stream.
///
/// A second call in one process changes nothing, as tests run several commands in one process.
pub fn start(level: LevelFilter) {
    let dispatch = fern::Dispatch::new()
        .level(level)
        // Stand-ins are rocket servers; what they say at their start is no news.
        .level_for("rocket", level.min(LevelFilter::Error))
        .format(|out, message, record| out.finish(format_args!("{} {}: {message}", record.level(), record.target())))
        .chain(std::io::stderr());
    let _ = dispatch.apply();
}
