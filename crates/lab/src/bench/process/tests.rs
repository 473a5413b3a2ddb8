use std::time::Duration;

use super::{parse_kibibytes, parse_processor_time};

#[test]
fn the_processor_time_is_found_behind_a_name_with_brackets() {
    let text = "7 (a) b) S 1 7 7 0 -1 4194304 100 0 0 0 250 50 9 9 20 0 4 0 100 1000 10";
    assert_eq!(parse_processor_time(text), Some(Duration::from_secs(3)));
    assert_eq!(parse_processor_time("7 (a) S 1"), None);
}

#[test]
fn sizes_are_in_kibibytes() {
    assert_eq!(parse_kibibytes("VmPeak:  9 kB\nVmRSS:\t   2 kB\n", "VmRSS:"), Some(2_048));
    assert_eq!(parse_kibibytes("VmPeak:  9 kB\n", "VmRSS:"), None);
}
