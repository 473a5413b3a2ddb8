//! Entries that other writers have left among those of the targets.

mod support;

use std::time::Duration;

use quillhatch_mesh::replica::{Change, Position, RevisedChange, Update, UpdateScope};
use quillhatch_sidecar::run::Running;
use quillhatch_sidecar::store_view::{own_store_view, record_peer_view};
use support::caller::call;
use support::shop::{document, read, two_machines};
use support::store::{StandInStore, StoreMode};
use support::target::StandInTarget;
use support::{eventually, run, start_sidecar, unused_address, OUTBOUND};
use test_case::test_case;
use tokio::time::{sleep, Instant};

/// The machines: half of them run targets of `alpha`, which is called.
const MACHINES: usize = 6;
/// The number of items in one page of the store.
const PAGE_SIZE: usize = 4;
/// The names of entries that fill the first page together with the configuration and one more.
const FILLERS: [&str; 2] = ["!1", "!2"];
/// How long processes may take to serve after they have started.
const START_TIME: Duration = Duration::from_secs(3);
/// The number of calls.
const CALLS: usize = 30;

/// A store in which entries stand among those of the targets, and sidecars that have started meanwhile.
struct Fleet {
    store: StandInStore,
    sidecars: Vec<Running>,
    targets: Vec<StandInTarget>,
}

impl Fleet {
    /// Lets `write` write entries and starts all processes.
    async fn start(write: impl Fn(&StandInStore)) -> Self {
        let store = StandInStore::start().await;
        store.set_page_size(PAGE_SIZE);
        store.write_configuration(&document(1, "alpha"));
        write(&store);
        let mut fleet = Fleet { store, sidecars: Vec::new(), targets: Vec::new() };
        for machine in 0..MACHINES {
            let service = if machine % 2 == 0 { "alpha" } else { "beta" };
            let target = StandInTarget::start(unused_address(), service, 8).await;
            fleet.store.register(&target, "ready");
            fleet.targets.push(target);
        }
        for target in &fleet.targets {
            let std::net::IpAddr::V4(machine) = target.address.ip() else { unreachable!("an IPv4 address") };
            let sidecar = start_sidecar(machine, &target.service, target.address, fleet.store.address);
            fleet.sidecars.push(sidecar);
        }
        let started = Instant::now();
        while started.elapsed() < START_TIME && !fleet.sidecars.iter().all(|sidecar| sidecar.node.is_ready()) {
            sleep(Duration::from_millis(20)).await;
        }
        fleet
    }

    /// The number of [`CALLS`] calls that are served.
    async fn serve_calls(&self) -> usize {
        let mut served = 0;
        for number in 0..CALLS {
            let outbound = std::net::SocketAddr::new(self.targets[number % MACHINES].address.ip(), OUTBOUND);
            let response = call(outbound, &read(&format!("call-{number}"))).await;
            served += usize::from(response.is_some_and(|response| response.status == 200));
        }
        served
    }
}

fn write_entries(store: &StandInStore, names: &[&str]) {
    for name in FILLERS.iter().chain(names) {
        store.write(&format!("servers/{name}"), Some("none"));
    }
}

#[test_case(&["b"]; "letters only")]
#[test_case(&["b c"]; "a blank")]
#[test_case(&["b\"c"]; "a quote")]
#[test_case(&["b\tc"]; "a tab")]
#[test_case(&["b\u{1}c"]; "a control byte")]
#[test_case(&["b\r\nc"]; "a line break")]
#[test_case(&["b#c"]; "a number sign")]
#[test_case(&["b+c"]; "a plus sign")]
#[test_case(&["b%"]; "a percent sign")]
#[test_case(&["bü"]; "an umlaut")]
#[test_case(&["%7E"]; "an escape of a later character")]
#[test_case(&["b&1", "b&2", "b&3", "b&4", "b&5", "b&6", "b&7", "b&8"]; "a page of names with ampersands")]
fn processes_that_start_serve_although_the_last_name_of_a_page_holds(names: &'static [&'static str]) {
    // Guards against this failure: the key was sent as it stands in the query for the next page.
    run(async move {
        let fleet = Fleet::start(|store| write_entries(store, names)).await;
        assert_eq!(fleet.serve_calls().await, CALLS);
    });
}

