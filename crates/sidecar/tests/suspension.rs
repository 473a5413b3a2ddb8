//! Suspension of a machine: other machines, targets and the store continue, and the monotonic clock of its processes
//! does not count the time.
//!
//! The tests advance the node's clock but not the runtime's timers, as a suspension does.

mod support;

use std::time::Duration;

use support::caller::{call, request, Caller};
use support::shop;
use support::store::{StandInStore, StoreMode};
use support::target::TargetBehaviour;
use support::tenancy::{self, with_strict_revocation, FREE_KEY, REVOCATION};
use support::{eventually, run, Machine};
use tokio::time::{sleep, Instant};

#[test]
fn a_key_revoked_during_a_suspension_is_not_accepted() {
    run(async {
        let store = StandInStore::start().await;
        let store_of_beta = store.add_listener().await;
        let (_alpha, beta) = tenancy::two_machines(with_strict_revocation, &store, &store_of_beta).await;
        assert_eq!(tenancy::read(&beta, "before", FREE_KEY).await.status, 200);
        store_of_beta.set_mode(StoreMode::Unresponsive);
        store.write_configuration(&tenancy::document(6, &["another-key"]));
        beta.node().clock.suspend_for(REVOCATION);
        let response = tenancy::read(&beta, "after", FREE_KEY).await;
        assert_eq!(response.status, 503, "the configuration is too old to accept keys");
        // The other node may have sent the configuration that revokes the key meanwhile.
        let has_newest = beta.node().configuration.borrow().version() == 6;
        assert!(has_newest || !beta.node().is_ready());
        assert_ne!(tenancy::read(&beta, "again", FREE_KEY).await.status, 200, "the key was revoked");
    });
}

#[test]
fn the_store_is_read_at_once_after_a_suspension() {
    run(async {
        let (store, alpha, beta) = shop::two_machines().await;
        // The store never responds to the current watch.
        store.set_mode(StoreMode::WatchHangs);
        store.register(&alpha.target, "draining");
        sleep(Duration::from_millis(100)).await;
        store.set_mode(StoreMode::Normal);
        beta.node().clock.suspend_for(Duration::from_secs(5));
        call(beta.outbound(), &shop::read("wakes")).await;
        let started = Instant::now();
        let id = alpha.target.id();
        let is_known = || beta.node().targets.borrow().get(&id).is_none_or(|target| target.registration.draining);
        eventually("beta has received the drain", is_known).await;
        assert!(started.elapsed() < Duration::from_millis(1500), "{:?}", started.elapsed());
    });
}

#[test]
fn a_call_whose_deadline_passed_during_a_suspension_is_answered_at_once() {
    run(async {
        let (_store, alpha, beta) = shop::two_machines().await;
        alpha.target.set_behaviour(TargetBehaviour::Slow(Duration::from_secs(5)));
        let mut caller = Caller::connect(beta.outbound()).await;
        caller.send(&shop::read("waits")).await;
        sleep(Duration::from_millis(100)).await;
        beta.node().clock.suspend_for(Duration::from_secs(3));
        let started = Instant::now();
        // Any call makes the node detect the suspension.
        call(beta.outbound(), &request("GET", shop::HOST, "/none/", "wakes", 1000, "")).await;
        let response = caller.next_response_within(Duration::from_secs(2)).await.expect("a response");
        assert!((500..600).contains(&response.status), "{}", response.status);
        assert!(started.elapsed() < Duration::from_millis(300), "{:?}", started.elapsed());
    });
}

#[test]
fn a_suspension_is_detected_without_calls() {
    run(async {
        let (_store, _alpha, beta) = shop::two_machines().await;
        beta.node().clock.suspend_for(Duration::from_secs(4));
        sleep(Duration::from_millis(2300)).await;
        assert_eq!(beta.node().clock.detect_suspension(), None, "it was detected before");
    });
}

#[test]
fn shares_of_a_limit_received_before_a_suspension_expire() {
    run(async {
        let (_store, beta) = {
            let store = StandInStore::start().await;
            let (alpha, beta) = tenancy::two_machines(|settings| settings, &store, &store).await;
            let period = quillhatch_mesh::limits::report_period(2);
            let has_coordinator = |machine: &Machine| {
                let node = machine.node();
                node.tenancy.limits.borrow().has_coordinator(period, node.now())
            };
            eventually("a coordinator responds", || has_coordinator(&beta)).await;
            alpha.sidecar.stop().await;
            beta.node().clock.suspend_for(Duration::from_secs(3));
            assert!(!has_coordinator(&beta), "the coordinator's shares have expired");
            (store, beta)
        };
        drop(beta);
    });
}

#[test]
fn a_stop_keeps_the_grace_period_across_a_suspension() {
    run(async {
        let (_store, alpha, beta) = shop::two_machines().await;
        alpha.target.set_behaviour(TargetBehaviour::Slow(Duration::from_secs(20)));
        let mut caller = Caller::connect(beta.outbound()).await;
        caller.send(&request("GET", shop::HOST, "/read/x", "long", 20_000, "")).await;
        let clock = beta.node().clock.clone();
        let started = Instant::now();
        let suspend = async {
            sleep(Duration::from_millis(500)).await;
            clock.suspend_for(Duration::from_secs(4));
        };
        tokio::join!(beta.sidecar.stop(), suspend);
        // Two seconds of the grace period are left after the suspension, and draining callers takes 2.2 s of real time.
        assert!(started.elapsed() < Duration::from_millis(3500), "{:?}", started.elapsed());
    });
}
