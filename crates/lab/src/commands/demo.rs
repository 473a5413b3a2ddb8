//! `demo`: a tour of the product in one process.

use getopts::Options;

use super::{output, runtime};
use crate::command_line::{Arguments, Command, CommandError, Verdict};
use crate::demo::{self, Narrator};

/// Runs the demo and prints its closing summary.
pub struct Demo;

impl Command for Demo {
    fn name(&self) -> &'static str {
        "demo"
    }

    fn summary(&self) -> &'static str {
        "run nodes of two sites on loopback through calls, an overload, a move and a planned stop"
    }

    fn declare(&self, options: &mut Options) {
        options.optflag("", "json", "print only the closing summary, as JSON");
    }

    fn run(&self, arguments: &Arguments) -> Result<Verdict, CommandError> {
        arguments.limit_operands(0);
        arguments.check()?;
        let json = arguments.has("json");
        let narrator = Narrator::new(json);
        let audit = runtime::block_on(async { Ok(demo::run(&narrator).await?) });
        narrator.end();
        let audit = audit?;
        if json {
            output::print_json(&audit)?;
        } else {
            println!("{}", audit.render());
        }
        Ok(audit.verdict())
    }
}
