//! Configuration of reproducible property tests.
use proptest::test_runner::{Config, RngSeed};

/// Runs `cases` cases from a fixed seed.
pub fn seeded(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(760),
        failure_persistence: None,
        ..Config::default()
    }
}
