//! Why a command did not run, or not to its end.

use std::path::PathBuf;

use derive_more::{Display, Error, From};

/// One thing that is wrong with the arguments.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{argument}: {problem}")]
pub struct UsageFinding {
    /// The option or operand.
    pub argument: String,
    /// What is wrong and what is accepted.
    pub problem: String,
}

/// Everything that is wrong with the arguments.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageFindings(pub Vec<UsageFinding>);

/// Why a command ended without a verdict.
#[derive(Debug, Display, Error, From)]
pub enum CommandError {
    /// The arguments are wrong.
    #[display("wrong arguments")]
    #[error(ignore)]
    Usage(UsageFindings),
    /// A file could not be read or written.
    #[display("{}: {failure}", path.display())]
    #[from(skip)]
    File {
        /// The file.
        path: PathBuf,
        /// What the system says.
        #[error(source)]
        failure: std::io::Error,
    },
    /// A stand-in did not start.
    #[display("{_0}")]
    Start(quillhatch_standins::server::StartError),
    /// The HTTP client failed.
    #[display("{_0}")]
    Client(reqwest::Error),
    /// A simulation did not come to its end.
    #[display("{_0}")]
    Simulation(quillhatch_simulation::SimulationFailed),
    /// The demo did not come to its end.
    #[display("{_0}")]
    Demo(crate::demo::DemoError),
    /// Real nodes could not be measured.
    #[display("{_0}")]
    Real(crate::bench::real::RealError),
    /// Hollow nodes could not be measured.
    #[display("{_0}")]
    Hollow(crate::bench::hollow::HollowError),
    /// A picture could not be drawn.
    #[display("{_0}")]
    Plot(crate::plot::PlotError),
    /// A result could not be written as JSON.
    #[display("cannot write JSON: {_0}")]
    Json(serde_json::Error),
    /// The runtime or a signal handler could not be set up.
    #[display("{_0}")]
    System(std::io::Error),
    /// The thread pool could not be set up.
    #[display("{_0}")]
    Threads(rayon::ThreadPoolBuildError),
}
