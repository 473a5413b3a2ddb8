//! The stand-ins and the scripts of the review cases: `review-standins CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment nothing is disrupted.

#![allow(dead_code)]

mod case_1;
mod case_2;
mod client;
mod fleet;
mod http;
mod link;
mod record;
mod store;
mod target;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// What a case needs to run.
pub struct Setup {
    pub record: Arc<Record>,
    /// The folder for settings and logs of this run.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

/// The result of a case: the breaches of its rule.
type Breaches = Vec<String>;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-standins CASE FOLDER");
        return ExitCode::from(2);
    };
    match run(&case, Path::new(&folder)) {
        Ok(breaches) if breaches.is_empty() => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(breaches) => {
            println!("the rule was broken: {} times", breaches.len());
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, folder: &Path) -> std::io::Result<Breaches> {
    let record = Arc::new(Record::create(&folder.join("record.txt"))?);
    let temporary = std::env::temp_dir().join(format!("quillhatch-review-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&temporary)?;
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let setup = Setup { record: Arc::clone(&record), folder: temporary.clone(), has_trouble };
    let result = match case {
        "1" => case_1::run(&setup),
        "2" => case_2::run(&setup),
        _ => Err(std::io::Error::other("no such case")),
    };
    match &result {
        Ok(breaches) => {
            for breach in breaches {
                record.say(&format!("BREACH   {breach}"));
            }
            record.line(if breaches.is_empty() { "result   held" } else { "result   broken" });
        }
        Err(error) => record.line(&format!("result   could not run: {error}")),
    }
    if std::env::var("KEEP").as_deref() != Ok("1") {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    result
}
