//! PROOF.md names only tests that exist, and OPERATING.md lists every field of the settings.
use std::{collections::BTreeSet, path::Path};

use jayrackd::settings;

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.."))
}

fn page(name: &str) -> String {
    std::fs::read_to_string(root().join("docs").join(name)).unwrap()
}

/// Returns the code spans of `text` of the form `package::file::test`.
fn named_tests(text: &str) -> BTreeSet<&str> {
    let spans = text.split('`').skip(1).step_by(2);
    spans
        .filter(|span| span.starts_with("jayrack") && span.matches("::").count() == 2)
        .collect()
}

/// Returns the fields that the error about the unknown field in `text` lists as expected.
fn expected_fields(text: &str) -> Vec<String> {
    let error = settings::parse(text).expect_err("the field is not known");
    let (_, list) = error
        .message
        .split_once("expected one of ")
        .expect("the refusal lists the fields");
    list.split('`')
        .skip(1)
        .step_by(2)
        .map(str::to_string)
        .collect()
}

#[test]
fn proofs_name_tests_that_exist() {
    let text = page("PROOF.md");
    let names = named_tests(&text);
    assert!(names.len() > 20);

    for name in names {
        let parts: Vec<&str> = name.split("::").collect();
        let path = root()
            .join(parts[0])
            .join("tests")
            .join(format!("{}.rs", parts[1]));
        let source = std::fs::read_to_string(&path).unwrap_or_default();

        assert!(
            source.contains(&format!("fn {}(", parts[2])),
            "{name} does not exist"
        );
    }
}

#[test]
fn page_lists_every_field_of_the_settings() {
    let text = page("OPERATING.md");
    let unknown = [
        ("", r#"{"?": 0}"#),
        ("listen.", r#"{"listen": {"?": 0}}"#),
        ("log.", r#"{"log": {"?": 0}}"#),
        ("fleet.", r#"{"fleet": {"?": 0}}"#),
        ("operators[].", r#"{"operators": [{"?": 0}]}"#),
        ("limits.", r#"{"limits": {"?": 0}}"#),
        ("timeouts.", r#"{"timeouts": {"?": 0}}"#),
    ];
    let sections = ["listen", "log", "fleet", "operators", "limits", "timeouts"];

    for (prefix, settings) in unknown {
        for field in expected_fields(settings) {
            let is_section = prefix.is_empty() && sections.contains(&field.as_str());

            assert!(
                is_section || text.contains(&format!("| `{prefix}{field}`")),
                "{prefix}{field}"
            );
        }
    }
}
