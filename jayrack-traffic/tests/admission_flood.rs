//! Admission by rank under overload, simulated in virtual time.
mod support {
    pub mod flood;
}

use rstest::rstest;
use support::flood::{Deployment, Flood, FloodOutcome, Kind, KindOutcome, Policy, run_flood};

/// Services availability, bookings and drawings.
fn turnio() -> Deployment {
    let kind = Kind {
        name: "confirm",
        rank: 0,
        reserved_share_percent: 0,
        service: 1,
        work_us: 30_000,
        lookup: Some((0, 5_000)),
        lookups: 1,
        deadline_ms: 1_000,
        demand_percent: 50,
    };
    let drawing = Kind {
        name: "drawing",
        rank: 1,
        reserved_share_percent: 10,
        service: 2,
        work_us: 25_000,
        lookup: Some((1, 3_000)),
        ..kind
    };
    let browse = Kind {
        name: "browse",
        rank: 2,
        reserved_share_percent: 5,
        service: 0,
        work_us: 10_000,
        lookup: None,
        ..kind
    };
    Deployment {
        servers: [5, 3, 3],
        kinds: [kind, drawing, browse],
    }
}

/// The service of the most urgent kind's lookups is the bottleneck.
fn narrow_lookup() -> Deployment {
    let [confirm, drawing, browse] = turnio().kinds;
    let confirm = Kind {
        service: 0,
        work_us: 5_000,
        lookup: Some((1, 30_000)),
        ..confirm
    };
    Deployment {
        servers: [5, 3, 3],
        kinds: [confirm, drawing, browse],
    }
}

/// Confirmations and drawings make eight lookups each.
fn many_lookups() -> Deployment {
    let mut deployment = turnio();
    deployment.kinds[0].lookups = 8;
    deployment.kinds[1].lookups = 8;
    deployment
}

/// Services calendar, order desk and archive.
fn tugrug() -> Deployment {
    let [confirm, drawing, browse] = turnio().kinds;
    let order = Kind {
        name: "order",
        ..confirm
    };
    let date = Kind {
        name: "date",
        rank: 1,
        reserved_share_percent: 10,
        work_us: 8_000,
        ..browse
    };
    let bundle = Kind {
        name: "bundle",
        rank: 2,
        reserved_share_percent: 5,
        work_us: 40_000,
        lookup: Some((0, 2_000)),
        ..drawing
    };
    Deployment {
        servers: [6, 5, 3],
        kinds: [order, date, bundle],
    }
}

fn print(name: &str, flood: Flood, factor: u64, outcome: &FloodOutcome) {
    let wasted = 100.0 * outcome.wasted_us as f64 / outcome.busy_us.max(1) as f64;
    let summary = |kind: &KindOutcome| {
        format!(
            "{}/{} ideal {:.1}% reserved {:.2} others {:.1}%",
            kind.completed,
            kind.offered,
            100.0 * kind.completed as f64 / kind.ideal,
            kind.completed as f64 / kind.reserved.max(1.0),
            100.0 * kind.others_completed as f64 / kind.others_offered.max(1) as f64,
        )
    };
    let kinds: Vec<String> = outcome.kinds.iter().map(summary).collect();
    println!(
        "{name} {flood:?} {factor}x: wasted {wasted:.2}% | {}",
        kinds.join(" | ")
    );
}

#[rstest]
fn ranked_admission_meets_its_targets_under_floods(
    #[values("turnio", "tugrug")] name: &str,
    #[values(Flood::LeastUrgent, Flood::MostUrgent, Flood::OneCustomer)] flood: Flood,
    #[values(1, 2, 5, 10)] factor: u64,
) {
    let deployment = if name == "turnio" { turnio() } else { tugrug() };

    let outcome = run_flood(deployment, Policy::Ranked, flood, factor);

    print(name, flood, factor, &outcome);
    let urgent = &outcome.kinds[0];
    assert!(
        urgent.completed as f64 >= 0.99 * urgent.ideal,
        "urgent work"
    );
    for kind in &outcome.kinds {
        assert!(kind.completed as f64 >= kind.reserved, "reserved share");
    }
    if flood == Flood::OneCustomer {
        assert!(
            urgent.others_completed * 100 >= urgent.others_offered * 99,
            "other customers"
        );
    }
    assert!(outcome.wasted_us * 50 < outcome.busy_us, "wasted work");
}

#[rstest]
fn ranks_serve_urgent_work_better_than_first_come_first_served(
    #[values(Flood::LeastUrgent, Flood::MostUrgent, Flood::OneCustomer)] flood: Flood,
) {
    let ranked = run_flood(turnio(), Policy::Ranked, flood, 5);

    let fifo = run_flood(turnio(), Policy::Fifo, flood, 5);

    print("turnio fifo", flood, 5, &fifo);
    let flooding_kind = if flood == Flood::LeastUrgent { 2 } else { 0 };
    for (index, kind) in ranked.kinds.iter().enumerate() {
        assert!(
            index == flooding_kind || kind.completed >= fifo.kinds[index].completed,
            "{index}"
        );
    }
    assert!(ranked.wasted_us < fifo.wasted_us);
}

#[rstest]
fn work_is_not_wasted_on_lookups(
    #[values("narrow lookup", "many lookups")] name: &str,
    #[values(Flood::LeastUrgent, Flood::MostUrgent)] flood: Flood,
    #[values(2, 5)] factor: u64,
) {
    let deployment = if name == "narrow lookup" {
        narrow_lookup()
    } else {
        many_lookups()
    };

    let outcome = run_flood(deployment, Policy::Ranked, flood, factor);

    print(name, flood, factor, &outcome);
    assert!(outcome.wasted_us * 50 < outcome.busy_us, "wasted work");
}
