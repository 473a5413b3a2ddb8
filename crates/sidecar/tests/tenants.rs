//! API keys, tenants and their rate limits across two sidecars.

mod support;

use std::net::IpAddr;
use std::time::Duration;

use quillhatch_mesh::limits::LimitBounds;
use quillhatch_sidecar::metrics;
use quillhatch_sidecar::node::Node;
use support::caller::{call, Caller};
use support::store::{StandInStore, StoreMode};
use support::target::ChainedCall;
use support::tenancy::{
    document, get, read, two_machines, with_key, with_strict_revocation, FREE_KEY, HOST, LIMITED_BURST, LIMITED_KEY,
    LIMITED_RATE, REVOCATION,
};
use support::{eventually, run, Machine};
use test_case::test_case;
use tokio::time::{sleep, Instant};

async fn start() -> (StandInStore, Machine, Machine) {
    let store = StandInStore::start().await;
    let (alpha, beta) = two_machines(|settings| settings, &store, &store).await;
    (store, alpha, beta)
}

#[test]
fn a_target_receives_the_tenant_but_not_the_key() {
    run(async {
        let (_store, alpha, beta) = start().await;
        let forged = format!("{}Quillhatch-Tenant: limited\r\n", with_key(FREE_KEY));
        for (id, headers) in [("one", with_key(FREE_KEY)), ("two", forged)] {
            assert_eq!(call(beta.outbound(), &get("read", id, &headers)).await.expect("a response").status, 200);
        }
        for seen in alpha.target.started_requests() {
            assert_eq!((seen.header("quillhatch-tenant"), seen.header("x-api-key")), ("free", ""), "{}", seen.id());
        }
        assert!(!metrics::render(beta.node()).contains(FREE_KEY));
    });
}

#[test_case("", 401; "no key")]
#[test_case("X-Api-Key: key-of-nobody\r\n", 401; "an unknown key")]
#[test_case("X-Api-Key: key-of-fre\r\n", 401; "the beginning of a key")]
#[test_case("X-Api-Key: key-of-free\r\nX-Api-Key: key-of-free\r\n", 401; "two keys")]
#[test_case("X-Api-Key: key-of-free\r\n", 200; "a key")]
fn a_call_needs_a_key(headers: &str, status: u16) {
    let request = get("read", "one", headers);
    run(async move {
        let (_store, alpha, beta) = start().await;
        assert_eq!(call(beta.outbound(), &request).await.expect("a response").status, status);
        assert_eq!(alpha.target.received_count(), usize::from(status == 200));
    });
}

#[test]
fn a_caller_on_the_targets_machine_needs_a_key() {
    run(async {
        let (_store, alpha, beta) = start().await;
        let source = IpAddr::V4(beta.address);
        let mut caller = Caller::connect_from(source, beta.outbound()).await.expect("a connection");
        caller.send(&get("read", "one", "")).await;
        assert_eq!(caller.next_response().await.expect("a response").status, 401);
        assert_eq!(alpha.target.received_count(), 0);
    });
}

#[test]
fn a_public_route_needs_no_key_and_forwards_no_tenant() {
    run(async {
        let (_store, alpha, beta) = start().await;
        for (id, headers) in [("one", String::new()), ("two", with_key("key-of-nobody")), ("three", with_key(FREE_KEY))]
        {
            let forged = format!("{headers}Quillhatch-Tenant: limited\r\n");
            assert_eq!(call(beta.outbound(), &get("open", id, &forged)).await.expect("a response").status, 200);
        }
        for seen in alpha.target.started_requests() {
            assert_eq!((seen.header("quillhatch-tenant"), seen.header("x-api-key")), ("", ""), "{}", seen.id());
        }
    });
}

#[test]
fn calls_of_a_target_need_no_key() {
    run(async {
        let (_store, alpha, beta) = start().await;
        alpha.target.set_chained_call(ChainedCall {
            outbound: alpha.outbound(),
            host: HOST.to_owned(),
            path: "/leaf/x".to_owned(),
        });
        for number in 0..20 {
            let request = get("chain", &format!("c{number}"), &with_key(FREE_KEY));
            assert_eq!(call(beta.outbound(), &request).await.expect("a response").status, 200, "{number}");
        }
        assert_eq!(beta.target.started_requests().len(), 20);
    });
}

#[test]
fn a_revoked_key_is_refused_and_a_new_one_accepted() {
    run(async {
        let (store, alpha, beta) = start().await;
        store.write_configuration(&document(6, &["another-key"]));
        eventually("both have version 6", || [&alpha, &beta].iter().all(|machine| version(machine.node()) == 6)).await;
        assert_eq!(read(&beta, "old", FREE_KEY).await.status, 401);
        assert_eq!(read(&beta, "new", "another-key").await.status, 200);
    });
}

fn version(node: &Node) -> u64 {
    node.configuration.borrow().version()
}

#[test]
fn a_ready_node_knows_the_number_of_machines_that_share_a_limit() {
    run(async {
        let (_store, alpha, beta) = start().await;
        for machine in [&alpha, &beta] {
            assert_eq!(machine.node().tenancy.machine_count.get(), 2);
        }
    });
}

