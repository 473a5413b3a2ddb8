//! Stories from lines as nodes write them.

use super::{collect, story};

const LINES: &str = r#"
  19.2 n2 {"up_s":7.1,"node":"n2","event":"given-up","id":"a1","route":"pay","why":"broken","may_have_run":true}
{"up_s":1.0,"node":"n3","event":"gate","id":"a1","outcome":"broken","why":"no answer"}
{"up_s":1.0,"node":"n3","event":"gate","id":"other","outcome":"full"}
{"up_s":7.0,"node":"n2","event":"attempt-failed","id":"a1","target":"t1","why":"broken at the target"}
{"up_s":0.9,"node":"n3","event":"refused","id":"a1.b2","level":0.4}
cut short {"up_s":0.9,"node":"n3","eve
"#;

#[test]
fn the_lines_of_a_request_come_in_the_order_of_the_hops() {
    let mut found = Vec::new();
    collect("a1", LINES.as_bytes(), &mut found);
    let story = story(found);
    let begins: Vec<&str> = story.iter().map(|line| line.split(':').next().expect("a beginning")).collect();
    assert_eq!(begins, ["a1 gate at n3", "a1 attempt-failed at n2", "a1 given-up at n2", "a1.b2 refused at n3"]);
    assert!(story[2].contains("why=\"broken\""), "{}", story[2]);
}
