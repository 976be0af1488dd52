//! Answers as text of at most 40 columns, for phone screens.
use serde_json::Value;

use crate::usage::Command;

/// Maximum width of a line, in characters.
pub const MAX_COLUMNS: usize = 40;

/// Renders the answer to `command`.
pub fn render(command: &Command, body: &Value) -> String {
    let mut lines = Vec::new();
    if number(body, "code") != 0 {
        render_code(body, &mut lines);
    }
    match command {
        Command::Plan { .. } | Command::Confirm { .. } | Command::Drop { .. } => {
            render_plan(&body["plan"], &mut lines)
        }
        Command::Show { plan: Some(_) } => render_plan(&body["plan"], &mut lines),
        Command::Show { plan: None } => render_plans(body, &mut lines),
        Command::Status => render_status(body, &mut lines),
        Command::Members => render_members(body, &mut lines),
        Command::Report => render_report(body, &mut lines),
        Command::Help | Command::Version | Command::Explain { .. } => {}
    }
    lines
        .iter()
        .flat_map(|line| wrap(line))
        .collect::<Vec<_>>()
        .join("\n")
}

fn render_code(body: &Value, lines: &mut Vec<String>) {
    lines.push(format!(
        "code {} {}",
        number(body, "code"),
        text(body, "name")
    ));
    lines.push(text(body, "message").to_string());
    for reason in items(body, "reasons") {
        lines.push(format!("- {}", reason.as_str().unwrap_or_default()));
    }
}

fn render_plan(plan: &Value, lines: &mut Vec<String>) {
    if plan.is_null() {
        return;
    }
    lines.push(format!("plan {}", text(plan, "id")));
    lines.push(format!("{} by {}", text(plan, "state"), text(plan, "team")));
    if number(plan, "version") > 0 {
        lines.push(format!("version {}", number(plan, "version")));
    }
    if !text(plan, "note").is_empty() {
        lines.push(text(plan, "note").to_string());
    }
    for effect in items(plan, "effects") {
        lines.push(format!("* {}", effect.as_str().unwrap_or_default()));
    }
    for reason in items(plan, "reasons") {
        lines.push(format!("- {}", reason.as_str().unwrap_or_default()));
    }
}

fn render_plans(body: &Value, lines: &mut Vec<String>) {
    if items(body, "plans").is_empty() {
        lines.push("no plans".to_string());
    }
    for plan in items(body, "plans") {
        lines.push(format!(
            "{} {} {}",
            text(plan, "id"),
            text(plan, "state"),
            text(plan, "team")
        ));
    }
}

fn render_status(body: &Value, lines: &mut Vec<String>) {
    lines.push(format!("version {}", number(body, "version")));
    lines.push(format!(
        "in force on {} of {}",
        number(body, "on"),
        number(body, "of")
    ));
    for member in items(body, "behind") {
        lines.push(format!(
            "behind: {} {} at {}",
            text(member, "data_centre"),
            text(member, "address"),
            number(member, "version")
        ));
    }
    for centre in items(body, "data_centres") {
        lines.push(format!(
            "{}: {} of {}, lowest {}",
            text(centre, "name"),
            number(centre, "on"),
            number(centre, "of"),
            number(centre, "lowest")
        ));
    }
    lines.push(format!("platform log: {}", text(body, "log")));
    lines.push(format!("open plans: {}", number(body, "open_plans")));
}

fn render_members(body: &Value, lines: &mut Vec<String>) {
    for member in items(body, "members") {
        lines.push(format!(
            "{} {} {} v{}",
            text(member, "data_centre"),
            text(member, "address"),
            text(member, "status"),
            number(member, "version")
        ));
        for server in items(member, "servers") {
            let draining = if server["draining"] == true {
                " draining"
            } else {
                ""
            };
            lines.push(format!(
                "  {} {}{draining}",
                text(server, "service"),
                text(server, "name")
            ));
        }
    }
}

fn render_report(body: &Value, lines: &mut Vec<String>) {
    if items(body, "burn").is_empty() {
        lines.push("no objectives with requests".to_string());
    }
    for row in items(body, "burn") {
        lines.push(format!(
            "{} {}: {}",
            text(row, "service"),
            text(row, "rank"),
            text(row, "state")
        ));
        for window in items(row, "windows") {
            lines.push(format!(
                "  {:>4} burn {:>6.2} of {}",
                text(window, "window"),
                window["rate"].as_f64().unwrap_or_default(),
                number(window, "total")
            ));
        }
    }
    for missing in items(body, "missing") {
        lines.push(format!(
            "no answer: {}",
            missing.as_str().unwrap_or_default()
        ));
    }
}

/// Breaks `line` at spaces into lines of at most [`MAX_COLUMNS`] characters; continuation lines are
/// indented, and longer words are not broken.
fn wrap(line: &str) -> Vec<String> {
    let mut lines = Vec::new();
    let mut current = String::new();
    for word in line.split(' ') {
        let width = current.chars().count() + 1 + word.chars().count();
        if !current.trim().is_empty() && width > MAX_COLUMNS {
            lines.push(std::mem::replace(&mut current, format!("  {word}")));
        } else if current.is_empty() && lines.is_empty() && !word.is_empty() {
            current.push_str(word);
        } else {
            current.push(' ');
            current.push_str(word);
        }
    }
    lines.push(current);
    lines
}

fn text<'a>(value: &'a Value, field: &str) -> &'a str {
    value[field].as_str().unwrap_or_default()
}

fn number(value: &Value, field: &str) -> u64 {
    value[field].as_u64().unwrap_or_default()
}

fn items<'a>(value: &'a Value, field: &str) -> &'a [Value] {
    value[field]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default()
}
