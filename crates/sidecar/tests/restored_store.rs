//! Nodes that start after the store was restored from a backup, while other nodes remember more than the backup contains.

mod support;

use std::time::Duration;

use quillhatch_mesh::store_reader::reregistration_timeout_after_restore;
use quillhatch_sidecar::node::Node;
use quillhatch_sidecar::run::start;
use support::store::{LostWrite, StandInStore};
use support::tenancy::{document, read, with_strict_revocation, FREE_KEY, REVOCATION};
use support::{eventually, run, Machine, BOUNDS};
use test_case::test_case;
use tokio::time::{sleep, Instant};

/// With a single zone, five nodes read or watch the store; the others follow them.
const MACHINES: usize = 9;
/// The API key that the lost configuration removes.
const REMOVED_KEY: &str = "key-removed";

/// How a node serves in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Reader,
    Standby,
    Follower,
}

fn role(machine: &Machine) -> Role {
    let role = machine.node().feed.role.borrow();
    match (role.is_reader, role.is_standby) {
        (true, _) => Role::Reader,
        (_, true) => Role::Standby,
        _ => Role::Follower,
    }
}

/// A fleet whose store was restored from a backup that lacks version 6, which removed an API key.
struct RestoredFleet {
    store: StandInStore,
    machines: Vec<Machine>,
    lost: Vec<LostWrite>,
}

impl RestoredFleet {
    async fn start() -> Self {
        Self::start_after(Duration::ZERO).await.0
    }

    /// Also returns the number of calls to the store during `quiet`, before the last write.
    async fn start_after(quiet: Duration) -> (Self, usize) {
        let store = StandInStore::start().await;
        store.write_configuration(&document(5, &[FREE_KEY, REMOVED_KEY]));
        let mut machines = Vec::new();
        for _ in 0..MACHINES {
            machines.push(Machine::start_with(&store, "alpha", 8, with_strict_revocation).await);
        }
        let all_listed = || machines.iter().all(|machine| machine.node().targets.borrow().len() == MACHINES);
        eventually("all are listed", all_listed).await;
        let calls = store.calls();
        sleep(quiet).await;
        let quiet_calls = store.calls() - calls;
        let copied = Instant::now();
        store.write_configuration(&document(6, &[FREE_KEY]));
        let all_have = || machines.iter().all(|machine| version(machine) == 6);
        eventually("all have version 6", all_have).await;
        let lost = store.restore_backup(copied.elapsed());
        assert_eq!(lost.len(), 1, "only the configuration is lost");
        let all_in_new_era = || machines.iter().all(|machine| machine.node().position().era == 2);
        eventually("all have noticed the new era", all_in_new_era).await;
        (RestoredFleet { store, machines, lost }, quiet_calls)
    }

    /// The machines whose nodes have a role.
    fn with_role(&self, wanted: Role) -> Vec<usize> {
        (0..MACHINES).filter(|number| role(&self.machines[*number]) == wanted).collect()
    }

    /// Ends the sidecar of a node with `wanted`, without a warning, and starts another one in its place.
    async fn restart(&mut self, wanted: Role) -> usize {
        let number = self.with_role(wanted)[0];
        self.restart_machine(number).await;
        number
    }

    async fn restart_machine(&mut self, number: usize) {
        let Machine { target, sidecar, address } = self.machines.remove(number);
        let settings = sidecar.node.settings.clone();
        drop(sidecar);
        // The runtime drops the aborted tasks, which hold the addresses, in the meantime.
        sleep(Duration::from_millis(50)).await;
        let sidecar = start(Node::new(settings, Default::default())).expect("its addresses are free");
        eventually("the restarted node is ready", || sidecar.node.is_ready()).await;
        self.machines.insert(number, Machine { target, sidecar, address });
    }
}

fn version(machine: &Machine) -> u64 {
    machine.node().configuration.borrow().version()
}

// A node that had started between the restore and the second write kept the older configuration for good, and accepted
// an API key that the newer one removes.
#[test_case(Role::Reader)]
#[test_case(Role::Standby)]
#[test_case(Role::Follower)]
fn a_configuration_written_again_after_a_restore_reaches_a_node_that_started_in_between(restarted: Role) {
    run(async move {
        let mut fleet = RestoredFleet::start().await;
        let number = fleet.restart(restarted).await;
        fleet.lost.iter().for_each(|lost| fleet.store.rewrite(lost));
        sleep(BOUNDS.apply).await;
        assert_eq!(version(&fleet.machines[number]), 6, "within the bound of the second write");
        sleep(REVOCATION.saturating_sub(BOUNDS.apply)).await;
        let refused = read(&fleet.machines[number], "removed", REMOVED_KEY).await;
        assert_eq!(refused.status, 401, "the key was removed");
    });
}

// Between a restore and the second write, a node that had started after the restore used the older configuration of the
// store although all others remembered the newer one.
#[test_case(Role::Reader)]
#[test_case(Role::Standby)]
#[test_case(Role::Follower)]
fn a_node_that_starts_after_a_restore_gets_the_newer_configuration_that_others_remember(restarted: Role) {
    run(async move {
        let mut fleet = RestoredFleet::start().await;
        let number = fleet.restart(restarted).await;
        sleep(BOUNDS.apply).await;
        assert_eq!(version(&fleet.machines[number]), 6);
        let refused = read(&fleet.machines[number], "removed", REMOVED_KEY).await;
        assert_ne!(refused.status, 200, "the key was removed");
    });
}

// If all nodes that read the store had started after a restore, the newer configuration that their followers remembered
// did not reach them.
#[test]
fn nodes_that_read_a_restored_store_learn_from_calls_that_others_have_a_newer_configuration() {
    run(async move {
        let mut fleet = RestoredFleet::start().await;
        let heads = [fleet.with_role(Role::Reader), fleet.with_role(Role::Standby)].concat();
        for number in &heads {
            fleet.restart_machine(*number).await;
        }
        for number in &heads {
            for call in 0..8 {
                read(&fleet.machines[*number], &format!("call-{number}-{call}"), FREE_KEY).await;
            }
        }
        sleep(BOUNDS.apply).await;
        let versions: Vec<u64> = heads.iter().map(|number| version(&fleet.machines[*number])).collect();
        assert_eq!(versions, [6; 5]);
    });
}

// After a restore each node read the store several times a second, although no read counted as a proof of freshness yet.
#[test]
fn nodes_read_a_restored_store_no_more_often_while_their_reads_prove_nothing() {
    run(async move {
        let period = reregistration_timeout_after_restore(&BOUNDS);
        let (fleet, before) = RestoredFleet::start_after(period).await;
        let calls = fleet.store.calls();
        sleep(period).await;
        let calls = fleet.store.calls() - calls;
        assert!(calls <= before + MACHINES, "{calls} calls by {MACHINES} nodes in {period:?}, {before} before");
    });
}
