//! Tests of `trace` with log lines in the form that nodes write.

use super::{collect, sort_and_format};

const LINES: &str = r#"
  19.2 n2 {"up_s":7.1,"node":"n2","event":"given-up","id":"a1","route":"pay","why":"broken","may_have_run":true}
{"up_s":1.0,"node":"n3","event":"gate","id":"a1","outcome":"broken","why":"no answer"}
{"up_s":1.0,"node":"n3","event":"gate","id":"other","outcome":"full"}
{"up_s":7.0,"node":"n2","event":"attempt-failed","id":"a1","target":"t1","why":"broken at the target"}
{"up_s":0.9,"node":"n3","event":"refused","id":"a1.b2","level":0.4}
cut short {"up_s":0.9,"node":"n3","eve
"#;

#[test]
fn lines_of_a_request_are_printed_in_hop_order() {
    let mut lines = Vec::new();
    collect("a1", LINES.as_bytes(), &mut lines);
    let printed = sort_and_format(lines);
    let prefixes: Vec<&str> = printed.iter().map(|line| line.split(':').next().expect("a prefix")).collect();
    assert_eq!(prefixes, ["a1 gate at n3", "a1 attempt-failed at n2", "a1 given-up at n2", "a1.b2 refused at n3"]);
    assert!(printed[2].contains("why=\"broken\""), "{}", printed[2]);
}
