//! Settings are validated strictly: an error has the path and line of the field and a result code.
use jayrack_protocol::ResultCode;
use jayrackd::settings::{self, Error};
use proptest::prelude::*;
use rstest::rstest;

const VALID: &str = r#"{
  // One daemon beside one backend server.
  "name": "wrecsam-1",
  "data_centre": "wrecsam",
  "region": "wales",
  "listen": {
    "callers": "127.0.0.1:8080",
    "forward": "127.0.0.1:7000",
    "gossip": "127.0.0.1:7001",
    "admin": "127.0.0.1:9000",
    "announce": "127.0.0.1:9001",
  },
  "log": { "address": "127.0.0.1:5000" },
  "fleet": {
    "key": "a key of sixteen bytes or more",
    "certificate": "PEM", "private_key": "PEM", "authorities": "PEM"
  },
  "operators": [
    { "team": "platform", "token": "secret", "role": "admin" }
  ]
}"#;

fn refused(text: &str) -> Error {
    settings::parse(text).expect_err("settings are refused")
}

#[test]
fn comments_are_accepted_and_defaults_are_applied() {
    let settings = settings::parse(VALID).unwrap();

    assert_eq!(settings.name, "wrecsam-1");
    assert_eq!(settings.traffic_threads, 2);
    assert_eq!(settings.timeouts.announce_ms, 2_000);
}

#[rstest]
#[case(
    "\"region\": \"wales\"",
    "\"region\": \"wales\", \"zone\": 1",
    ResultCode::SettingsUnknownField,
    "zone",
    5
)]
#[case(
    "\"127.0.0.1:7001\"",
    "7001",
    ResultCode::SettingsInvalidValue,
    "listen.gossip",
    9
)]
#[case(
    "\"127.0.0.1:7001\"",
    "\"host:7001\"",
    ResultCode::SettingsInvalidValue,
    "listen.gossip",
    9
)]
#[case(
    "\"admin\" }",
    "\"king\" }",
    ResultCode::SettingsInvalidValue,
    "operators[0].role",
    19
)]
#[case(
    "a key of sixteen bytes or more",
    "short",
    ResultCode::SettingsInvalidValue,
    "fleet.key",
    15
)]
#[case(
    "\"name\": \"wrecsam-1\",",
    "",
    ResultCode::SettingsInvalidValue,
    ".",
    1
)]
fn error_names_path_line_and_code_of_refused_field(
    #[case] from: &str,
    #[case] to: &str,
    #[case] code: ResultCode,
    #[case] path: &str,
    #[case] line: usize,
) {
    let text = VALID.replacen(from, to, 1);

    let error = refused(&text);

    assert_eq!(
        (error.code, error.path.as_str(), error.line),
        (code, path, line),
        "{error}"
    );
}

#[test]
fn broken_syntax_names_its_line() {
    let text = VALID.replacen("\"region\": \"wales\",", "\"region\" \"wales\",", 1);

    let error = refused(&text);

    assert_eq!((error.code, error.line), (ResultCode::SettingsSyntax, 5));
}

#[test]
fn missing_file_has_a_code() {
    let error = settings::load(std::path::Path::new("no/such/file")).unwrap_err();

    assert_eq!(error.code, ResultCode::SettingsUnreadable);
}

proptest! {
    #[test]
    fn arbitrary_text_never_panics(text in ".{0,200}") {
        let result = settings::parse(&text);

        prop_assert!(result.is_err());
    }

    #[test]
    fn truncated_settings_never_panic(end in 0..VALID.len()) {
        let result = settings::parse(&VALID[..end]);

        prop_assert!(result.is_err());
    }
}
