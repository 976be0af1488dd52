//! Random schedules of slow, paused, cut off and restarted lenders in virtual time.
//!
//! A few hundred schedules run in CI; `JAYRACK_LENDER_SEEDS=1..10001` runs others.
// Each test program uses only some items of the fleet.
#[allow(dead_code)]
mod allowance_fleet;

use std::ops::Range;

use allowance_fleet::{HOSTS, LIMIT_RATIO, SimFleet, SimTenant};
use jayrack_mesh::tenants::TenantAllowance;
use rand_pcg::{
    Pcg32,
    rand_core::{Rng, SeedableRng},
};

const RATE_PER_S: f64 = 60.0;
const BURST: f64 = 20.0;
/// Ratio of a hot tenant's requests to its usual ones.
const HOT_RATIO: f64 = 7.5;
/// Time for the buckets to fill after the start.
const SETTLED_MS: u64 = 6_000;
const END_MS: u64 = 18_000;
/// Schedules without an environment variable.
const DEFAULT_SEEDS: Range<u64> = 1..201;
const SEEDS_VARIABLE: &str = "JAYRACK_LENDER_SEEDS";
/// Fraction of the requests within the limit that must run without and with trouble, over all schedules.
const MIN_ADMITTED_CALM: f64 = 0.95;
const MIN_ADMITTED: f64 = 0.85;

/// Trouble of the host that lends, or of the fleet around it.
#[derive(Debug, Clone, Copy)]
enum LenderTrouble {
    Slow { for_ms: u64, running_ms: u64 },
    Paused { for_ms: u64 },
    CutOff { for_ms: u64, hosts: usize },
    Restarted { after_ms: u64 },
}

impl LenderTrouble {
    fn of_the_host(random: &mut Pcg32) -> Self {
        let mut below = |bound: u64| random.next_u64() % bound;
        match below(3) {
            0 => LenderTrouble::Slow {
                for_ms: 1_000 + below(5_500),
                running_ms: 5 + below(60),
            },
            1 => LenderTrouble::Paused {
                for_ms: 100 + below(3_000),
            },
            _ => LenderTrouble::Restarted {
                after_ms: 200 + below(3_000),
            },
        }
    }

    fn any(random: &mut Pcg32) -> Self {
        if !random.next_u32().is_multiple_of(4) {
            return Self::of_the_host(random);
        }
        LenderTrouble::CutOff {
            for_ms: 500 + random.next_u64() % 4_000,
            hosts: 1 + (random.next_u64() % (HOSTS as u64 / 2)) as usize,
        }
    }

    /// Plays the trouble; returns when it is over.
    fn play(self, fleet: &mut SimFleet, at_ms: u64) -> u64 {
        let lender = fleet.lender_of(0);
        match self {
            LenderTrouble::Slow { for_ms, running_ms } => {
                fleet.slow_down(lender, for_ms, running_ms);
                at_ms + for_ms
            }
            LenderTrouble::Paused { for_ms } => {
                fleet.freeze(lender, for_ms);
                at_ms + for_ms
            }
            LenderTrouble::CutOff { for_ms, hosts } => {
                for number in 0..hosts {
                    fleet.groups[(lender + number) % HOSTS] = 1;
                }
                fleet.run_until(at_ms + for_ms);
                fleet.groups = vec![0; HOSTS];
                at_ms + for_ms
            }
            LenderTrouble::Restarted { after_ms } => {
                fleet.kill(lender);
                fleet.run_until(at_ms + after_ms);
                fleet.start(lender);
                at_ms + after_ms
            }
        }
    }
}

fn fleet(seed: u64) -> SimFleet {
    let usual_per_s = RATE_PER_S / LIMIT_RATIO;
    let tenant = SimTenant {
        allowance: TenantAllowance {
            rate_per_s: RATE_PER_S,
            burst: BURST,
        },
        ..SimTenant::usual("hot", usual_per_s)
    };
    let hosts = (0..HOSTS).collect();
    SimFleet::new(
        vec![tenant.then(SETTLED_MS, usual_per_s * HOT_RATIO, hosts)],
        seed,
    )
}

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var(SEEDS_VARIABLE) else {
        return DEFAULT_SEEDS;
    };
    let (first, end) = text.split_once("..").expect("FIRST..END");
    first.parse().unwrap()..end.parse().unwrap()
}

/// Runs all seeds on a few threads; returns the mean of what `play` returns.
fn mean_of(play: fn(u64) -> f64) -> f64 {
    let seeds: Vec<u64> = seeds().collect();
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let sum: f64 = std::thread::scope(|scope| {
        let parts = seeds.chunks(seeds.len().div_ceil(threads));
        let handles: Vec<_> = parts
            .map(|part| scope.spawn(move || part.iter().map(|seed| play(*seed)).sum::<f64>()))
            .collect();
        handles
            .into_iter()
            .map(|handle| handle.join().unwrap())
            .sum()
    });
    sum / seeds.len() as f64
}

/// Plays one schedule; returns the fraction of the requests within the limit that ran.
fn play(seed: u64, draw: fn(&mut Pcg32) -> LenderTrouble) -> f64 {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut fleet = fleet(seed);
    let mut at_ms = SETTLED_MS;
    let mut troubles = Vec::new();
    while at_ms < END_MS {
        fleet.run_until(at_ms);
        let trouble = draw(&mut random);
        troubles.push((at_ms, trouble));
        at_ms = trouble.play(&mut fleet, at_ms) + random.next_u64() % 3_000;
    }
    fleet.run_until(at_ms + 6_000);
    println!("seed {seed}: {troubles:?}");
    fleet.assert_bounds();
    fleet.admitted_fraction(SETTLED_MS, END_MS)
}

/// Guards against a limit that is exceeded because two hosts lend one tenant's tokens while the first is slow, paused or
/// restarted.
#[test]
fn no_schedule_of_slow_or_restarted_lenders_exceeds_the_limit() {
    let fraction = mean_of(|seed| play(seed, LenderTrouble::of_the_host));

    assert!(
        fraction >= MIN_ADMITTED,
        "{fraction} of the requests within the limit ran"
    );
}

/// The same, with lenders that are cut off together with a part of the fleet.
#[test]
fn no_schedule_with_lenders_cut_off_exceeds_the_limit() {
    let fraction = mean_of(|seed| play(seed, LenderTrouble::any));

    assert!(
        fraction >= MIN_ADMITTED,
        "{fraction} of the requests within the limit ran"
    );
}

/// Guards against tokens that are lost without any trouble.
#[test]
fn a_calm_fleet_admits_what_lies_within_the_limit() {
    let fraction = mean_of(|seed| {
        let mut fleet = fleet(seed);
        fleet.run_until(END_MS);
        fleet.assert_bounds();
        fleet.admitted_fraction(SETTLED_MS, END_MS)
    });

    assert!(
        fraction >= MIN_ADMITTED_CALM,
        "{fraction} of the requests within the limit ran"
    );
}
