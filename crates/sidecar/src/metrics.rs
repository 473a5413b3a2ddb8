//! The metrics endpoint of a node.

use crate::node::Node;

/// Renders the metrics of the node in the Prometheus text format.
pub fn render(node: &Node) -> String {
    let load = node.gate.borrow().load();
    let status = node.local_target_status.current();
    let gauges = [
        ("configuration_version", node.configuration.borrow().version() as f64),
        ("targets", node.targets.borrow().len() as f64),
        ("gate_running", f64::from(load.running)),
        ("gate_limit", f64::from(load.limit)),
        ("gate_waiting", f64::from(load.waiting)),
        ("gate_is_short", f64::from(u8::from(node.shortage().is_some()))),
        ("target_health", node.target_health.borrow_mut().good_share(node.now())),
        ("target_rate_limit", status.rate_limit.unwrap_or(-1.0)),
        ("target_leaving", f64::from(u8::from(status.is_draining))),
        ("quarantine_suspects", node.quarantine.borrow().len() as f64),
        ("edge_running", node.calls.len() as f64),
        ("edge_responses_waiting", node.waiting_responses.len() as f64),
        ("tenants", node.current_configuration().map_or(0.0, |current| current.tenants.len() as f64)),
        (
            "configuration_age_seconds",
            node.tenancy.freshness.borrow().age(node.now()).map_or(-1.0, |age| age.as_secs_f64()),
        ),
        ("coordinated_nodes", node.tenancy.coordinator.borrow().node_count() as f64),
        ("store_reader", f64::from(u8::from(node.feed.role.borrow().is_reader))),
        ("store_standby", f64::from(u8::from(node.feed.role.borrow().is_standby))),
        ("store_era", node.position().era as f64),
        ("store_revision", node.position().revision as f64),
        (
            "store_lost_seconds",
            node.feed.store_loss.get().since().map_or(0.0, |since| node.now().since(since).as_secs_f64()),
        ),
        (
            "store_read_age_seconds",
            node.feed.store_read_at.get().map_or(-1.0, |read_at| node.now().since(read_at).as_secs_f64()),
        ),
        ("store_access_lost", f64::from(u8::from(node.store_access_lost.get()))),
        ("targets_kept", node.targets.borrow().retained().count() as f64),
        ("ready", f64::from(u8::from(node.is_ready()))),
    ];
    node.counters.render(&gauges, node.log_state().dropped())
}
