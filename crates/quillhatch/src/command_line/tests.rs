//! Tests of the command line.

use quillhatch_control::operator::{Intent, OperatorRequest};
use test_case::test_case;

use super::*;

struct CommandResult {
    exit: ExitStatus,
    output: String,
    errors: String,
}

fn run_command(line: &[&str]) -> CommandResult {
    let arguments: Vec<String> = line.iter().map(ToString::to_string).collect();
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let exit = run(&arguments, &mut OutputStreams { output: &mut output, errors: &mut errors });
    let text = |bytes| String::from_utf8(bytes).expect("text");
    CommandResult { exit, output: text(output), errors: text(errors) }
}

fn parse(line: &[&str]) -> Result<OperatorRequest, UsageError> {
    let arguments: Vec<String> = line[1..].iter().map(ToString::to_string).collect();
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let parsed = parse_request(line[0], &arguments, &mut OutputStreams { output: &mut output, errors: &mut errors })?;
    Ok(parsed.expect("a request").request)
}

#[test_case(&[]; "nothing")]
#[test_case(&["fly"]; "unknown command")]
#[test_case(&["node"]; "node without settings")]
#[test_case(&["node", "--settings", "x", "more"]; "node with an argument")]
#[test_case(&["check"]; "check of nothing")]
#[test_case(&["check", "--settings", "a", "--config", "b"]; "check of both")]
#[test_case(&["plan", "--node", "127.0.0.1:1"]; "plan without a kind")]
#[test_case(&["plan", "teleport", "--node", "127.0.0.1:1"]; "unknown plan")]
#[test_case(&["plan", "move", "--service", "a", "--from", "b", "--to", "c", "--percent", "101"]; "percentage above 100")]
#[test_case(&["plan", "retire", "--target", "here"]; "target without an address")]
#[test_case(&["confirm", "--node", "127.0.0.1:1"]; "confirm without a plan")]
#[test_case(&["confirm", "a b", "--node", "127.0.0.1:1"]; "plan with a space")]
#[test_case(&["status", "more", "--node", "127.0.0.1:1"]; "status with an argument")]
#[test_case(&["plans"]; "no node")]
#[test_case(&["plans", "--node", "somewhere"]; "node without an address")]
#[test_case(&["plans", "--colour"]; "unknown option")]
#[test_case(&["sidecar", "--without", "gravity"]; "unknown mechanism")]
fn wrong_usage_exits_with_2(line: &[&str]) {
    let result = run_command(line);
    assert_eq!((result.exit.code(), result.output.as_str()), (2, ""));
    assert!(result.errors.contains("--help"), "{}", result.errors);
}

#[test]
fn every_command_has_its_help() {
    for command in ["node", "check", "plan", "confirm", "cancel", "plans", "status", "explain", "accept-loss"] {
        let result = run_command(&[command, "--help"]);
        assert_eq!(result.exit, ExitStatus::Done);
        assert!(result.output.contains(&format!("Usage: quillhatch {command}")), "{}", result.output);
    }
    assert!(run_command(&["--version"]).output.starts_with("quillhatch "));
}

#[test]
fn an_unreachable_node_is_a_failure() {
    // Nothing listens on port 1 of the loopback address.
    let result = run_command(&["status", "--node", "127.0.0.1:1"]);
    assert_eq!(result.exit, ExitStatus::Failed);
    assert!(result.errors.contains("cannot connect"), "{}", result.errors);
}

#[test]
fn intents_are_parsed_from_options() {
    let line = ["plan", "move", "--service", "giving", "--from", "old", "--to", "new", "--percent", "25"];
    let Ok(OperatorRequest::Plan { intent: Intent::MoveShare { from, to, percent, .. } }) = parse(&line) else {
        panic!("no move: {:?}", parse(&line));
    };
    assert_eq!((from.as_str(), to.as_str(), percent), ("old", "new", 25));
    let line = ["plan", "retries", "--service", "giving", "--class", "pledge", "--budget", "0", "--ratio", "10"];
    assert!(matches!(
        parse(&line),
        Ok(OperatorRequest::Plan { intent: Intent::ChangeRetries { budget: 0, ratio: 10, .. } })
    ));
    assert_eq!(parse(&["status", "--export"]), Ok(OperatorRequest::Status { export: true }));
}

#[test]
fn check_reports_every_error_with_its_line() {
    let text = "deployment = \"test\"\nsite = \"o ld\"\nzone = \"one\"\n\
        [listeners]\ncallers = \"127.0.0.1:1\"\npeers = \"127.0.0.1:2\"\noperators = \"127.0.0.1:2\"\n\
        [fleet]\nkeys = [{ id = 1, secret = \"000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\" }]\n\
        [platform]\nurls = [\"http://127.0.0.1:4\"]\n[stop]\ngrace = 20\n";
    let path = std::env::temp_dir().join(format!("quillhatch-check-{}.toml", std::process::id()));
    std::fs::write(&path, text).expect("the file is written");
    let name = path.to_string_lossy().into_owned();
    let result = run_command(&["check", "--settings", &name]);
    std::fs::remove_file(&path).expect("the file is removed");
    assert_eq!(result.exit, ExitStatus::Failed);
    for (line, key) in [(2, "site"), (7, "listeners.operators"), (13, "stop.grace")] {
        let reported =
            result.output.lines().any(|output| output.starts_with(&format!("{name}:{line}:")) && output.contains(key));
        assert!(reported, "line {line} is not reported: {}", result.output);
    }
    assert_eq!(result.output.matches(": error: ").count(), 3, "{}", result.output);
}
