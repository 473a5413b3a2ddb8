//! When streamed responses are aborted.

use std::time::Duration;

use quillhatch_mesh::stream_monitor::{StreamFault, StreamMonitor};
use quillhatch_types::Timestamp;
use test_case::test_case;

const MIB: u64 = 1024 * 1024;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_stream_in_time_is_not_aborted() {
    let mut monitor = StreamMonitor::new(at(0));
    monitor.source_awaited(at(0));
    assert_eq!(monitor.fault(ms(0), at(60_000)), None);
    monitor.bytes_passed(100 * MIB, at(60_000));
    assert_eq!(monitor.fault(ms(60_000), at(120_000)), None);
}

#[test]
fn a_late_stream_ends_when_its_source_is_silent_or_its_reader_stalls() {
    let mut monitor = StreamMonitor::new(at(0));
    monitor.became_late();
    monitor.source_awaited(at(1000));
    assert_eq!(monitor.fault(ms(0), at(1199)), None);
    assert_eq!(monitor.fault(ms(0), at(1200)), Some(StreamFault::SourceSilent));
    monitor.bytes_passed(1, at(1200));
    assert_eq!(monitor.fault(ms(0), at(6199)), None);
    assert_eq!(monitor.fault(ms(0), at(6200)), Some(StreamFault::ReaderStalled));
}

/// Guards against this failure: a source that sends a little all the time is never silent, and its stream never ended.
#[test]
fn a_source_that_sends_a_little_all_the_time_after_its_work_is_endless() {
    let mut monitor = StreamMonitor::new(at(0));
    monitor.work_ended(None, ms(0), at(1000));
    monitor.became_late();
    for now in (1000..1200).step_by(20) {
        assert_eq!(monitor.fault(ms(0), at(now)), None, "after {now} ms");
        monitor.source_awaited(at(now));
        monitor.bytes_passed(1, at(now + 20));
    }
    assert_eq!(monitor.fault(ms(0), at(1200)), Some(StreamFault::SourceEndless));
}

#[test]
fn the_rest_of_a_response_may_take_any_time_while_its_reader_is_slow() {
    let mut monitor = StreamMonitor::new(at(0));
    monitor.work_ended(None, ms(300), at(1000));
    monitor.became_late();
    for second in 1..20 {
        monitor.bytes_passed(100_000, at(1000 + 1000 * second));
        assert_eq!(monitor.fault(ms(300 + 995 * second), at(1000 + 1000 * second)), None, "after {second} s");
    }
}

#[test_case(None, 4 * MIB, false; "unknown length, all that buffers hold")]
#[test_case(None, 4 * MIB + 1, true; "unknown length, more")]
#[test_case(Some(16 * MIB), 16 * MIB, false; "known length, all of it")]
#[test_case(Some(16 * MIB + 1), 1, true; "known length that no source has ready")]
fn a_source_has_a_limited_rest_after_its_work(remaining: Option<u64>, passed: u64, is_endless: bool) {
    let mut monitor = StreamMonitor::new(at(0));
    monitor.work_ended(remaining, ms(0), at(1000));
    monitor.bytes_passed(passed, at(1100));
    assert_eq!(monitor.fault(ms(100), at(1100)), is_endless.then_some(StreamFault::SourceEndless));
}

#[test]
fn a_source_that_has_ended_is_not_waited_for() {
    let mut monitor = StreamMonitor::new(at(0));
    monitor.source_awaited(at(900));
    monitor.work_ended(None, ms(0), at(1000));
    monitor.source_ended();
    monitor.became_late();
    assert_eq!(monitor.fault(ms(0), at(4000)), None);
    assert_eq!(monitor.fault(ms(0), at(5000)), Some(StreamFault::ReaderStalled));
}
