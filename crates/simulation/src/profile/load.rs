//! The load that a deployment can carry, worked out from its call graphs.

use super::{Deployment, StepIndex};

/// Sites that carry load.
const SITE_COUNT: f64 = 2.0;

/// Mean one-way latency between a back end and the gate of another, in seconds.
fn hop_seconds(deployment: &Deployment) -> f64 {
    let latencies = &deployment.latencies;
    (latencies.within_zone + 2 * latencies.between_zones) as f64 / 3.0 / 1e6
}

/// The mean time that a call of `step` holds a slot on an idle fleet, in seconds.
fn occupancy(deployment: &Deployment, step: StepIndex) -> f64 {
    let step = &deployment.steps[step];
    let hop = hop_seconds(deployment);
    let below: f64 = step
        .stages
        .iter()
        .map(|stage| {
            let children = stage
                .0
                .iter()
                .map(|child| f64::from(child.percent) / 100.0 * (occupancy(deployment, child.step) + 2.0 * hop));
            children.fold(0.0, f64::max)
        })
        .sum();
    step.work.as_secs_f64() + step.answer.streaming.as_secs_f64() + below
}

fn add_busy_time(deployment: &Deployment, step: StepIndex, calls: f64, busy: &mut [f64]) {
    busy[deployment.steps[step].service] += calls * occupancy(deployment, step);
    for stage in &deployment.steps[step].stages {
        for child in &stage.0 {
            add_busy_time(deployment, child.step, calls * f64::from(child.percent) / 100.0, busy);
        }
    }
}

/// The rate of root calls at which the slots of the first service are all in use, over both sites.
pub fn capacity_roots_per_second(deployment: &Deployment) -> f64 {
    let total_weight: f64 = deployment.traffic.iter().map(|traffic| traffic.weight).sum();
    let mut busy = vec![0.0; deployment.services.len()];
    for traffic in &deployment.traffic {
        add_busy_time(deployment, traffic.step, traffic.weight / total_weight, &mut busy);
    }
    let rates = deployment.services.iter().zip(&busy).filter(|(_, &busy)| busy > 0.0).map(|(service, busy)| {
        let slots = service.targets as f64 * f64::from(service.slots) * SITE_COUNT;
        slots / busy
    });
    rates.fold(f64::INFINITY, f64::min)
}
