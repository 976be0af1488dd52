//! Parsing of command lines.
use jayrack::usage::{Command, Invocation, parse};
use rstest::rstest;

fn arguments(line: &str) -> Vec<String> {
    line.split_whitespace().map(str::to_string).collect()
}

fn parse_line(line: &str) -> Result<Invocation, String> {
    parse(&arguments(line), |_| None).map_err(|error| error.to_string())
}

#[rstest]
#[case("status", Command::Status)]
#[case("members --json", Command::Members)]
#[case("report", Command::Report)]
#[case("show", Command::Show { plan: None })]
#[case("show p1", Command::Show { plan: Some("p1".into()) })]
#[case("confirm p1", Command::Confirm { plan: "p1".into() })]
#[case("drop p1", Command::Drop { plan: "p1".into() })]
#[case("plan f.json -n why", Command::Plan { file: "f.json".into(), note: "why".into() })]
#[case("--help", Command::Help)]
#[case("-V", Command::Version)]
fn commands_are_parsed(#[case] line: &str, #[case] expected: Command) {
    let invocation = parse_line(line).unwrap();

    assert_eq!(invocation.command, expected);
}

#[rstest]
#[case("")]
#[case("confirm")]
#[case("confirm a b")]
#[case("launch")]
#[case("status --nonsense")]
fn invalid_command_lines_are_refused(#[case] line: &str) {
    let result = parse_line(line);

    assert!(result.is_err());
}

#[test]
fn environment_supplies_server_and_token() {
    let environment = |variable: &str| Some(format!("{variable}:1"));

    let invocation = parse(&arguments("status"), environment).unwrap();

    assert_eq!(invocation.server, "JAYRACK_SERVER:1");
    assert_eq!(invocation.token, "JAYRACK_TOKEN:1");
}
