use test_case::test_case;

use super::{run, ExitStatus};

fn run_line(line: &str) -> ExitStatus {
    let arguments: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
    run(&arguments)
}

#[test_case(""; "no command")]
#[test_case("paint"; "unknown command")]
#[test_case("simulate --colour red"; "unknown option")]
#[test_case("simulate --profile prairie"; "scenario missing")]
#[test_case("simulate --profile prairie --scenario flood"; "unknown scenario")]
#[test_case("simulate --profile prairie --scenario steady --seeds 5..1"; "seeds reversed")]
#[test_case("simulate --profile prairie --scenario steady --seed 1 --seeds 1..2"; "seed and seeds")]
#[test_case("simulate --profile prairie --scenario steady --policy direct --disable claims"; "mechanism of another policy")]
#[test_case("simulate --profile prairie --scenario steady extra"; "operand too many")]
#[test_case("experiment overload"; "directory missing")]
#[test_case("experiment nothing --out x"; "unknown experiment")]
#[test_case("experiment overload --out x --tuning --seeds 1..2"; "tuning and other seeds")]
#[test_case("model nothing"; "unknown model")]
#[test_case("model --mutate nothing"; "mutation without model")]
#[test_case("platform"; "configuration missing")]
#[test_case("backend --slots 0"; "no service and no slots")]
#[test_case("backend --service a --child /a:GET:/b"; "children without an edge")]
#[test_case("bench --hollow-nodes 1"; "fleet too small")]
#[test_case("demo now"; "operand of the demo")]
#[test_case("load --lookup 1:/a"; "target missing")]
#[test_case("load --target 127.0.0.1:1"; "no traffic")]
#[test_case("load --target nowhere --lookup 1:/a"; "target not an address")]
#[test_case("load --target 127.0.0.1:1 --lookup 0:/a"; "weight of zero")]
#[test_case("load --target 127.0.0.1:1 --download 1:/a:large"; "size without a number")]
#[test_case("load --target 127.0.0.1:1 --lookup 1:/a --rate -3"; "negative rate")]
fn wrong_arguments_are_usage_errors(line: &str) {
    assert_eq!(run_line(line), ExitStatus::Usage);
}

#[test_case("--help")]
#[test_case("--version")]
#[test_case("simulate --help")]
#[test_case("model --list")]
#[test_case("experiment --list")]
fn help_and_lists_are_done(line: &str) {
    assert_eq!(run_line(line), ExitStatus::Done);
}

#[test]
fn a_file_that_cannot_be_read_is_a_failure() {
    assert_eq!(run_line("platform --configuration /nowhere/configuration.json"), ExitStatus::Failed);
}
