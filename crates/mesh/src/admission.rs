//! Which calls enter the graph when a service that they need can't serve all of them.

/// What decides whether a call may enter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entrant {
    /// The share of the demand that the services it needs can serve.
    pub level: f64,
    /// Its importance among all priorities in use: zero for the greatest, one for the least.
    pub unimportance: f64,
    /// Whether its caller has asked before.
    pub is_repeat: bool,
}

/// How much sooner the least important calls are refused than an even share would.
const LEAST_FIRST: f64 = 1.5;
/// The shortage from which the most important calls are refused too.
const GREATEST_FROM: f64 = 0.5;
/// The least share of calls of any importance that is let in, so that none starves.
const FLOOR: f64 = 0.1;
/// How much sooner repeats are refused than first calls.
const REPEATS_FIRST: f64 = 1.5;

/// The probability with which the call is let in.
pub fn admission_probability(entrant: Entrant) -> f64 {
    let shortage = (1.0 - entrant.level).clamp(0.0, 1.0);
    let shortage = if entrant.is_repeat { shortage * REPEATS_FIRST } else { shortage };
    let least = 1.0 - LEAST_FIRST * shortage;
    let greatest = 1.0 - (shortage - GREATEST_FROM).max(0.0) / (1.0 - GREATEST_FROM);
    let share = greatest + (least - greatest) * entrant.unimportance.clamp(0.0, 1.0);
    share.clamp(FLOOR, 1.0)
}