/// A registration with one of its fields replaced by another JSON text.
fn registration_with(field: &str, value: &str) -> String {
    let fields = [
        ("service", r#""alpha""#),
        ("address", r#""127.0.0.1:9""#),
        ("zone", r#""zone-a""#),
        ("version", r#""v1""#),
        ("slots", "4"),
        ("state", r#""ready""#),
        ("cold_remaining_s", "0"),
        ("seq", "1"),
        ("born", "1700000000123"),
    ];
    let fields = fields.map(|(name, usual)| format!(r#""{name}":{}"#, if name == field { value } else { usual }));
    format!("{{{}}}", fields.join(","))
}

fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

#[test_case(&nested(5000); "a deeply nested value")]
#[test_case(&registration_with("address", &nested(5000)); "a deeply nested address")]
#[test_case(&registration_with("other", &nested(5000)); "a deeply nested unknown field")]
#[test_case(&registration_with("address", r#""127.0.0.1:99999""#); "a port out of range")]
#[test_case(&registration_with("address", r#""127.0.0.1:0""#); "port 0")]
#[test_case(&registration_with("address", r#""0.0.0.0:80""#); "an unspecified address")]
#[test_case(&registration_with("address", r#""[::1]:9""#); "an IPv6 address")]
#[test_case(&registration_with("slots", "4294967295"); "the most slots")]
#[test_case(&registration_with("slots", "1e999"); "slots beyond all ranges")]
#[test_case(&registration_with("seq", "99999999999999999999999"); "a sequence number beyond its range")]
#[test_case(&registration_with("born", "18446744073709551615"); "the latest start time")]
#[test_case(&registration_with("cold_remaining_s", "1e300"); "a duration beyond its range")]
#[test_case(&registration_with("cold_remaining_s", "18446744073709551615"); "the longest duration")]
#[test_case(&registration_with("service", r#""a\r\nb\u0000""#); "control bytes in its service")]
#[test_case(&format!("\"{}\"", "x".repeat(60_000)); "60 KB")]
fn processes_serve_although_an_entry_has(value: &str) {
    // Entries with such values are written before the processes start and while they run.
    let value = value.to_owned();
    run(async move {
        let fleet = Fleet::start(|store| {
            write_entries(store, &[]);
            store.write("servers/b", Some(&value));
        })
        .await;
        assert_eq!(fleet.serve_calls().await, CALLS);
        fleet.store.write("servers/c", Some(&value));
        fleet.store.write_configuration(&document(2, "alpha"));
        let are_current = || fleet.sidecars.iter().all(|sidecar| sidecar.node.configuration.borrow().version() == 2);
        eventually("version 2", are_current).await;
        assert_eq!(fleet.serve_calls().await, CALLS);
        let failures = fleet.sidecars.iter().map(|sidecar| sidecar.node.counters.task_failures.get());
        assert_eq!(failures.sum::<u64>(), 0, "no task has panicked");
    });
}

#[test_case("b c"; "a blank")]
#[test_case("b\r\nc"; "a line break")]
#[test_case("b\"c"; "a quote")]
#[test_case("b;c"; "a semicolon")]
#[test_case("bü"; "an umlaut")]
fn an_entry_names_no_target_if_its_name_holds(name: &'static str) {
    run(async move {
        let (store, alpha, beta) = two_machines().await;
        store.register_as(name, &alpha.target, "ready");
        store.register_as("valid", &alpha.target, "ready");
        eventually("the entry after it is read", || beta.node().targets.borrow().get("valid").is_some()).await;
        assert!(beta.node().targets.borrow().get(name).is_none());
        for number in 0..CALLS {
            let response = call(beta.outbound(), &read(&format!("call-{number}"))).await;
            assert_eq!(response.expect("a response").status, 200);
        }
        store.write(&format!("servers/{name}"), None);
        store.deregister("valid");
        eventually("the removal after it is read", || beta.node().targets.borrow().get("valid").is_none()).await;
    });
}

#[test]
fn an_update_of_another_node_names_no_target_whose_name_holds_a_blank() {
    run(async {
        let (_store, alpha, beta) = two_machines().await;
        let from = alpha.node().position();
        let position = Position { revision: from.revision + 1000, ..from };
        let known = alpha.node().targets.borrow().get(&alpha.target.id()).expect("it is listed").registration.clone();
        let named = |name: &str| RevisedChange {
            revision: position.revision,
            change: Change::Target(name.into(), known.clone()),
        };
        let update = Update { scope: UpdateScope::After(from), position, changes: vec![named("b c"), named("valid")] };
        alpha.node().replica.borrow_mut().apply(update, alpha.node().now()).expect("it is later");
        record_peer_view(beta.node(), alpha.address.into(), own_store_view(alpha.node()));
        eventually("the update is taken", || beta.node().targets.borrow().get("valid").is_some()).await;
        assert!(beta.node().targets.borrow().get("b c").is_none());
    });
}

#[test_case("b c"; "a blank")]
#[test_case("b;c"; "a semicolon")]
fn a_health_check_names_no_target_if_its_id_holds(name: &'static str) {
    run(async move {
        let (_store, alpha, beta) = two_machines().await;
        call(beta.outbound(), &read("known")).await.expect("a response");
        alpha.target.set_id(name);
        for number in 0..3 {
            call(beta.outbound(), &read(&format!("call-{number}"))).await.expect("a response");
        }
        for machine in [&alpha, &beta] {
            assert!(machine.node().targets.borrow().get(name).is_none());
            assert_ne!(machine.node().local_target_id.borrow().as_deref(), Some(name));
        }
    });
}

#[test_case(r#"{"key":"servers/\ud800","value":"bm9uZQ==","revision":3}"#; "a lone surrogate in its key")]
#[test_case(r#"{"value":"bm9uZQ==","revision":3}"#; "no key")]
#[test_case(r#"{"key":"servers/b","value":"bm9uZQ==","revision":1e999}"#; "a number beyond all ranges")]
#[test_case(&format!(r#"{{"key":"servers/b","value":{}1{}}}"#, "[".repeat(5000), "]".repeat(5000)); "deep nesting")]
fn processes_that_start_serve_although_an_item_has(item: &str) {
    // Guards against this failure: one item made all processes refuse the page that it stood in.
    let item = item.to_owned();
    run(async move {
        let fleet = Fleet::start(|store| {
            write_entries(store, &[]);
            store.write_raw("servers/b", &item);
        })
        .await;
        assert_eq!(fleet.serve_calls().await, CALLS);
    });
}

/// The number of calls that a process without a view makes to a store whose list doesn't end, in a second: two for each
/// list, and a pause of 0.4 s or more before each list once the first ones have failed.
const MAX_CALLS_PER_SECOND: usize = 5;

#[test]
fn a_list_that_repeats_its_first_page_is_read_with_pauses_and_what_it_names_is_used() {
    // Guards against this failure: the same page was requested again and again without a pause, by all processes.
    run(async {
        let fleet = Fleet::start(|store| {
            store.set_page_size(MACHINES);
            store.set_mode(StoreMode::RepeatsPage);
        })
        .await;
        assert_eq!(fleet.serve_calls().await, CALLS, "the page names all targets but one");
        sleep(Duration::from_secs(1)).await;
        let before = fleet.store.calls();
        sleep(Duration::from_secs(2)).await;
        let calls = fleet.store.calls() - before;
        assert!(calls <= 2 * MACHINES * MAX_CALLS_PER_SECOND, "{calls} calls by {MACHINES} processes in 2 s");
        fleet.store.set_mode(StoreMode::Normal);
        let know_all = || fleet.sidecars.iter().all(|sidecar| sidecar.node.replica.borrow().len() == MACHINES);
        eventually("all targets are known once the list continues", know_all).await;
    });
}

#[test_case("servers/b c"; "a name that can't be a target's")]
#[test_case("other/key"; "a key that is none of the platform's")]
fn frequent_writes_are_read_in_batches_also_under(key: &'static str) {
    // Guards against this failure: each write of another writer was a call of each reader.
    run(async move {
        let (store, _alpha, _beta) = two_machines().await;
        sleep(Duration::from_millis(1500)).await;
        let before = store.calls();
        for number in 0..30 {
            store.write(key, Some(&number.to_string()));
            sleep(Duration::from_millis(100)).await;
        }
        // As many as for changes of the configuration.
        let calls = store.calls() - before;
        assert!(calls <= 2 * 7, "{calls} calls by two nodes for 30 writes in 3 s");
    });
}

#[test]
fn a_node_with_a_view_keeps_it_while_the_list_does_not_continue() {
    run(async {
        let (store, _alpha, beta) = two_machines().await;
        sleep(Duration::from_millis(50)).await;
        store.set_page_size(2);
        store.set_mode(StoreMode::RepeatsPage);
        // The watches end, and everything is listed again.
        store.restore_backup(Duration::ZERO);
        let before = store.calls();
        sleep(Duration::from_secs(1)).await;
        let calls = store.calls() - before;
        // Five lists of two calls after pauses that double from 0.05 s on, and watches.
        assert!(calls <= 2 * 12, "{calls} calls by two nodes in 1 s");
        assert_eq!((beta.node().targets.borrow().len(), beta.node().position().era), (2, 1));
        assert_eq!(call(beta.outbound(), &read("one")).await.expect("a response").status, 200);
        store.set_mode(StoreMode::Normal);
        eventually("the list is read", || beta.node().position().era == 2).await;
        assert_eq!(beta.node().targets.borrow().len(), 2);
    });
}
