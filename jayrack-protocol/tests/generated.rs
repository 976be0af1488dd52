//! The committed generated code is what the message definitions produce.
mod support;

#[test]
fn committed_code_matches_definitions() {
    let target = std::env::temp_dir().join(format!("jayrack-generated-{}", std::process::id()));
    std::fs::create_dir_all(&target).unwrap();
    let committed = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("src/generated");

    let paths = support::generate(&target);

    for path in &paths {
        let expected = std::fs::read_to_string(path).unwrap();
        let actual = std::fs::read_to_string(committed.join(path.file_name().unwrap())).unwrap();
        assert_eq!(
            actual, expected,
            "run `cargo run -p jayrack-protocol --example generate`"
        );
    }
    std::fs::remove_dir_all(&target).unwrap();
}