#[test]
fn calls_beyond_a_limit_get_retry_after_and_other_tenants_are_unaffected() {
    run(async {
        let (_store, alpha, beta) = start().await;
        eventually("a coordinator responds", || {
            let machines = beta.node().tenancy.machine_count.get();
            let period = quillhatch_mesh::limits::report_period(machines);
            beta.node().tenancy.limits.borrow().has_coordinator(period, beta.node().now())
        })
        .await;
        let (mut served, mut refused) = (0, 0);
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(4) {
            let response = read(&beta, &format!("l{}", served + refused), LIMITED_KEY).await;
            if response.status == 429 {
                let pause: f64 = response.header("retry-after").parse().expect("a time");
                assert!((0.1..10.0).contains(&pause), "{pause}");
                refused += 1;
            } else {
                assert_eq!(response.status, 200);
                served += 1;
            }
            sleep(Duration::from_millis(20)).await;
        }
        // The rate of three per second, the burst of three and a part of the slack.
        assert!((10..=28).contains(&served), "{served} served, {refused} refused");
        assert_eq!(alpha.target.received_count(), served, "refused calls reach no target");
        for number in 0..50 {
            assert_eq!(read(&beta, &format!("f{number}"), FREE_KEY).await.status, 200);
        }
    });
}

#[test]
fn a_burst_that_starts_at_all_machines_at_once_stays_within_the_limit() {
    run(async {
        let (store, alpha, beta) = start().await;
        let mut machines = vec![alpha, beta];
        for _ in 0..8 {
            machines.push(Machine::start(&store, "alpha", 8).await);
        }
        eventually("one node coordinates all machines", || {
            machines.iter().any(|machine| machine.node().tenancy.coordinator.borrow().node_count() == machines.len())
        })
        .await;
        sleep(Duration::from_secs(1)).await;
        let WindowLimit { window, max_calls } = window_limit();
        let mut served = 0;
        let started = Instant::now();
        for (number, machine) in machines.iter().cycle().enumerate() {
            if started.elapsed() >= window {
                break;
            }
            let response = read(machine, &format!("l{number}"), LIMITED_KEY).await;
            served += usize::from(response.status == 200);
            sleep(Duration::from_millis(1)).await;
        }
        assert!(served <= max_calls, "{served} of {max_calls}");
    });
}

/// The maximum number of admitted calls of the limited tenant in one window.
struct WindowLimit {
    window: Duration,
    max_calls: usize,
}

fn window_limit() -> WindowLimit {
    let LimitBounds { window, tolerance, slack } = support::BOUNDS.limits;
    let limit = LIMITED_RATE * window.as_secs_f64() + LIMITED_BURST;
    WindowLimit { window, max_calls: (limit * (1.0 + tolerance) + slack) as usize }
}

#[test]
fn keys_are_accepted_for_less_than_the_revocation_bound_while_the_store_does_not_respond() {
    run(async {
        let store = StandInStore::start().await;
        let (alpha, beta) = two_machines(with_strict_revocation, &store, &store).await;
        assert_eq!(read(&beta, "one", FREE_KEY).await.status, 200);
        store.set_mode(StoreMode::Unresponsive);
        let outage_start = Instant::now();
        while read(&beta, "while", FREE_KEY).await.status == 200 {
            sleep(Duration::from_millis(20)).await;
        }
        assert!(outage_start.elapsed() < REVOCATION, "{:?}", outage_start.elapsed());
        let response = read(&beta, "late", FREE_KEY).await;
        assert_eq!(response.status, 503);
        assert!(response.header("retry-after").parse::<f64>().is_ok(), "it contains a retry delay");
        assert!(!beta.node().is_ready(), "callers are directed elsewhere");
        assert_eq!(call(beta.outbound(), &get("open", "open", "")).await.expect("a response").status, 200);
        store.set_mode(StoreMode::Normal);
        eventually("keys are accepted again", || beta.node().is_ready() && alpha.node().is_ready()).await;
        assert_eq!(read(&beta, "again", FREE_KEY).await.status, 200);
    });
}

#[test]
fn a_node_that_cannot_read_the_store_uses_the_proofs_of_others_while_its_configuration_equals_theirs() {
    run(async {
        let store = StandInStore::start().await;
        let store_of_beta = store.add_listener().await;
        let (alpha, beta) = two_machines(with_strict_revocation, &store, &store_of_beta).await;
        store_of_beta.set_mode(StoreMode::Unresponsive);
        let started = Instant::now();
        while started.elapsed() < REVOCATION * 2 {
            assert_eq!(read(&beta, "while", FREE_KEY).await.status, 200, "after {:?}", started.elapsed());
            sleep(Duration::from_millis(30)).await;
        }
        store.write_configuration(&document(6, &["another-key"]));
        let revoked = Instant::now();
        while read(&beta, "old", FREE_KEY).await.status == 200 {
            assert!(revoked.elapsed() < REVOCATION, "the revoked key is accepted for too long");
            sleep(Duration::from_millis(30)).await;
        }
        drop(alpha);
    });
}
