//! Guards against overload of a narrow link by more large answers than it can carry, beside small lookups.
//!
//! Lookups need the unused capacity of the link; downloads that can't be sent in time are refused at once.
use jayrack_mesh::link::{CallerLocation, DEFAULT_LARGE_ANSWER_PERCENT, LinkMeter};

/// Rate of the slowest links of hosts, in megabits per second.
const LINK_MBPS: f64 = 10.5;
/// Size of a download, in bytes.
const DOWNLOAD_BYTES: u64 = 90_000;
/// Time between two downloads, in milliseconds: a third more downloads than the link can carry.
const INTERVAL_MS: u64 = 50;
/// Target latency of a download without its service time, in milliseconds.
const LIMIT_MS: u64 = 1_100;

/// Rate of the link.
fn bytes_per_ms() -> u64 {
    (LINK_MBPS * 125.0) as u64
}

fn meter() -> LinkMeter {
    let mut meter = LinkMeter::new(LINK_MBPS);
    meter.observe("download", DOWNLOAD_BYTES);
    meter.observe("lookup", 1_000);
    meter
}

/// Simulates 20 s; returns the longest time to send an admitted download, and the numbers admitted and refused.
fn simulate(meter: &mut LinkMeter) -> (u64, u64, u64) {
    let bytes_per_ms = bytes_per_ms();
    let mut queue = std::collections::VecDeque::new();
    let (mut longest_ms, mut admitted, mut refused) = (0, 0, 0);
    for now_ms in 0..20_000_u64 {
        if now_ms % INTERVAL_MS == 0 {
            match meter.reserve("download", LIMIT_MS, CallerLocation::SameDataCentre) {
                Ok(reservation) => {
                    admitted += 1;
                    queue.push_back((now_ms, DOWNLOAD_BYTES, reservation));
                }
                Err(_) => refused += 1,
            }
        }
        if let Some((_, left, _)) = queue.front_mut() {
            *left = left.saturating_sub(bytes_per_ms);
        }
        if queue.front().is_some_and(|(_, left, _)| *left == 0) {
            let (arrived_ms, _, reservation) = queue.pop_front().expect("the front is there");
            longest_ms = longest_ms.max(now_ms - arrived_ms);
            meter.release(reservation);
        }
    }
    (longest_ms, admitted, refused)
}

#[test]
fn admitted_answers_are_sent_in_time() {
    let (longest_ms, admitted, refused) = simulate(&mut meter());

    assert!(longest_ms <= LIMIT_MS, "{longest_ms} ms");
    assert!(refused > 0);
    // Nine tenths of the share of large answers are used.
    let share_bytes = 20_000 * bytes_per_ms() * DEFAULT_LARGE_ANSWER_PERCENT / 100;
    assert!(
        admitted * DOWNLOAD_BYTES >= share_bytes * 9 / 10,
        "{admitted}"
    );
}

#[test]
fn small_answers_are_never_refused_for_the_link() {
    let mut meter = meter();
    while meter
        .reserve("download", LIMIT_MS, CallerLocation::SameDataCentre)
        .is_ok()
    {}

    assert!(meter.reserve("lookup", 0, CallerLocation::Remote).is_ok());
}

#[test]
fn an_idle_link_admits_a_download_of_any_duration() {
    let mut meter = meter();

    assert!(
        meter
            .reserve("download", 1, CallerLocation::SameDataCentre)
            .is_ok()
    );
    assert!(
        meter
            .reserve("download", 1, CallerLocation::SameDataCentre)
            .is_err()
    );
}

#[test]
fn releasing_a_reservation_makes_room() {
    let mut meter = meter();
    let reservation = meter
        .reserve("download", 1, CallerLocation::SameDataCentre)
        .expect("the link is free");

    meter.release(reservation);

    assert!(
        meter
            .reserve("download", 1, CallerLocation::SameDataCentre)
            .is_ok()
    );
}

/// Each data centre requests more downloads than its own hosts can carry, so that requests spill over to all hosts.
#[test]
fn callers_of_the_same_data_centre_get_more_of_the_link_than_remote_ones() {
    let mut meter = meter();
    let mut remote = 0;
    while meter
        .reserve("download", LIMIT_MS, CallerLocation::Remote)
        .is_ok()
    {
        remote += 1;
    }

    let mut same_data_centre = 0;
    while meter
        .reserve("download", LIMIT_MS, CallerLocation::SameDataCentre)
        .is_ok()
    {
        same_data_centre += 1;
    }

    assert!(remote > 1, "the link would be idle between two downloads");
    assert!(
        same_data_centre > remote,
        "{same_data_centre} of the same data centre and {remote} remote ones"
    );
}

/// Records `bytes` of other messages in each millisecond of two seconds.
fn record_others(meter: &mut LinkMeter, bytes: u64) {
    for now_ms in 0..2_000 {
        meter.record_other(now_ms, bytes);
    }
}

/// Callers on a host with a narrow link flood it with small answers.
#[test]
fn large_answers_leave_room_for_small_ones() {
    let (mut calm, mut flooded) = (meter(), meter());
    record_others(&mut calm, bytes_per_ms() / 50);
    record_others(&mut flooded, bytes_per_ms() / 4);

    let sending_ms = |meter: &LinkMeter| meter.sending_ms(DOWNLOAD_BYTES);
    let link_percent = |ms: u64| DOWNLOAD_BYTES * 100 / (ms * bytes_per_ms());

    assert!(
        link_percent(sending_ms(&calm)) >= DEFAULT_LARGE_ANSWER_PERCENT,
        "less than before other traffic was measured"
    );
    assert!(link_percent(sending_ms(&calm)) < 100);
    assert!(
        link_percent(sending_ms(&flooded)) <= 75,
        "a quarter is used by other traffic"
    );
}

#[test]
fn large_answers_keep_half_of_the_link_when_small_ones_fill_it() {
    let mut meter = meter();
    record_others(&mut meter, 2 * bytes_per_ms());

    let sending_ms = meter.sending_ms(DOWNLOAD_BYTES);

    assert!(
        sending_ms <= 2 * DOWNLOAD_BYTES / bytes_per_ms() + 1,
        "{sending_ms}"
    );
}
