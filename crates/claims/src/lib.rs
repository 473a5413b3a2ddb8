//! At-most-once execution by claims recorded on a majority of a service's voters.
