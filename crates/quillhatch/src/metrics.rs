//! The program's own counters, which the metrics page exposes.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use quillhatch_types::Refusal;

/// The labels of the counter for refusals.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabels {
    /// Whether the call ran, as far as this is known.
    pub outcome: String,
    /// Why it was refused.
    pub reason: String,
}

/// The labels of the counter for attempts that a gate did not accept.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct UnacceptedLabels {
    /// Why the gate did not accept the attempt's header.
    pub reason: &'static str,
}

macro_rules! counters {
    ($($(#[doc = $help:literal])+ $name:ident),+ $(,)?) => {
        /// The counters of the program itself; the decision code has its own.
        #[derive(Debug, Default)]
        pub struct Counters {
            /// Refusals that callers got instead of a back end's answer.
            pub refusals: Family<RefusalLabels, Counter>,
            /// Attempts that a gate did not accept as coming from a node of its deployment.
            pub unaccepted_attempts: Family<UnacceptedLabels, Counter>,
            $($(#[doc = $help])+ pub $name: Counter,)+
        }

        impl Counters {
            /// Registers all counters with `registry` under their field names.
            pub fn register(&self, registry: &mut Registry) {
                registry.register("refusals", "Answers to callers in the place of a back end", self.refusals.clone());
                let help = "Attempts that a gate did not accept as coming from a node of its deployment";
                registry.register("unaccepted_attempts", help, self.unaccepted_attempts.clone());
                $(registry.register(stringify!($name), concat!($($help),+).trim_start(), self.$name.clone());)+
            }
        }
    };
}

counters! {
    /// Requests with a context header that names no call running here
    unknown_contexts,
    /// Attempts whose context was absent, forged or for another run of the node
    rejected_call_headers,
    /// Answers whose source broke off before the end
    broken_sources,
    /// Answers that were broken off towards callers
    broken_answers,
    /// Frames of other nodes that were accepted
    received_frames,
    /// Frames that were refused: forged, replayed, malformed or for another run
    rejected_frames,
    /// Batches of frames that a peer took
    sent_batches,
    /// Batches of frames that did not reach their peer
    failed_batches,
    /// Messages that were dropped because too many waited for one peer
    dropped_messages,
    /// Readings of the platform that gave a configuration or a list of machines
    platform_readings,
    /// Readings of the platform that failed
    failed_platform_readings,
    /// Configuration documents that were refused because of their findings
    refused_configurations,
    /// Looks at the back end's health endpoint that failed
    failed_health_checks,
    /// Calls and attempts that were cut when the grace of a stop had passed
    cut_at_stop,
}

impl Counters {
    /// Counts a refusal that a caller gets instead of a back end's answer.
    pub fn count_refusal(&self, refusal: &Refusal) {
        let labels = RefusalLabels { outcome: refusal.outcome.to_string(), reason: refusal.reason.to_string() };
        self.refusals.get_or_create(&labels).inc();
    }
}
