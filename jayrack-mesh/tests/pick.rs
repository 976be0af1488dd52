//! Tests of the selection of a host.
use std::net::{IpAddr, Ipv4Addr};

use jayrack_mesh::{
    HostPicker,
    gate::{GateLoad, ServiceTimeEstimate, Urgency},
    pick::{HostCandidate, HostOutcome, HostReport, PickRequest},
};

const NEW: Urgency = Urgency { stage: 1, rank: 1 };

fn candidate(number: u8, is_same_data_centre: bool) -> HostCandidate {
    HostCandidate {
        address: IpAddr::V4(Ipv4Addr::new(10, 0, 0, number)),
        instance: format!("i-{number}"),
        slots: 12,
        is_same_data_centre,
        is_local: false,
        is_unresponsive: false,
    }
}

fn request(urgency: Urgency) -> PickRequest<'static> {
    PickRequest {
        route: "browse",
        urgency,
    }
}

fn answered(service_ms: u64, answer_bytes: u64) -> HostOutcome {
    HostOutcome::Answered {
        service_ms,
        answer_bytes: Some(answer_bytes),
    }
}

fn load(running: u32) -> Option<HostReport> {
    let load = GateLoad {
        running,
        waiting: 0,
        slots: 12,
    };
    Some(HostReport {
        load,
        service_times: Vec::new(),
    })
}

/// How often each candidate is picked in `count` picks, with no request in flight.
fn shares(picker: &mut HostPicker, candidates: &[HostCandidate], count: usize) -> Vec<usize> {
    let mut shares = vec![0; candidates.len()];
    for _ in 0..count {
        let index = picker.pick(0, candidates, &request(NEW)).expect("a host");
        shares[index] += 1;
    }
    shares
}

#[test]
fn hosts_of_the_same_data_centre_are_preferred() {
    let mut picker = HostPicker::new(1);
    let candidates = [candidate(1, false), candidate(2, true)];

    assert_eq!(shares(&mut picker, &candidates, 20), [0, 20]);
}

#[test]
fn a_remote_host_is_picked_when_the_same_data_centre_is_full() {
    let mut picker = HostPicker::new(1);
    let candidates = [candidate(1, false), candidate(2, true)];
    let full = (answered(150, 4_000), load(12));
    picker.finished(0, &candidates[1], &request(NEW), full);

    assert_eq!(shares(&mut picker, &candidates, 20), [20, 0]);
}

/// Lookups with answers of 5 KB: bytes between data centres are charged, and a free slot nearby answers within the
/// target just as well.
#[test]
fn lookups_stay_in_the_same_data_centre_while_it_has_free_slots() {
    let mut picker = HostPicker::new(1);
    let candidates = [candidate(1, false), candidate(2, true)];
    picker.finished(
        0,
        &candidates[0],
        &request(NEW),
        (answered(190, 5_000), load(0)),
    );
    let busier = (answered(190, 5_000), load(11));
    picker.finished(0, &candidates[1], &request(NEW), busier);

    assert_eq!(shares(&mut picker, &candidates, 20), [0, 20]);
}

/// Lookups with answers of 5 KB: none waits for a slot nearby while a slot of another data centre is free.
#[test]
fn lookups_leave_a_full_data_centre_while_another_has_free_slots() {
    let mut picker = HostPicker::new(1);
    let candidates = [candidate(1, false), candidate(2, true)];
    picker.finished(
        0,
        &candidates[0],
        &request(NEW),
        (answered(190, 5_000), load(8)),
    );
    let full = (answered(190, 5_000), load(12));
    picker.finished(0, &candidates[1], &request(NEW), full);

    assert_eq!(shares(&mut picker, &candidates, 20), [20, 0]);
}

#[test]
fn large_answers_stay_in_the_same_data_centre_when_it_is_full() {
    let mut picker = HostPicker::new(1);
    let candidates = [candidate(1, false), candidate(2, true)];
    let full = (answered(150, 90_000), load(12));
    picker.finished(0, &candidates[1], &request(NEW), full);

    assert_eq!(shares(&mut picker, &candidates, 20), [0, 20]);
}

