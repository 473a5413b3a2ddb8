//! A short soak test of the built program without injected faults: planned operations must violate no guarantee.

use std::path::Path;
use std::time::Duration;

use quillhatch_soak::layout::DEFAULT_TARGETS_PER_SERVICE;
use quillhatch_soak::run::{make_folder, run, SoakOptions};

#[test]
fn planned_operations_violate_no_guarantee() {
    let seed = 7;
    let folder = make_folder(&std::env::temp_dir(), seed).expect("a folder");
    let options = SoakOptions {
        program: Path::new(env!("CARGO_BIN_EXE_quillhatch")).to_owned(),
        links: None,
        folder: folder.clone(),
        seed,
        duration: Duration::from_secs(8),
        targets_per_service: DEFAULT_TARGETS_PER_SERVICE,
        has_faults: false,
        has_outages: false,
        has_slow_calls: false,
        has_stop_series: false,
        has_long_requests: false,
        has_restores: false,
        has_endless_responses: false,
    };
    let report = run(&options).expect("the machines start");
    assert!(report.record.calls.len() > 500, "{} calls", report.record.calls.len());
    assert_eq!(report.violations, []);
    std::fs::remove_dir_all(folder).expect("the folder can be removed");
}
