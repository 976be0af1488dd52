//! The state that a daemon keeps of other members stays bounded under churn.
mod support;

use jayrack_membership::{Action, Input, MembershipCore, core::Options, wire};
use jayrack_protocol::gossip::{self, Datagram, SyncRecords, datagram::Body};
use support::{address, id, record};

/// Members that start and end, several times as many as in the target fleet.
const SHORT_LIVED_MEMBERS: usize = 3_000;
/// Entries that a daemon may keep: the target fleet and as many ended members, rounded up.
const MAX_ENTRIES: usize = 2_048;

/// A datagram of member 1 with the record and the status of another member.
fn short_lived_member(index: usize, status: gossip::MemberStatus) -> Box<Datagram> {
    let record = record(index, 0);
    let ended = gossip::StatusUpdate {
        id: record.id.0,
        incarnation: record.incarnation,
        status: status as i32,
        source: 0,
    };
    Box::new(Datagram {
        sender: id(1).0,
        incarnation: 1,
        sequence: index as u32,
        applied_version: 3,
        body: Some(Body::SyncRecords(SyncRecords {})),
        records: vec![wire::to_message(&record, 3)],
        statuses: vec![ended],
        ..Datagram::default()
    })
}

fn core_after(status: gossip::MemberStatus) -> MembershipCore {
    let mut core = MembershipCore::new(Options::default(), record(0, 0), 1, 0);
    for index in 10..10 + SHORT_LIVED_MEMBERS {
        let datagram = short_lived_member(index, status);
        let from = address(1);
        let now_ms = index as u64;
        core.handle(now_ms, Input::Datagram { from, datagram });
    }
    (0..150).for_each(|tick| _ = core.handle(4_000 + tick * 100, Input::Tick));
    core
}

#[test]
fn ended_members_are_removed_oldest_first() {
    for status in [gossip::MemberStatus::Dead, gossip::MemberStatus::Left] {
        let core = core_after(status);

        let view = core.view();

        assert!(view.members.len() <= MAX_ENTRIES, "{}", view.members.len());
        assert!(view.get(id(10)).is_none());
        assert!(view.get(id(9 + SHORT_LIVED_MEMBERS)).is_some());
    }
}

#[test]
fn removed_member_is_not_restored_by_an_old_record() {
    let mut core = core_after(gossip::MemberStatus::Dead);
    let mut datagram = short_lived_member(10, gossip::MemberStatus::Alive);
    datagram.sequence = 1_000_000;

    let actions = core.handle(
        30_000,
        Input::Datagram {
            from: address(1),
            datagram,
        },
    );

    assert!(core.view().get(id(10)).is_none());
    assert!(!actions.contains(&Action::Changed));
}

#[test]
fn replayed_and_old_datagrams_are_rejected_and_reordered_ones_accepted() {
    let mut core = MembershipCore::new(Options::default(), record(0, 0), 1, 0);
    let mut is_accepted = |sequence: u32| {
        let mut datagram = short_lived_member(10, gossip::MemberStatus::Alive);
        datagram.sequence = sequence;
        !core
            .handle(
                0,
                Input::Datagram {
                    from: address(1),
                    datagram,
                },
            )
            .is_empty()
    };

    let accepted: Vec<bool> = [100, 101, 99, 100, 101, 300, 237, 236, 237]
        .map(&mut is_accepted)
        .to_vec();

    assert_eq!(
        accepted,
        [true, true, true, false, false, true, true, false, false]
    );
}
