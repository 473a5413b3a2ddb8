//! Requests that crash the targets that run them, and how the harm is bounded over all nodes.
//!
//! Such a request comes again and again, each time with another id and at another machine. So what a request did is remembered under its
//! [`RequestSignature`], where every copy must pass: at the gates of the service. The gate whose target crashed counts the crash against all
//! calls that ran there, since any of them may have caused it, and broadcasts this evidence to the other gates of the service, where crashes
//! add up. A request that completes anywhere is cleared. From the third crash on it is refused, for a time that doubles with each further one.
//!
//! Suspects are not made to run one at a time before: requests that only ran beside then wait for the harmful one, meet it again, and up to 58
//! of 50,000 were refused in virtual fleets of 4 gates where 0 are without.
//!
//! Nothing is written anywhere. A gate that starts asks others of its service; parts that were cut off from each other count for
//! themselves, and their ends add up again afterwards.

mod completed;
mod evidence;
mod runs;
mod signature;

pub use evidence::{CrashId, Quarantine, SuspectRecord, Verdict};
pub use runs::{RunId, RunTracker, TargetCrash};
pub use signature::{RequestParts, RequestSignature, SignatureKey};
