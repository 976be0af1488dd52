//! Compiles the message definitions, for the example that writes them and the test that compares them.
use std::path::{Path, PathBuf};

/// Compiles every file below `proto/` into `target` and returns the paths of the generated files.
pub fn generate(target: &Path) -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("proto");
    let names = [
        "gossip.proto",
        "forward.proto",
        "sync.proto",
        "status.proto",
    ];
    let descriptors = protox::compile(names, [&root]).expect("message definitions compile");
    let mut config = prost_build::Config::new();
    config.out_dir(target);
    config.compile_fds(descriptors).expect("code is generated");
    names
        .iter()
        .map(|name| target.join(format!("jayrack.{}", name.replace(".proto", ".rs"))))
        .collect()
}
