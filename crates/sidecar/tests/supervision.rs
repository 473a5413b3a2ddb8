//! Tasks of a process that panic or end.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use quillhatch_sidecar::node::Node;
use quillhatch_sidecar::supervision::supervise;
use support::caller::{call, Caller};
use support::shop::{document, read};
use support::store::StandInStore;
use support::{eventually, run, settings, unused_address, Machine};
use tokio::time::{sleep, timeout};

/// How long a part of the node's state stays borrowed: any task that needs it meanwhile panics.
const BORROW_TIME: Duration = Duration::from_millis(300);

#[test]
#[allow(clippy::await_holding_refcell_ref)] // The panic that this causes is what the test needs.
fn a_node_whose_store_reader_has_panicked_follows_the_store_again() {
    // Guards against this failure: a process without its store reader went on, and knew no later change.
    run(async {
        let store = StandInStore::start().await;
        store.write_configuration(&document(5, "alpha"));
        let alpha = Machine::start(&store, "alpha", 4).await;
        let targets = alpha.node().targets.borrow_mut();
        store.deregister("unknown");
        store.register(&alpha.target, "draining");
        sleep(BORROW_TIME).await;
        drop(targets);
        assert!(alpha.node().counters.task_failures.get() > 0, "a task has panicked");
        store.register(&alpha.target, "ready");
        store.write_configuration(&document(6, "alpha"));
        eventually("version 6", || alpha.node().configuration.borrow().version() == 6).await;
        eventually("the target is ready", || !alpha.node().targets.borrow().is_draining(&alpha.target.id())).await;
        eventually("a call is served", || alpha.node().is_ready()).await;
        assert_eq!(call(alpha.outbound(), &read("one")).await.expect("a response").status, 200);
    });
}

#[test]
#[allow(clippy::await_holding_refcell_ref)] // The panic that this causes is what the test needs.
fn a_connection_whose_task_has_panicked_is_not_counted_as_open() {
    run(async {
        let store = StandInStore::start().await;
        store.write_configuration(&document(5, "alpha"));
        let alpha = Machine::start(&store, "alpha", 4).await;
        let configuration = alpha.node().configuration.borrow_mut();
        let mut caller = Caller::connect(alpha.outbound()).await;
        caller.send(&read("one")).await;
        assert!(caller.is_closed_within(Duration::from_secs(1)).await, "its task has panicked");
        drop(configuration);
        eventually("no connection is open", || alpha.sidecar.open_connections() == 0).await;
        assert_eq!(call(alpha.outbound(), &read("two")).await.expect("a response").status, 200);
    });
}

async fn starts_within(time: Duration, panics: bool) -> u32 {
    let nowhere = (unused_address(), 1).into();
    let node = Node::new(settings(unused_address(), "alpha", nowhere, nowhere), Default::default());
    let starts = Rc::new(Cell::new(0));
    let counted = Rc::clone(&starts);
    let task = supervise(Rc::clone(&node), "test", move || {
        counted.set(counted.get() + 1);
        async move { assert!(!panics, "the test's panic") }
    });
    timeout(time, task).await.expect_err("it never ends");
    assert_eq!(node.counters.task_failures.get(), u64::from(starts.get()));
    starts.get()
}

#[test_case::test_case(true; "panics")]
#[test_case::test_case(false; "ends")]
fn a_task_is_started_again_after_growing_pauses_if_it(panics: bool) {
    run(async move {
        // After 0.05, 0.15, 0.35 and 0.75 s.
        let starts = starts_within(Duration::from_secs(1), panics).await;
        assert!((2..=5).contains(&starts), "{starts} starts in a second");
    });
}
