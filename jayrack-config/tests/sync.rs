//! Distribution: readiness, readers, snapshots, and versions that never decrease.
mod support;

use jayrack_config::{
    record::StoredRecord,
    snapshot,
    sync::{Action, FleetMember, FleetView, Input, PeerDigest, PullAnswer, RecordPush},
};
use jayrack_protocol::{MemberId, ResultCode};
use rstest::rstest;
use support::{
    LogFixture, START_MS,
    fleet::{DATA_CENTRES, Machine, member, members, reads, reports, snapshots, spread},
    put, service,
};

const HOUR_MS: u64 = 3_600_000;

/// Answer to a pull by a ready peer that has folded `log`.
fn answer(log: &LogFixture) -> PullAnswer {
    PullAnswer {
        records: Vec::new(),
        snapshot: Some(snapshot::encode(&log.state)),
        next_offset: log.state.next_offset(),
        version: log.state.version(),
        digest: log.state.digest(),
        minimum_version: 0,
    }
}

fn digest(index: usize, log: &LogFixture) -> PeerDigest {
    PeerDigest {
        peer: member(index).id,
        version: log.state.version(),
        digest: log.state.digest(),
        next_offset: Some(log.state.next_offset()),
        log_now_ms: None,
    }
}

fn stored_snapshot(log: &LogFixture, time_ms: u64) -> StoredRecord {
    StoredRecord {
        offset: 1,
        time_ms,
        data: snapshot::encode(&log.state),
    }
}

fn expired(log: &LogFixture) -> Input {
    let first = log.records.len() as u64 + 1;
    Input::LogExpired {
        first,
        next: first,
        now_ms: log.now_ms,
    }
}

#[test]
fn started_daemon_is_ready_at_the_end_of_the_log() {
    let log = LogFixture::with_route();
    let mut machine = Machine::start(6);

    let first = machine.advance(500);
    let second = machine.input(Input::SnapshotsRead {
        records: Vec::new(),
    });
    let third = machine.read(&log.records, START_MS);

    assert_eq!(first, []);
    assert_eq!(reads(&second), 1);
    assert!(third.starts_with(&[Action::Installed { version: 2 }, Action::Ready]));
}

#[test]
fn unready_daemon_announces_nothing() {
    let mut machine = Machine::start(6);

    let answer = machine.sync.answer_pull(1, 10, 7);

    assert_eq!(machine.sync.announced(), (0, 0));
    assert_eq!(
        (answer.version, answer.digest, answer.minimum_version),
        (0, 0, 7)
    );
}

#[test]
fn version_below_the_minimum_is_not_served() {
    let mut log = LogFixture::with_route();
    let stale = log.records.clone();
    let accepted = log.accept("second", put(vec![service("drawings")]));
    let mut machine = Machine::start(6);
    machine.input(Input::SnapshotsRead {
        records: Vec::new(),
    });
    machine.input(Input::MinimumVersion(4));

    machine.read(&stale, START_MS);
    let before = machine.sync.is_ready();
    machine.read(&log.records, START_MS);

    assert_eq!(
        accepted,
        jayrack_config::fold::Outcome::Accepted { version: 4 }
    );
    assert!(!before);
    assert!(machine.sync.is_ready());
}

#[test]
fn peers_of_two_data_centres_replace_an_unavailable_log() {
    let log = LogFixture::with_route();
    let mut machine = Machine::start(6);
    machine.input(Input::SnapshotsFailed);

    machine.pulled(1, PullAnswer::default());
    machine.pulled(2, PullAnswer::default());
    let after_unready = machine.sync.is_ready();
    machine.pulled(1, answer(&log));
    machine.pulled(4, answer(&log));
    let after_one_data_centre = machine.sync.is_ready();
    machine.pulled(2, answer(&log));
    let after_some_readers = machine.sync.is_ready();
    machine.pulled(3, PullAnswer::default());
    machine.pulled(5, PullAnswer::default());

    assert!(!after_unready && !after_one_data_centre && !after_some_readers);
    assert!(machine.sync.is_ready());
    assert_eq!(machine.sync.state(), &log.state);
}

#[test]
fn peer_behind_another_peer_does_not_make_ready() {
    let mut log = LogFixture::with_route();
    let behind = log.clone();
    log.accept("second", put(vec![service("drawings")]));
    let mut machine = Machine::start(6);
    machine.input(Input::SnapshotsFailed);
    machine.input(Input::PeerDigest(digest(5, &log)));

    machine.pulled(1, answer(&behind));
    machine.pulled(2, answer(&behind));

    assert!(!machine.sync.is_ready());
}

