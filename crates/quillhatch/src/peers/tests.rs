//! Tests of batches of frames.

use super::*;

#[test]
fn a_batch_gives_its_frames_back() {
    let mut batch = Vec::new();
    for frame in [b"first".as_slice(), b"", b"third"] {
        append(&mut batch, frame);
    }
    assert_eq!(split(&batch), Some(vec![b"first".as_slice(), b"", b"third"]));
    assert_eq!(split(&[]), Some(Vec::new()));
}

#[test]
fn a_cut_batch_is_refused_whole() {
    let mut batch = Vec::new();
    append(&mut batch, b"first");
    append(&mut batch, b"second");
    for end in 1..batch.len() {
        let whole = end == LENGTH_BYTES + b"first".len();
        assert_eq!(split(&batch[..end]).is_some(), whole, "cut at {end}");
    }
    assert_eq!(split(&[0xff; 16]), None);
}
