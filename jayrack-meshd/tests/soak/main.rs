//! A seeded soak: daemons as processes, with faults from outside, checked against what callers and servers observe.
//!
//! `JAYRACK_SOAK_SEEDS=FIRST..LAST cargo test -p jayrack-meshd --test soak -- --nocapture` runs those seeds; without
//! the variable a few fixed ones are run. A seed determines the faults and their times; see docs/SOAK.md.
mod callers;
mod faults;
mod fleet;
mod invariants;
// Each test program uses only some of its items.
#[allow(dead_code)]
#[path = "../support/mod.rs"]
mod support;

use fleet::SoakFleet;

/// Seeds of every run; each seed that ever failed is among [`REGRESSIONS`].
const SEEDS: [u64; 6] = [1, 2, 5, 4, 6, 8];
/// Seeds that failed once, each with a line on its cause in docs/SOAK.md.
const REGRESSIONS: [u64; 0] = [];
/// Number of seeds that run at the same time.
const PARALLEL: usize = 3;

fn seeds() -> Vec<u64> {
    let fixed = || SEEDS.into_iter().chain(REGRESSIONS).collect();
    let Ok(range) = std::env::var("JAYRACK_SOAK_SEEDS") else {
        return fixed();
    };
    let (first, last) = range.split_once("..").expect("FIRST..LAST");
    (first.parse().unwrap()..last.parse().unwrap()).collect()
}

/// Runs one seed; returns the violated invariants.
async fn run_seed(seed: u64) -> Vec<String> {
    let fleet = SoakFleet::start(seed).await;
    let callers = callers::start(&fleet);
    let schedule = faults::schedule(seed);
    faults::inject(&fleet, &schedule).await;
    let mut violations = invariants::wait_for_recovery(&fleet).await;
    let reported = callers.close().await;
    violations.extend(invariants::violations(
        &fleet,
        &reported,
        faults::is_planned(seed),
    ));
    println!(
        "seed {seed}: {}, {} broken",
        invariants::summary(&reported),
        violations.len()
    );
    if !violations.is_empty() {
        println!("seed {seed}: {schedule:?}");
    }
    violations
        .into_iter()
        .map(|line| format!("seed {seed}: {line}"))
        .collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn invariants_hold_under_faults() {
    let mut violations = Vec::new();
    for group in seeds().chunks(PARALLEL) {
        let running: tokio::task::JoinSet<_> = group.iter().map(|seed| run_seed(*seed)).collect();
        violations.extend(running.join_all().await.into_iter().flatten());
    }

    assert!(violations.is_empty(), "{violations:#?}");
}
