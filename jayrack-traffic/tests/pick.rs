//! Selection of backend servers.
use std::{collections::BTreeSet, sync::Arc};

use jayrack_config::table::ServerEntry;
use jayrack_protocol::MemberId;
use jayrack_traffic::{
    LoadLevel, ServerPicker,
    pick::{FinishReport, Options, PickContext, PickResult},
};
use rstest::rstest;

const ROUNDS: u64 = 1_000;

fn server(name: &str, data_centre: &str) -> ServerEntry {
    ServerEntry {
        name: name.to_string(),
        service: "bookings".to_string(),
        owner: MemberId(1),
        forward_address: "127.0.0.1:1".parse().expect("an address"),
        data_centre: data_centre.to_string(),
        region: "wales".to_string(),
        slots: 12,
        connections: 110,
        draining: false,
        warm_percent: 100,
    }
}

fn servers(names: &[&str]) -> Vec<Arc<ServerEntry>> {
    names
        .iter()
        .map(|name| Arc::new(server(name, "wrecsam")))
        .collect()
}

fn context(excluded: &[String]) -> PickContext<'_> {
    PickContext {
        data_centre: "wrecsam",
        region: "wales",
        excluded,
        rank: 0,
    }
}

fn report(result: PickResult, latency_us: u64) -> FinishReport {
    FinishReport {
        latency_us,
        result,
        load: None,
    }
}

/// Number of picks of each server over [`ROUNDS`] requests, one per millisecond, with these outcomes.
fn pick_counts(
    picker: &mut ServerPicker,
    candidates: &[Arc<ServerEntry>],
    outcome: impl Fn(u64, &str) -> FinishReport,
) -> Vec<u64> {
    let mut counts = vec![0; candidates.len()];
    for now_ms in 0..ROUNDS {
        let Some(index) = picker.pick(now_ms, candidates, &context(&[])) else {
            continue;
        };
        let name = &candidates[index].name;
        picker.started(now_ms, name);
        picker.finished(now_ms, name, &outcome(now_ms, name));
        counts[index] += 1;
    }
    counts
}

fn picker() -> ServerPicker {
    ServerPicker::new(Options::default(), 7)
}

#[rstest]
#[case::slow("a", report(PickResult::Ok, 100_000))]
#[case::refusing("a", report(PickResult::Refused, 1_000))]
fn slow_or_refusing_servers_get_less_work_but_are_not_ejected(
    #[case] bad: &str,
    #[case] outcome: FinishReport,
) {
    let candidates = servers(&["a", "b", "c"]);

    let counts = pick_counts(&mut picker(), &candidates, |_, name| match name == bad {
        true => outcome,
        false => report(PickResult::Ok, 1_000),
    });

    assert!(counts[0] < ROUNDS / 5, "{counts:?}");
    assert!(counts[0] > 0, "{counts:?}");
}

#[test]
fn a_failing_server_is_backed_off_and_tried_again() {
    let candidates = servers(&["a", "b"]);

    let counts = pick_counts(&mut picker(), &candidates, |now_ms, name| {
        match name == "a" && now_ms < ROUNDS / 2 {
            true => report(PickResult::Lost, 1_000),
            false => report(PickResult::Ok, 1_000),
        }
    });

    assert!(counts[0] > 10, "tried again: {counts:?}");
    assert!(counts[0] < ROUNDS / 2, "backed off: {counts:?}");
}

#[test]
fn the_only_server_is_used_even_while_it_is_backed_off() {
    let candidates = servers(&["a"]);
    let mut picker = picker();
    picker.started(0, "a");
    picker.finished(0, "a", &report(PickResult::Failed, 1_000));

    let choice = picker.pick(1, &candidates, &context(&[]));

    assert_eq!(choice, Some(0));
}

#[test]
fn draining_and_excluded_servers_are_never_chosen() {
    let mut draining = server("a", "wrecsam");
    draining.draining = true;
    let candidates = [Arc::new(draining), Arc::new(server("b", "wrecsam"))];
    let mut picker = picker();

    let open: BTreeSet<_> = (0..50)
        .map(|_| picker.pick(0, &candidates, &context(&[])))
        .collect();
    let none = picker.pick(0, &candidates, &context(&["b".to_string()]));

    assert_eq!(open, BTreeSet::from([Some(1)]));
    assert_eq!(none, None);
}

#[test]
fn a_warming_server_gets_a_reduced_share() {
    let mut cold = server("a", "wrecsam");
    cold.warm_percent = 10;
    let candidates = [
        Arc::new(cold),
        Arc::new(server("b", "wrecsam")),
        Arc::new(server("c", "wrecsam")),
    ];

    let counts = pick_counts(&mut picker(), &candidates, |_, _| {
        report(PickResult::Ok, 10_000)
    });

    assert!(counts[0] < ROUNDS / 6, "{counts:?}");
}

#[test]
fn work_stays_in_the_data_centre_until_it_is_busy() {
    let candidates = [
        Arc::new(server("a", "wrecsam")),
        Arc::new(server("b", "casnewydd")),
    ];
    let mut picker = picker();
    let idle = pick_counts(&mut picker, &candidates, |_, _| {
        report(PickResult::Ok, 10_000)
    });
    let busy = LoadLevel {
        slots: 12,
        running: 12,
        queued: 100,
        ..LoadLevel::default()
    };

    let mut full = report(PickResult::Ok, 10_000);
    full.load = Some(busy);
    picker.started(ROUNDS, "a");
    picker.finished(ROUNDS, "a", &full);
    let while_full = picker.pick(ROUNDS + 1, &candidates, &context(&[]));
    let after_load_expired = picker.pick(ROUNDS + 5_000, &candidates, &context(&[]));

    assert_eq!(idle, [ROUNDS, 0]);
    assert_eq!(while_full, Some(1));
    assert_eq!(after_load_expired, Some(0));
}

#[test]
fn each_daemon_uses_a_bounded_subset_and_all_servers_are_used() {
    let names: Vec<String> = (0..100).map(|number| format!("server-{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let candidates = servers(&names);
    let mut all = BTreeSet::new();

    for local in 0..200 {
        let options = Options {
            local,
            ..Options::default()
        };
        let mut picker = ServerPicker::new(options, local);
        let used: BTreeSet<_> = (0..100)
            .map(|_| picker.pick(0, &candidates, &context(&[])))
            .collect();
        assert!(used.len() <= 8, "{}", used.len());
        all.extend(used);
    }

    assert_eq!(all.len(), 100);
}
