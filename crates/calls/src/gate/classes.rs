//! What a gate reads from the configuration: its target's limits and the classes of its service.

use std::time::Duration;

use quillhatch_types::{ClassName, Configuration, ServiceConfiguration, TargetConfiguration};

use super::service_time::ServiceTime;
use super::settings::GateSettings;

/// The deadline assumed for a class that the configuration does not list.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

/// One class of calls with its measured service time.
#[derive(Clone, Debug)]
pub(super) struct ClassState {
    pub(super) name: ClassName,
    pub(super) deadline: Duration,
    pub(super) large_answers: bool,
    pub(super) service_time: ServiceTime,
}

/// The part of the configuration that applies to one gate.
#[derive(Clone, Debug)]
pub(super) struct GateTarget {
    pub(super) slots: u32,
    pub(super) connections: u32,
    pub(super) minimum_time: Duration,
    pub(super) queue_timeout: Duration,
    pub(super) classes: Vec<ClassState>,
}

impl GateTarget {
    /// Reads the gate's part of `configuration`, and takes over the service times measured in `previous`.
    ///
    /// Returns `None` if the service or the target is not listed: the gate then retains its old values, and the code
    /// that removed the target drains it.
    pub(super) fn read(
        configuration: &Configuration,
        settings: &GateSettings,
        previous: Option<&GateTarget>,
    ) -> Option<Self> {
        let service = configuration.services.get(&settings.service)?;
        let target = service.targets.iter().find(|target| target.node == settings.node)?;
        Some(Self::build(service, target, settings, previous))
    }

    fn build(
        service: &ServiceConfiguration,
        target: &TargetConfiguration,
        settings: &GateSettings,
        previous: Option<&GateTarget>,
    ) -> Self {
        let connections = target.connections.clamp(1, settings.maximum_running.max(1));
        let class_state = |class: &quillhatch_types::ClassConfiguration| ClassState {
            name: class.name.clone(),
            deadline: class.deadline,
            large_answers: class.large_answers,
            service_time: previous
                .and_then(|old| old.class(&class.name))
                .map(|old| old.service_time)
                .unwrap_or_default(),
        };
        GateTarget {
            slots: target.slots.clamp(1, connections),
            connections,
            minimum_time: service.minimum_time,
            queue_timeout: service.queue_timeout,
            classes: service.classes.iter().map(class_state).collect(),
        }
    }

    pub(super) fn class(&self, name: &ClassName) -> Option<&ClassState> {
        self.classes.iter().find(|class| &class.name == name)
    }

    pub(super) fn class_mut(&mut self, name: &ClassName) -> Option<&mut ClassState> {
        self.classes.iter_mut().find(|class| &class.name == name)
    }

    pub(super) fn has_large_answers(&self) -> bool {
        self.classes.iter().any(|class| class.large_answers)
    }

    pub(super) fn deadline(&self, name: &ClassName) -> Duration {
        self.class(name).map_or(DEFAULT_DEADLINE, |class| class.deadline)
    }
}
