use super::{ReachedSpread, Spread};

#[test]
fn quantiles_lie_between_neighbours() {
    let spread = Spread::of([4.0, 1.0, 3.0, 2.0]).unwrap();
    let expected = Spread { minimum: 1.0, lower_quartile: 1.75, median: 2.5, upper_quartile: 3.25, maximum: 4.0 };
    assert_eq!(spread, expected);
    assert_eq!(Spread::of([]), None);
}

#[test]
fn a_run_that_never_got_there_counts_as_infinite() {
    let most_never = ReachedSpread::of(&[Some(5.0), None, None]);
    assert_eq!((most_never.median, most_never.never), (None, 2));
    let one_never = ReachedSpread::of(&[None, Some(5.0), Some(7.0)]);
    assert_eq!((one_never.median, one_never.never), (Some(7.0), 1));
}
