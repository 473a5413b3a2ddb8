use super::Line;

#[test]
fn a_straight_line_is_found_and_a_bend_is_told() {
    let line = Line::through(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).unwrap();
    assert!((line.base - 3.0).abs() < 1e-9 && (line.slope - 2.0).abs() < 1e-9 && line.worst_fit < 1e-9, "{line:?}");
    let bent = Line::through(&[(1.0, 1.0), (2.0, 4.0), (4.0, 16.0)]).unwrap();
    assert!(bent.worst_fit > 0.05, "{bent:?}");
    assert_eq!(Line::through(&[(1.0, 1.0), (1.0, 2.0)]), None);
}
