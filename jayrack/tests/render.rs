//! Content and width of rendered answers.
use jayrack::{
    render::{MAX_COLUMNS, render},
    usage::Command,
};
use serde_json::{Value, json};

fn status_body() -> Value {
    json!({"code": 0, "version": 41, "on": 758, "of": 760, "log": "up", "open_plans": 2,
        "behind": [{"data_centre": "casnewydd", "address": "127.0.0.1:7001", "version": 40}],
        "data_centres": [{"name": "casnewydd", "on": 109, "of": 110, "lowest": 40}]})
}

fn refused_plan_body() -> Value {
    json!({"code": 206, "name": "PlanInvalid",
        "message": "The change does not validate against the configuration; the reasons are listed.",
        "reasons": ["route `confirm-slot` goes to the service `bookings`, which is absent"]})
}

#[test]
fn status_shows_rollout_and_daemons_behind() {
    let text = render(&Command::Status, &status_body());

    assert!(text.contains("in force on 758 of 760"));
    assert!(text.contains("behind: casnewydd"));
}

#[test]
fn no_line_is_wider_than_the_column_limit() {
    let bodies = [
        (Command::Status, status_body()),
        (Command::Confirm { plan: "p".into() }, refused_plan_body()),
    ];

    for (command, body) in bodies {
        let text = render(&command, &body);

        assert!(
            text.lines().all(|line| line.chars().count() <= MAX_COLUMNS),
            "{text}"
        );
    }
}
