use test_case::test_case;

use super::{Level, Normal};
use crate::timeline::{ARRIVALS_END, BUCKET, CAUSE_END, SECOND};

const NORMAL: u32 = 60;

/// Normal goodput, but `low` from the end of the cause for `seconds`.
fn level(low: u32, seconds: u64) -> Level {
    let offered = vec![NORMAL; (ARRIVALS_END / BUCKET) as usize];
    let mut whole = offered.clone();
    let from = (CAUSE_END / BUCKET) as usize;
    let to = from + (seconds * SECOND / BUCKET) as usize;
    let to = to.min(whole.len());
    whole[from..to].fill(low);
    Level { whole, offered }
}

#[test_case(NORMAL, 0, Some(0); "was never away")]
#[test_case(0, 4, Some(4); "comes back")]
#[test_case(NORMAL * 9 / 10, 30, None; "stays a little too low")]
#[test_case(0, 30, None; "never comes back")]
fn recovery(low: u32, seconds: u64, expected_seconds: Option<u64>) {
    let level = level(low, seconds);
    let recovered = level.recovered(&Normal::of(&level), CAUSE_END);
    let seconds = recovered.map(|moment| (moment - CAUSE_END).div_ceil(SECOND));
    assert_eq!(seconds, expected_seconds);
}
