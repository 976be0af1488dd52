//! The tool.
fn main() {}