/// Downloads are requested on a host with a server, and forwarding them to another host would use two links.
#[test]
fn the_local_host_is_preferred_for_large_answers() {
    let mut picker = HostPicker::new(1);
    let own = HostCandidate {
        is_local: true,
        ..candidate(1, true)
    };
    let candidates = [own, candidate(2, true)];
    let busier = (answered(150, 90_000), load(6));
    picker.finished(0, &candidates[0], &request(NEW), busier);

    assert_eq!(shares(&mut picker, &candidates, 20), [20, 0]);
}

#[test]
fn a_slow_server_is_avoided() {
    let mut picker = HostPicker::new(1);
    let candidates = [candidate(1, true), candidate(2, true)];
    for _ in 0..30 {
        picker.finished(
            0,
            &candidates[0],
            &request(NEW),
            (answered(1_000, 100), None),
        );
        picker.finished(0, &candidates[1], &request(NEW), (answered(200, 100), None));
    }

    assert_eq!(shares(&mut picker, &candidates, 20), [0, 20]);
}

#[test]
fn a_failing_server_is_avoided() {
    let mut picker = HostPicker::new(1);
    let candidates = [candidate(1, true), candidate(2, true)];
    for _ in 0..10 {
        picker.finished(
            0,
            &candidates[0],
            &request(NEW),
            (HostOutcome::Failed, None),
        );
    }

    assert_eq!(shares(&mut picker, &candidates, 20), [0, 20]);
}

#[test]
fn a_refusal_excludes_the_host_for_a_while_unless_a_request_is_more_urgent() {
    let mut picker = HostPicker::new(1);
    let candidates = [candidate(1, true)];
    let refused = HostOutcome::Refused {
        retry_after_ms: 500,
    };
    picker.finished(0, &candidates[0], &request(NEW), (refused, None));
    let call = Urgency { stage: 0, rank: 1 };

    assert_eq!(picker.pick(1, &candidates, &request(NEW)), None);
    assert_eq!(picker.pick(1, &candidates, &request(call)), Some(0));
    assert_eq!(picker.pick(600, &candidates, &request(NEW)), Some(0));
}

#[test]
fn an_unreachable_host_is_used_only_if_there_is_no_other() {
    let mut picker = HostPicker::new(1);
    let candidates = [candidate(1, true), candidate(2, false)];
    let unreachable = (HostOutcome::Unreachable, None);
    picker.finished(0, &candidates[0], &request(NEW), unreachable);

    assert_eq!(shares(&mut picker, &candidates, 20), [0, 20]);
    assert_eq!(picker.pick(0, &candidates[..1], &request(NEW)), Some(0));
}

#[test]
fn a_new_instance_at_the_same_address_starts_without_observations() {
    let mut picker = HostPicker::new(1);
    let candidates = [candidate(1, true)];
    let refused = HostOutcome::Refused {
        retry_after_ms: 500,
    };
    picker.finished(0, &candidates[0], &request(NEW), (refused, None));
    let mut successor = candidate(1, true);
    successor.instance = "i-9".to_string();

    assert_eq!(picker.pick(1, &[successor], &request(NEW)), Some(0));
}

/// Guards against ranking servers by single runs: in a large fleet a daemon reaches each host only once in seconds, and
/// runs vary more than the twofold difference between servers.
#[test]
fn a_reported_service_time_replaces_a_single_observation() {
    let mut picker = HostPicker::new(1);
    let candidates = [candidate(1, true), candidate(2, true)];
    let report = |service_ms| HostReport {
        load: GateLoad::default(),
        service_times: vec![ServiceTimeEstimate {
            route: "browse".to_string(),
            service_ms,
        }],
    };
    let short_run = (answered(60, 100), Some(report(350)));
    let long_run = (answered(600, 100), Some(report(150)));

    picker.finished(0, &candidates[0], &request(NEW), short_run);
    picker.finished(0, &candidates[1], &request(NEW), long_run);

    assert_eq!(shares(&mut picker, &candidates, 20), [0, 20]);
}

#[test]
fn a_reported_service_time_counts_before_the_first_request() {
    let mut picker = HostPicker::new(1);
    let candidates = [candidate(1, true), candidate(2, true)];
    picker.finished(0, &candidates[1], &request(NEW), (answered(200, 100), None));
    let slow = HostReport {
        load: GateLoad::default(),
        service_times: vec![ServiceTimeEstimate {
            route: "browse".to_string(),
            service_ms: 900,
        }],
    };

    picker.reported(0, candidates[0].address, &candidates[0].instance, &slow);

    assert_eq!(shares(&mut picker, &candidates, 20), [0, 20]);
}