#[test]
fn start_without_records_snapshot_and_peers_stays_unready_and_reports_log_expired() {
    let log = LogFixture::with_route();
    let mut machine = Machine::start(1);
    machine.input(Input::SnapshotsRead {
        records: Vec::new(),
    });

    let mut actions = machine.input(expired(&log));
    for _ in 0..200 {
        actions.extend(machine.advance(10_000));
        actions.extend(machine.input(Input::SnapshotsRead {
            records: Vec::new(),
        }));
    }

    assert_eq!(reports(&actions), [ResultCode::LogExpired]);
    assert!(!actions.contains(&Action::Ready));
    assert_eq!(reads(&actions), 0);
    assert!(snapshots(&actions).is_empty());
}

#[test]
fn start_after_expiry_restores_from_the_newest_snapshot() {
    let mut log = LogFixture::with_route();
    let older = stored_snapshot(&log, START_MS);
    log.accept("second", put(vec![service("drawings")]));
    let newest = StoredRecord {
        offset: 2,
        ..stored_snapshot(&log, START_MS)
    };
    let damaged = StoredRecord {
        offset: 3,
        time_ms: START_MS,
        data: newest.data.replace("drawings", "drowings"),
    };
    let mut machine = Machine::start(6);
    machine.input(Input::SnapshotsRead {
        records: Vec::new(),
    });
    machine.input(expired(&log));

    machine.advance(10_000);
    let records = vec![older, newest, damaged];
    let restored = machine.input(Input::SnapshotsRead { records });
    machine.read(&[], START_MS);

    assert_eq!(reports(&restored), [ResultCode::SnapshotInvalid]);
    assert!(restored.contains(&Action::Installed { version: 4 }));
    assert!(machine.sync.is_ready());
    assert_eq!(machine.sync.state(), &log.state);
}

#[test]
fn lower_versions_are_never_installed() {
    let mut log = LogFixture::with_route();
    let lower = log.clone();
    log.accept("second", put(vec![service("drawings")]));
    let mut machine = Machine::ready(0, 6, &log.records);
    let mut further = lower.clone();
    for _ in 0..5 {
        further.append("garbage".to_string());
    }

    let mut actions = machine.pulled(1, answer(&lower));
    actions.extend(machine.pulled(1, answer(&further)));
    actions.extend(machine.read(&lower.records, START_MS));
    actions.extend(machine.input(Input::SnapshotsRead {
        records: vec![stored_snapshot(&further, START_MS)],
    }));

    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, Action::Installed { .. }))
    );
    assert_eq!(machine.sync.state(), &log.state);
}

#[test]
fn different_state_for_one_version_is_reported_once() {
    let log = LogFixture::with_route();
    let mut machine = Machine::ready(0, 6, &log.records);
    let other = PeerDigest {
        digest: 99,
        ..digest(1, &log)
    };

    let actions: Vec<Action> = (0..5)
        .flat_map(|_| machine.input(Input::PeerDigest(other)))
        .collect();

    assert_eq!(reports(&actions), [ResultCode::DigestDiverged]);
    assert_eq!(machine.sync.state(), &log.state);
}

#[test]
fn record_of_a_newer_release_stops_the_daemon_at_the_last_version() {
    let mut log = LogFixture::with_route();
    let mut machine = Machine::ready(0, 1, &log.records);
    let newer = StoredRecord {
        offset: 3,
        time_ms: log.now_ms,
        data: r#"{"format":2,"kind":"proposed"}"#.to_string(),
    };
    log.records.push(newer);

    let mut actions = machine.read(&log.records, START_MS);
    actions.extend(machine.advance(60_000));

    assert_eq!(reports(&actions), [ResultCode::RecordNotUnderstood]);
    assert_eq!(reads(&actions), 0);
    assert_eq!(machine.sync.state(), &log.state);
    assert!(machine.sync.is_ready());
}

#[test]
fn invalid_record_is_reported_and_applied_nowhere() {
    let mut log = LogFixture::with_route();
    let mut machine = Machine::ready(0, 1, &log.records);
    log.append("garbage".to_string());

    let actions = machine.read(&log.records, START_MS);

    assert_eq!(reports(&actions), [ResultCode::RecordInvalid]);
    assert_eq!(machine.sync.state().version(), 2);
}

#[rstest]
#[case::pushed(true)]
#[case::digest(false)]
fn member_that_is_behind_pulls_from_the_one_ahead(#[case] is_pushed: bool) {
    let mut log = LogFixture::with_route();
    let mut machine = Machine::ready(1, 40, &log.records);
    log.accept("second", put(vec![service("drawings")]));
    let input = match is_pushed {
        false => Input::PeerDigest(digest(5, &log)),
        true => Input::Pushed(RecordPush {
            peer: Some(member(5).id),
            records: log.records[3..].to_vec(),
            hops: 3,
        }),
    };

    let actions = machine.input(input);

    assert!(actions.iter().any(|action| {
        matches!(action, Action::Pull { peer, from: 3, .. } if *peer == member(5).id)
    }));
}

