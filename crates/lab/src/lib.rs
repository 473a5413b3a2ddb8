//! Experiments, benchmarks, model checking and reports.
