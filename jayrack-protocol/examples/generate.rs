//! Writes `src/generated/` from the definitions below `proto/`.
#[path = "../tests/support/mod.rs"]
mod support;

fn main() {
    let target = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("src/generated");
    for path in support::generate(&target) {
        println!("{}", path.file_name().unwrap_or_default().to_string_lossy());
    }
}