#[test]
fn number_of_readers_does_not_depend_on_fleet_size() {
    for count in [30, 760] {
        let mut view = FleetView::new(member(0), 3);

        view.replace(members(count));

        assert_eq!(view.readers().len(), 3 * DATA_CENTRES.len());
    }
}

#[test]
fn other_members_take_over_when_all_readers_are_gone() {
    let log = LogFixture::with_route();
    let mut view = FleetView::new(member(0), 3);
    view.replace(members(40));
    let gone = view.readers().clone();
    let left: Vec<FleetMember> = members(40)
        .into_iter()
        .filter(|member| !gone.contains(&member.id))
        .collect();
    let is_left = |index: &usize| left.iter().any(|left| left.id == member(*index).id);
    let mut fleet: Vec<Machine> = (0..40)
        .filter(is_left)
        .map(|index| Machine::ready(index, 40, &log.records))
        .collect();

    let readers = fleet
        .iter_mut()
        .map(|machine| reads(&machine.input(Input::Members(left.clone()))))
        .sum::<usize>();

    assert_eq!(readers, 9);
}

#[test]
fn about_one_member_per_second_reads_when_readers_are_silent() {
    let log = LogFixture::with_route();
    let mut view = FleetView::new(member(0), 3);
    view.replace(members(200));
    let mut total = 0;

    for index in (0..200).filter(|index| !view.readers().contains(&member(*index).id)) {
        let mut machine = Machine::ready(index, 200, &log.records);
        let mut actions = machine.advance(35_000);
        actions.retain(|action| matches!(action, Action::ReadLog { .. }));
        total += reads(&actions);
        assert!(reads(&actions) <= 8);
    }

    println!("silent readers: {total} reads in 30 s by 191 members");
    assert!((15..=60).contains(&total), "{total} reads in 30 s");
}

#[test]
fn reader_of_a_log_that_is_down_or_silent_backs_off() {
    let log = LogFixture::with_route();
    let mut refused = Machine::ready(0, 1, &log.records);
    let mut silent = Machine::ready(0, 1, &log.records);
    let mut attempts = 0;

    for _ in 0..1_200 {
        attempts += reads(&refused.advance(500));
        refused.input(Input::LogFailed);
    }
    let silent_attempts = reads(&silent.advance(600_000));

    assert!(
        (30..=200).contains(&attempts),
        "{attempts} attempts in 10 min"
    );
    assert!(
        (20..=200).contains(&silent_attempts),
        "{silent_attempts} attempts in 10 min"
    );
    assert_eq!(refused.sync.state(), &log.state);
}

#[test]
fn snapshot_is_written_at_a_quarter_of_the_retention() {
    let log = LogFixture::with_route();
    let mut machine = Machine::ready(0, 1, &log.records);

    let early = machine.advance(HOUR_MS / 4 - 10_000);
    machine.read(&[], START_MS + HOUR_MS / 4 - 10_000);
    let due = machine.advance(12_000);
    let written = machine.input(Input::SnapshotsRead {
        records: Vec::new(),
    });

    assert!(!early.contains(&Action::ReadSnapshots));
    assert!(due.contains(&Action::ReadSnapshots));
    assert_eq!(
        snapshot::decode(snapshots(&written)[0]).as_ref(),
        Ok(&log.state)
    );
}

#[test]
fn snapshot_that_another_reader_wrote_is_not_written_again() {
    let log = LogFixture::with_route();
    let mut machine = Machine::ready(0, 1, &log.records);
    machine.advance(HOUR_MS / 4 - 10_000);
    machine.read(&[], START_MS + HOUR_MS / 4 - 10_000);
    machine.advance(12_000);

    let records = vec![stored_snapshot(&log, START_MS + HOUR_MS / 4)];
    let mut actions = machine.input(Input::SnapshotsRead { records });
    actions.extend(machine.advance(60_000));

    assert!(snapshots(&actions).is_empty());
    assert!(!actions.contains(&Action::ReadSnapshots));
}

#[test]
fn first_reader_writes_before_the_others() {
    let log = LogFixture::with_route();
    let mut first_search_ms = Vec::new();

    for index in 0..9 {
        let mut machine = Machine::ready(index, 9, &log.records);
        machine.advance(HOUR_MS / 4 - 10_000);
        machine.read(&[], START_MS + HOUR_MS / 4 - 10_000);
        let is_search = |machine: &mut Machine| {
            let mut actions = machine.advance(500);
            actions.extend(machine.read(&[], machine.now_ms));
            actions.contains(&Action::ReadSnapshots)
        };
        let found = (0..100).any(|_| is_search(&mut machine));
        assert!(found);
        first_search_ms.push(machine.now_ms);
    }

    first_search_ms.sort();
    let steps: Vec<u64> = first_search_ms
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .collect();
    assert_eq!(steps, [2_000; 8]);
}

