//! Names, identities, times and the configuration model shared by all crates.
//!
//! This is the leaf of the workspace: it performs no input or output, reads no clock and draws no random number.

pub mod admission;
pub mod call;
pub mod configuration;
pub mod finding;
pub mod hash;
pub mod hexadecimal;
pub mod identity;
pub mod names;
pub mod outcome;
pub mod routing;
pub mod time;

pub use admission::{AdmissionLevel, AdmissionRank, Priority};
pub use call::{
    AttemptId, CallContext, CallId, Digest, HeaderField, ParentContext, RecordedAnswer, RequestKey, RootId,
};
pub use configuration::{
    ClassConfiguration, Configuration, Formation, ServiceConfiguration, SiteConfiguration, TargetConfiguration,
};
pub use finding::{Finding, Findings, Severity, SourceLocation};
pub use identity::{Epoch, Generation, Incarnation, NodeAddress, NodeId, Revision, SlotId};
pub use names::{CallerName, ClassName, DeploymentName, PlanId, ServiceName, SiteName, ZoneName};
pub use outcome::{Feedback, Outcome, Refusal, RefusalReason};
pub use routing::{GateEntry, GateStatus, ServiceTable, SlotAssignment, SlotState};
pub use time::Timestamp;
