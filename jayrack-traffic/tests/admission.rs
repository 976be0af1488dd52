//! Dispatch order, reserved shares and refusals of admission.
mod support {
    pub mod reference_queue;
    pub mod seeded;
}

use jayrack_protocol::ResultCode;
use jayrack_traffic::{
    AdmissionQueue,
    admission::{self, Decision, Options},
    class::request_id,
};
use proptest::prelude::*;
use rstest::rstest;
use support::{
    reference_queue::{ReferenceQueue, class},
    seeded::seeded,
};

const SERVICE_US: u64 = 1_000;

fn single_slot() -> AdmissionQueue {
    AdmissionQueue::new(Options {
        slots: 1,
        adaptive: false,
        ..Options::default()
    })
}

proptest! {
    #![proptest_config(seeded(100))]

    #[test]
    fn dispatch_order_matches_the_reference_queue(
        reserved_share_percents in prop::array::uniform3(0u8..30),
        steps in prop::collection::vec((0u8..3, 0u8..2, 0u8..3, 0u32..2, any::<bool>()), 1..120),
    ) {
        let mut queue = single_slot();
        let mut reference = ReferenceQueue::new();
        let mut running = None;

        for (number, (rank, kind, customer, depth, finishes)) in steps.into_iter().enumerate() {
            let id = request_id(0, number as u128);
            let class = class(rank, reserved_share_percents[usize::from(rank)], kind, customer, depth);
            reference.offer(id, class.clone());
            let mut decisions = queue.offer(0, id, class);
            if running.is_none() {
                running = reference.take();
                prop_assert_eq!(std::mem::take(&mut decisions), vec![Decision::Dispatch(running.unwrap())]);
            }
            prop_assert_eq!(decisions, vec![]);
            if finishes && let Some(id) = running {
                let decisions = queue.finished(0, id, SERVICE_US, admission::Result::Ok);
                running = reference.take();
                let expected: Vec<Decision> = running.into_iter().map(Decision::Dispatch).collect();
                prop_assert_eq!(decisions, expected);
            }
        }
    }

    #[test]
    fn every_waiting_rank_gets_its_reserved_share_and_no_more(reserved_share_percents in prop::array::uniform3(0u8..30), slots in 1u32..8) {
        let options = Options { slots, adaptive: false, max_queued: 10_000, ..Options::default() };
        let mut queue = AdmissionQueue::new(options);
        let mut running = std::collections::VecDeque::new();
        let mut served = [0u64; 3];

        for number in 0..3_000u64 {
            let rank = (number % 3) as u8;
            let id = request_id(u64::from(rank), u128::from(number));
            let reserved_share_percent = reserved_share_percents[usize::from(rank)];
            collect(&mut running, &queue.offer(0, id, class(rank, reserved_share_percent, 0, 0, 0)));
            if rank == 2 && number >= 300 && let Some(id) = running.pop_front() {
                served[(id >> 80) as usize] += 1;
                let id = jayrack_protocol::RequestId(id);
                collect(&mut running, &queue.finished(0, id, SERVICE_US, admission::Result::Ok));
            }
        }

        let total: u64 = served.iter().sum();
        for rank in 0..3 {
            let reserved = total * u64::from(reserved_share_percents[rank]) / 100;
            prop_assert!(served[rank] + u64::from(slots) >= reserved, "{:?} of {:?}", served, reserved_share_percents);
            let most = reserved + u64::from(slots) + 1;
            prop_assert!(rank == 0 || served[rank] <= most, "{:?} of {:?}", served, reserved_share_percents);
        }
    }
}

fn collect(running: &mut std::collections::VecDeque<u128>, decisions: &[Decision]) {
    for decision in decisions {
        if let Decision::Dispatch(id) = decision {
            running.push_back(id.0);
        }
    }
}

#[test]
fn requests_that_cannot_meet_their_deadline_are_refused_before_they_run() {
    let mut queue = single_slot();
    let (first, second, late) = (request_id(0, 1), request_id(0, 2), request_id(0, 3));
    queue.offer(0, first, class(0, 0, 0, 0, 0));
    queue.offer(0, second, class(0, 0, 0, 0, 0));

    let mut expired = class(0, 0, 0, 0, 0);
    expired.deadline_ms = 0;
    let on_arrival = queue.offer(0, late, expired);
    let after_waiting = queue.tick(60_000);

    assert_eq!(
        on_arrival,
        [Decision::Refuse(late, ResultCode::DeadlinePassed)]
    );
    assert_eq!(
        after_waiting,
        [Decision::Refuse(second, ResultCode::DeadlinePassed)]
    );
}

#[test]
fn a_draining_server_takes_nothing_and_refuses_what_waits() {
    let mut queue = single_slot();
    let (first, second, third) = (request_id(0, 1), request_id(0, 2), request_id(0, 3));
    queue.offer(0, first, class(0, 0, 0, 0, 0));
    queue.offer(0, second, class(0, 0, 0, 0, 0));

    queue.set_draining(true);
    let waiting = queue.tick(1);
    let new = queue.offer(1, third, class(0, 0, 0, 0, 0));
    let last = queue.finished(2, first, SERVICE_US, admission::Result::Ok);

    assert_eq!(waiting, [Decision::Refuse(second, ResultCode::Draining)]);
    assert_eq!(new, [Decision::Refuse(third, ResultCode::Draining)]);
    assert_eq!(last, []);
}

#[test]
fn a_full_queue_drops_the_least_urgent() {
    let mut queue = AdmissionQueue::new(Options {
        slots: 1,
        max_queued: 2,
        ..Options::default()
    });
    queue.offer(0, request_id(0, 1), class(0, 0, 0, 0, 0));
    queue.offer(0, request_id(0, 2), class(2, 0, 0, 0, 0));
    queue.offer(0, request_id(0, 3), class(1, 0, 0, 0, 0));

    let decisions = queue.offer(0, request_id(0, 4), class(0, 0, 0, 0, 0));

    assert_eq!(
        decisions,
        [Decision::Refuse(request_id(0, 2), ResultCode::Shed)]
    );
}

#[test]
fn a_cancelled_request_is_never_dispatched() {
    let mut queue = single_slot();
    let (first, second) = (request_id(0, 1), request_id(0, 2));
    queue.offer(0, first, class(0, 0, 0, 0, 0));
    queue.offer(0, second, class(0, 0, 0, 0, 0));

    let cancelled = queue.cancel(0, second);
    let after = queue.finished(0, first, SERVICE_US, admission::Result::Ok);

    assert_eq!(cancelled, [Decision::Refuse(second, ResultCode::Cancelled)]);
    assert_eq!(after, []);
}

#[rstest]
#[case::refusing_server(admission::Result::ServerShed, 1_000, 1)]
#[case::slow_server(admission::Result::Ok, 1_000_000, 6)]
#[case::steady_server(admission::Result::Ok, 1_000, 12)]
fn slots_adapt_to_refusals_and_service_times(
    #[case] result: admission::Result,
    #[case] service_us: u64,
    #[case] slots: u32,
) {
    let mut queue = AdmissionQueue::new(Options::default());

    for number in 0..200u64 {
        let id = request_id(0, u128::from(number));
        let is_warm = number < 20;
        queue.offer(number * 100, id, class(0, 0, 0, 0, 0));
        match is_warm {
            true => queue.finished(number * 100, id, SERVICE_US, admission::Result::Ok),
            false => queue.finished(number * 100, id, service_us, result),
        };
    }

    assert_eq!(queue.load().slots, slots);
}