#[test]
fn outage_longer_than_the_retention_ends_with_a_snapshot_and_no_other_version() {
    let log = LogFixture::with_route();
    let mut machine = Machine::ready(0, 1, &log.records);
    machine.input(Input::LogFailed);
    machine.advance(2 * HOUR_MS);

    let back = machine.input(Input::LogRead(jayrack_config::sync::LogAnswer {
        first: 3,
        next: 3,
        now_ms: START_MS + 2 * HOUR_MS,
        records: Vec::new(),
    }));
    let written = machine.input(Input::SnapshotsRead {
        records: Vec::new(),
    });

    assert!(back.contains(&Action::ReadSnapshots));
    assert_eq!(snapshots(&written).len(), 1);
    assert_eq!(machine.sync.state(), &log.state);
}

#[test]
fn expired_records_are_skipped_only_after_every_data_centre_confirmed() {
    let mut log = LogFixture::with_route();
    let mut machine = Machine::ready(0, 3, &log.records);
    let peer = answer(&log);
    for _ in 0..3 {
        log.append("lost".to_string());
    }
    machine.input(expired(&log));

    let mut early = Vec::new();
    for _ in 0..10 {
        early.extend(machine.advance(10_000));
        early.extend(machine.input(Input::SnapshotsRead {
            records: Vec::new(),
        }));
    }
    machine.pulled(1, peer.clone());
    machine.pulled(2, peer);
    machine.advance(40_000);
    let bridged = machine.input(Input::SnapshotsRead {
        records: Vec::new(),
    });

    assert!(snapshots(&early).is_empty());
    let state = snapshot::decode(snapshots(&bridged)[0]).unwrap();
    assert_eq!((state.version(), state.next_offset()), (2, 6));
    assert_eq!(machine.sync.state(), &state);
}

#[test]
fn daemon_resumed_after_suspension_searches_again_before_it_writes_a_snapshot() {
    let log = LogFixture::with_route();
    let mut machine = Machine::ready(0, 1, &log.records);
    machine.advance(HOUR_MS / 4 - 10_000);
    machine.read(&[], START_MS + HOUR_MS / 4 - 10_000);
    machine.advance(12_000);

    // The answer to a search made before the suspension arrives after it.
    machine.now_ms += HOUR_MS;
    machine.input(Input::Tick);
    let late = machine.input(Input::SnapshotsRead {
        records: Vec::new(),
    });

    assert!(snapshots(&late).is_empty());
    assert_eq!(machine.sync.state(), &log.state);
}

#[rstest]
#[case(30)]
#[case(190)]
#[case(760)]
fn new_records_reach_most_members_by_push_with_bounded_messages_per_member(#[case] count: usize) {
    let mut log = LogFixture::with_route();
    let mut fleet: Vec<Machine> = (0..count)
        .map(|index| Machine::ready(index, count, &log.records))
        .collect();
    log.accept("second", put(vec![service("drawings")]));
    let reader = (0..count)
        .find(|index| fleet[*index].sync.fleet().is_reader())
        .expect("a reader");

    let actions = fleet[reader].read(&log.records, START_MS);
    let sent = spread(&mut fleet, reader, actions);

    let reached = fleet
        .iter()
        .filter(|machine| machine.sync.state().version() == 4)
        .count();
    println!(
        "push: {reached} of {count} members, {} messages",
        sent.values().sum::<usize>()
    );
    assert!(sent.values().all(|pushes| *pushes <= 3), "{sent:?}");
    assert!(reached * 10 >= count * 8, "{reached} of {count}");
}

#[test]
fn restarting_fleet_reads_the_log_once_per_daemon() {
    for count in [30, 760] {
        let log = LogFixture::with_route();
        let mut total = 0;

        for index in 0..count {
            let mut machine = Machine::start_as(index, count);
            let mut actions = machine.input(Input::Tick);
            actions.extend(machine.input(Input::SnapshotsRead {
                records: Vec::new(),
            }));
            actions.extend(machine.read(&log.records, START_MS));
            total += reads(&actions) - usize::from(machine.sync.fleet().is_reader());
        }

        assert_eq!(total, count);
    }
}

#[test]
fn unknown_member_does_not_count_as_a_confirming_peer() {
    let log = LogFixture::with_route();
    let mut machine = Machine::start(1);
    machine.input(Input::SnapshotsFailed);

    machine.input(Input::Pulled {
        peer: MemberId(77),
        answer: answer(&log),
    });

    assert!(!machine.sync.is_ready());
}
