//! Call graphs: what a back end does for a call, and which calls it makes below it.

use std::time::Duration;

use super::{ClassIndex, ServiceIndex};

/// The position of a step in [`Deployment::steps`](super::Deployment::steps).
pub type StepIndex = usize;

/// A call made below another.
#[derive(Clone, Copy, Debug)]
pub struct Child {
    /// What is called.
    pub step: StepIndex,
    /// How often the call is made, in percent.
    pub percent: u32,
}

/// Calls made at the same time; the next stage begins after all are answered.
#[derive(Clone, Debug)]
pub struct Stage(pub Vec<Child>);

/// The answer of a step.
#[derive(Clone, Copy, Debug)]
pub struct AnswerShape {
    /// Bytes of the body.
    pub bytes: u64,
    /// The time over which the body is sent; zero for an answer that is sent at once.
    pub streaming: Duration,
}

/// What one service does for one kind of call.
#[derive(Clone, Debug)]
pub struct Step {
    /// The service.
    pub service: ServiceIndex,
    /// The class of the call.
    pub class: ClassIndex,
    /// The mean time of the back end's own work, divided evenly around the stages.
    pub work: Duration,
    /// The calls below it, in order.
    pub stages: Vec<Stage>,
    /// Its answer.
    pub answer: AnswerShape,
}

impl Step {
    /// A step of `service` and `class` with a mean of `work_milliseconds` and a short answer.
    pub fn new(service: ServiceIndex, class: ClassIndex, work_milliseconds: u64) -> Self {
        const SHORT_ANSWER_BYTES: u64 = 2_000;
        Step {
            service,
            class,
            work: Duration::from_millis(work_milliseconds),
            stages: Vec::new(),
            answer: AnswerShape { bytes: SHORT_ANSWER_BYTES, streaming: Duration::ZERO },
        }
    }

    /// Adds a stage of one call.
    pub fn then(self, step: StepIndex, percent: u32) -> Self {
        self.then_all(&[(step, percent)])
    }

    /// Adds a stage of several calls at once, each with how often it is made in percent.
    pub fn then_all(mut self, children: &[(StepIndex, u32)]) -> Self {
        let stage = children.iter().map(|&(step, percent)| Child { step, percent }).collect();
        self.stages.push(Stage(stage));
        self
    }

    /// Makes the answer a download of `bytes`, sent over `streaming`.
    pub fn download(mut self, bytes: u64, streaming: Duration) -> Self {
        self.answer = AnswerShape { bytes, streaming };
        self
    }
}
