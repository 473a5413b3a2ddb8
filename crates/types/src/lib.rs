//! Names, identities, times and the configuration model shared by all crates.
//!
//! This crate depends on no other crate of the workspace. It performs no I/O, reads no clock and generates no random
//! numbers.

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
