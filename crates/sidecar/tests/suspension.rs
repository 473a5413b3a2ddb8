//! A machine that is suspended: other machines, targets and the store go on, and the steady clock of its processes does not count the time.
//!
//! The nodes' clocks are set ahead and the runtime's timers are not, as after a suspension.

mod support;

use std::time::Duration;

use support::caller::{call, request, Caller};
use support::shop;
use support::store::{StandInStore, StoreMode};
use support::target::TargetBehaviour;
use support::tenancy::{self, strictly, FREE_KEY, REVOCATION};
use support::{eventually, run, Machine};
use tokio::time::{sleep, Instant};

#[test]
fn a_key_that_was_taken_away_meanwhile_is_not_believed() {
    run(async {
        let store = StandInStore::start().await;
        let of_beta = store.add_listener().await;
        let (_alpha, beta) = tenancy::two_machines(strictly, &store, &of_beta).await;
        assert_eq!(tenancy::read(&beta, "before", FREE_KEY).await.status, 200);
        of_beta.set_mode(StoreMode::Unresponsive);
        store.write_configuration(&tenancy::document(6, &["another-key"]));
        beta.node().clock.suspend_for(REVOCATION);
        let answer = tenancy::read(&beta, "after", FREE_KEY).await;
        assert_eq!(answer.status, 503, "the configuration is older than a key may be believed");
        assert!(!beta.node().is_ready());
    });
}

#[test]
fn the_store_is_read_at_once_after_waking() {
    run(async {
        let (store, alpha, beta) = shop::two_machines().await;
        // Its watch waits for 25 s, and what the store sends meanwhile is lost.
        store.set_mode(StoreMode::WatchHangs);
        store.register(&alpha.target, "draining");
        sleep(Duration::from_millis(100)).await;
        store.set_mode(StoreMode::Normal);
        beta.node().clock.suspend_for(Duration::from_secs(5));
        call(beta.outbound(), &shop::read("wakes")).await;
        let begun = Instant::now();
        let id = alpha.target.id();
        let is_known = || beta.node().targets.borrow().get(&id).is_none_or(|target| target.registration.draining);
        eventually("the drain is known", is_known).await;
        assert!(begun.elapsed() < Duration::from_millis(1500), "{:?}", begun.elapsed());
    });
}

#[test]
fn a_call_whose_time_passed_is_answered_at_once() {
    run(async {
        let (_store, alpha, beta) = shop::two_machines().await;
        alpha.target.set_behaviour(TargetBehaviour::Slow(Duration::from_secs(5)));
        let mut caller = Caller::connect(beta.outbound()).await;
        caller.send(&shop::read("waits")).await;
        sleep(Duration::from_millis(100)).await;
        beta.node().clock.suspend_for(Duration::from_secs(3));
        let begun = Instant::now();
        // Any call shows that the machine has woken.
        call(beta.outbound(), &request("GET", shop::HOST, "/none/", "wakes", 1000, "")).await;
        let answer = caller.answer_within(Duration::from_secs(2)).await.expect("an answer");
        assert!((500..600).contains(&answer.status), "{}", answer.status);
        assert!(begun.elapsed() < Duration::from_millis(300), "{:?}", begun.elapsed());
    });
}

#[test]
fn a_waking_is_noticed_without_calls() {
    run(async {
        let (_store, _alpha, beta) = shop::two_machines().await;
        beta.node().clock.suspend_for(Duration::from_secs(4));
        sleep(Duration::from_millis(2300)).await;
        assert_eq!(beta.node().clock.notice_suspension(), None, "it was noticed before");
    });
}

#[test]
fn a_limit_that_was_handed_out_before_is_not_used_after() {
    run(async {
        let (_store, beta) = {
            let store = StandInStore::start().await;
            let (alpha, beta) = tenancy::two_machines(|settings| settings, &store, &store).await;
            let period = quillhatch_mesh::limits::report_period(2);
            let has_coordinator = |machine: &Machine| {
                let node = machine.node();
                node.tenancy.limits.borrow().has_coordinator(period, node.now())
            };
            eventually("a coordinator answers", || has_coordinator(&beta)).await;
            alpha.sidecar.stop().await;
            beta.node().clock.suspend_for(Duration::from_secs(3));
            assert!(!has_coordinator(&beta), "what it handed out has lapsed");
            (store, beta)
        };
        drop(beta);
    });
}

#[test]
fn a_stop_ends_in_time_though_the_machine_is_suspended_in_between() {
    run(async {
        let (_store, alpha, beta) = shop::two_machines().await;
        alpha.target.set_behaviour(TargetBehaviour::Slow(Duration::from_secs(20)));
        let mut caller = Caller::connect(beta.outbound()).await;
        caller.send(&request("GET", shop::HOST, "/read/x", "long", 20_000, "")).await;
        let clock = beta.node().clock.clone();
        let begun = Instant::now();
        let suspends = async {
            sleep(Duration::from_millis(500)).await;
            clock.suspend_for(Duration::from_secs(4));
        };
        tokio::join!(beta.sidecar.stop(), suspends);
        // Two seconds of the grace time are left when it wakes, and callers have been led away for 2.2 s.
        assert!(begun.elapsed() < Duration::from_millis(3500), "{:?}", begun.elapsed());
    });
}
