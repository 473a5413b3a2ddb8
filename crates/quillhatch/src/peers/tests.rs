//! Tests of encoding and splitting batches of frames.

use super::*;

#[test]
fn a_batch_splits_into_its_frames() {
    let mut batch = Vec::new();
    for frame in [b"first".as_slice(), b"", b"third"] {
        append_frame(&mut batch, frame);
    }
    assert_eq!(split_frames(&batch), Some(vec![b"first".as_slice(), b"", b"third"]));
    assert_eq!(split_frames(&[]), Some(Vec::new()));
}

#[test]
fn a_truncated_batch_is_rejected_completely() {
    let mut batch = Vec::new();
    append_frame(&mut batch, b"first");
    append_frame(&mut batch, b"second");
    for end in 1..batch.len() {
        let ends_with_frame = end == LENGTH_BYTES + b"first".len();
        assert_eq!(split_frames(&batch[..end]).is_some(), ends_with_frame, "truncated to {end} bytes");
    }
    assert_eq!(split_frames(&[0xff; 16]), None);
}
