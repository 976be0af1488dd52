//! Checks of the settings file: what the platform may fill in is accepted, and mistakes are named.
use jayrack_meshd::settings::{self, Error, MeshSettings};
use rstest::rstest;

/// Settings in which `bounds` stands for the bounds.
fn settings_with(bounds: &str) -> Result<MeshSettings, Error> {
    let text = format!(
        r#"{{
          "host": {{ "name": "h", "address": "127.0.0.1", "data_centre": "z", "link_mbps": 10.5 }},
          "server": {{ "address": "127.0.0.1:1", "service": "slots" }},
          "listen": {{
            "callers": "127.0.0.1:2", "forward": "127.0.0.1:3", "ready": "127.0.0.1:4", "reports": "127.0.0.1:5"
          }},
          "ports": [6, 7],
          "store": "127.0.0.1:8",
          "bounds": {{ {bounds} }}
        }}"#
    );
    settings::parse(&text)
}

/// Guards against a daemon that does not start because a bound has become a fraction: the platform's figures are whole
/// numbers or fractions.
#[rstest]
#[case::fractions(
    r#""stop_s": 6.5, "repeat_ratio": 0.25, "repeat_slack": 57.5, "repeat_window_s": 9.5"#
)]
#[case::whole_numbers(
    r#""stop_s": 6, "repeat_ratio": 1, "repeat_slack": 58, "repeat_window_s": 10"#
)]
#[case::whole_numbers_as_fractions(
    r#""stop_s": 6.0, "repeat_ratio": 1.0, "repeat_slack": 58.0, "repeat_window_s": 10.0"#
)]
#[case::exponents(
    r#""stop_s": 6e0, "repeat_ratio": 2e-1, "repeat_slack": 5.8e1, "repeat_window_s": 1e1"#
)]
#[case::more_than_one_retry_a_request(
    r#""stop_s": 6, "repeat_ratio": 1.5, "repeat_slack": 0, "repeat_window_s": 10"#
)]
fn a_bound_may_be_a_whole_number_or_a_fraction(#[case] bounds: &str) {
    assert!(settings_with(bounds).is_ok(), "{bounds}");
}

#[rstest]
#[case::negative_slack("repeat_slack", "-1")]
#[case::negative_ratio("repeat_ratio", "-0.1")]
#[case::no_time_to_stop("stop_s", "0")]
#[case::milliseconds_for_seconds("repeat_window_s", "10000000")]
#[case::text("repeat_slack", "\"58\"")]
fn a_bound_that_makes_no_sense_is_refused_by_name(#[case] name: &str, #[case] value: &str) {
    let mut bounds = String::new();
    for (field, valid) in [
        ("stop_s", "6"),
        ("repeat_ratio", "0.2"),
        ("repeat_slack", "58"),
        ("repeat_window_s", "10"),
    ] {
        let value = if field == name { value } else { valid };
        let separator = if bounds.is_empty() { "" } else { ", " };
        bounds.push_str(&format!("{separator}\"{field}\": {value}"));
    }

    let error = settings_with(&bounds).unwrap_err();

    assert!(error.to_string().contains(name), "{error}");
}
