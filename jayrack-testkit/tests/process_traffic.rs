//! Requests on real processes under kills, freezes, silent connections, drains and planned stops.
mod support;

use std::time::{Duration, Instant};

use jayrack_testkit::{
    backend_standin::{BackendBehaviour, BackendStandin, Options},
    fleet::{Fleet, run::STATE_TIMEOUT},
    link::TcpLink,
    load::customer::{self, CustomerOutcome},
    log_standin::{LogBehaviour, Outage},
    observe,
    standin_process::ANY_PORT,
};
use rand_pcg::{
    Pcg64Mcg,
    rand_core::{Rng, SeedableRng},
};
use rstest::rstest;
use support::{ANSWER_TIMEOUT, book, book_answer, booking_fleet, runs_of, until_served};
use tokio::task::JoinSet;

/// Outcomes of one booking, over all its retries.
#[derive(Debug)]
struct BookingHistory {
    key: String,
    outcomes: Vec<CustomerOutcome>,
}

/// Books at one daemon and retries with the same key at the others until it is completed.
async fn book_with_retries(
    daemons: [std::net::SocketAddr; 3],
    number: usize,
    service_ms: u64,
) -> BookingHistory {
    const ATTEMPTS: usize = 6;
    let key = format!("booking-{number}");
    let mut outcomes = Vec::new();
    for attempt in 0..ATTEMPTS {
        let daemon = daemons[(number + attempt) % daemons.len()];
        let outcome = book(daemon, &key, service_ms).await;
        outcomes.push(outcome);
        if outcome == CustomerOutcome::Completed {
            break;
        }
    }
    BookingHistory { key, outcomes }
}

/// Checks the outcomes of each booking against the servers' own run counts.
async fn check_histories(fleet: &Fleet, histories: &[BookingHistory]) {
    for history in histories {
        let runs = runs_of(fleet, &history.key).await;
        assert!(runs <= 1, "ran {runs} times: {history:?}");
        let all_not_run = history
            .outcomes
            .iter()
            .all(|outcome| *outcome == CustomerOutcome::NotRun);
        assert!(!all_not_run || runs == 0, "it ran: {history:?}");
        if history.outcomes.contains(&CustomerOutcome::Completed) {
            assert_eq!(runs, 1, "{history:?}");
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    KillIngress,
    KillOwner,
    FreezeOwner,
    KillOwnerInLogOutage,
}

async fn inject_fault(fleet: &mut Fleet, fault: Fault) {
    const INGRESS: usize = 2;
    const OWNER: usize = 0;
    match fault {
        Fault::KillIngress => fleet.daemons[INGRESS].kill().unwrap(),
        Fault::KillOwner => fleet.daemons[OWNER].kill().unwrap(),
        Fault::FreezeOwner => fleet.daemons[OWNER].freeze().unwrap(),
        Fault::KillOwnerInLogOutage => {
            let behaviour = LogBehaviour {
                outage: Outage::Silent,
                ..LogBehaviour::default()
            };
            fleet.log.set_behaviour(&behaviour).await.unwrap();
            fleet.daemons[OWNER].kill().unwrap();
        }
    }
}

fn clear_fault(fleet: &mut Fleet, fault: Fault) {
    match fault {
        Fault::KillIngress => fleet.daemons[2].start().unwrap(),
        Fault::KillOwner | Fault::KillOwnerInLogOutage => fleet.daemons[0].start().unwrap(),
        Fault::FreezeOwner => fleet.daemons[0].thaw().unwrap(),
    }
}

#[rstest]
#[case(Fault::KillIngress, 1)]
#[case(Fault::KillOwner, 2)]
#[case(Fault::FreezeOwner, 3)]
#[case(Fault::KillOwnerInLogOutage, 4)]
#[tokio::test]
async fn booking_runs_at_most_once_under_fault(#[case] fault: Fault, #[case] seed: u64) {
    const BOOKINGS: usize = 60;
    let mut fleet = booking_fleet(3, &[0, 1], seed).await;
    for daemon in 0..3 {
        until_served(&fleet, daemon).await;
    }
    let callers = [0, 1, 2].map(|daemon| fleet.daemons[daemon].callers());
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut tasks = JoinSet::new();

    for number in 0..BOOKINGS {
        let service_ms = 20 + u64::from(random.next_u32() % 200);
        tasks.spawn(book_with_retries(callers, number, service_ms));
        if number == BOOKINGS / 3 {
            inject_fault(&mut fleet, fault).await;
        }
        if number == BOOKINGS * 2 / 3 {
            clear_fault(&mut fleet, fault);
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let histories = tasks.join_all().await;

    check_histories(&fleet, &histories).await;
    let completed = histories
        .iter()
        .filter(|history| history.outcomes.contains(&CustomerOutcome::Completed))
        .count();
    let unknown = histories
        .iter()
        .flat_map(|history| &history.outcomes)
        .filter(|outcome| **outcome == CustomerOutcome::Unknown)
        .count();
    println!("{fault:?}: {completed} of {BOOKINGS} completed, {unknown} answers unknown");
    fleet.close().await.unwrap();
}

#[tokio::test]
async fn concurrent_retries_run_once() {
    let fleet = booking_fleet(3, &[0, 1], 5).await;
    for daemon in 0..3 {
        until_served(&fleet, daemon).await;
    }
    let daemons = [0, 1, 2].map(|daemon| fleet.daemons[daemon].callers());
    let mut tasks = JoinSet::new();

    for number in 0..20 {
        tasks.spawn(async move {
            let key = format!("booking-{number}");
            let concurrent = tokio::join!(
                book(daemons[0], &key, 50),
                book(daemons[1], &key, 50),
                book(daemons[2], &key, 50),
            );
            let mut history = book_with_retries(daemons, number, 50).await;
            history
                .outcomes
                .splice(0..0, [concurrent.0, concurrent.1, concurrent.2]);
            history
        });
    }
    let histories = tasks.join_all().await;

    check_histories(&fleet, &histories).await;
    for history in &histories {
        assert!(
            history.outcomes.contains(&CustomerOutcome::Completed),
            "{history:?}"
        );
    }
    fleet.close().await.unwrap();
}

#[rstest]
#[case::owner(0)]
#[case::ingress(2)]
#[tokio::test]
async fn planned_stop_completes_requests_in_flight(#[case] stopped: usize) {
    const REQUESTS: usize = 6;
    let mut fleet = booking_fleet(3, &[0], 6).await;
    until_served(&fleet, 2).await;
    let ingress = fleet.daemons[2].callers();
    let mut tasks = JoinSet::new();
    for number in 0..REQUESTS {
        let key = format!("in-flight-{number}");
        tasks.spawn(async move { book(ingress, &key, 3_000).await });
    }
    observe::until(STATE_TIMEOUT, "all requests to run", async || {
        let counts = fleet.server_counts(0).await.ok()?;
        (counts.running == REQUESTS as u64).then_some(())
    })
    .await
    .unwrap();

    fleet.daemons[stopped].request_stop().unwrap();
    let outcomes = tasks.join_all().await;

    assert_eq!(outcomes, [CustomerOutcome::Completed; REQUESTS]);
    let status = fleet.daemons[stopped].wait_for_end().await.unwrap();
    assert!(status.success(), "{status}");
    fleet.close().await.unwrap();
}

#[tokio::test]
async fn draining_server_gets_no_new_work_after_5_s() {
    const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);
    let fleet = booking_fleet(3, &[0, 1], 7).await;
    until_served(&fleet, 2).await;
    let draining = BackendBehaviour {
        draining: true,
        ..BackendBehaviour::default()
    };
    let server = fleet.servers[0].standin().unwrap();
    server.set_behaviour(&draining).await.unwrap();

    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < DRAIN_TIMEOUT * 2 {
        number += 1;
        book(fleet.daemons[2].callers(), &format!("drain-{number}"), 1).await;
    }

    let counts = fleet.server_counts(0).await.unwrap();
    println!(
        "{} of {number} began while draining, the last after {} ms",
        counts.while_draining, counts.last_while_draining_ms
    );
    assert!(counts.last_while_draining_ms <= DRAIN_TIMEOUT.as_millis() as u64);
    fleet.close().await.unwrap();
}

#[tokio::test]
async fn silent_server_connection_is_detected_and_new_ones_work() {
    let fleet = booking_fleet(3, &[], 8).await;
    let mut options = Options {
        name: "bookings-behind-a-link".to_string(),
        service: "bookings".to_string(),
        listen: ANY_PORT,
        advertise: None,
        announce: None,
        callers: None,
        slots: 12,
        connections: 110,
        cold_start_ms: 0,
        behaviour: BackendBehaviour::default(),
        seed: 8,
    };
    let silent = BackendStandin::start(options.clone()).await.unwrap();
    let link = TcpLink::start(silent.address()).await.unwrap();
    options.advertise = Some(link.address());
    options.announce = Some(fleet.daemons[0].addresses.announce);
    options.listen = silent.address();
    silent.close().await;
    let server = BackendStandin::start(options).await.unwrap();
    until_served(&fleet, 2).await;
    link.silence_connections();

    let address = fleet.daemons[2].callers();
    let first = tokio::time::timeout(ANSWER_TIMEOUT, book(address, "silent-1", 1)).await;
    until_served(&fleet, 2).await;

    let runs = server.counts().by_key.get("silent-1").copied();
    let runs = runs.unwrap_or_default();
    assert!(runs <= 1, "ran {runs} times");
    match first {
        Ok(CustomerOutcome::NotRun) => assert_eq!(runs, 0),
        Ok(CustomerOutcome::Completed) => assert_eq!(runs, 1),
        outcome => println!("outcome {outcome:?}"),
    }
    server.close().await;
    link.close().await;
    fleet.close().await.unwrap();
}

#[tokio::test]
async fn large_answers_are_intact_and_match_their_requests() {
    let fleet = booking_fleet(3, &[0, 1], 9).await;
    until_served(&fleet, 2).await;
    let mut tasks = JoinSet::new();

    for number in 0..40 {
        let address = fleet.daemons[2].callers();
        tasks.spawn(async move {
            let id = format!("large-{number}");
            let mut request = support::booking(address, &id, number % 7);
            let bytes = (number * 50_000).into();
            request.headers_mut().insert("x-standin-bytes", bytes);
            let answer = jayrack_testkit::http_client::send(address, request, ANSWER_TIMEOUT).await;
            jayrack_testkit::load::customer::classify_answer(&id, &answer.unwrap())
        });
    }

    let outcomes = tasks.join_all().await;
    assert!(
        outcomes
            .iter()
            .all(|outcome| *outcome == CustomerOutcome::Completed),
        "{outcomes:?}"
    );
    fleet.close().await.unwrap();
}

#[tokio::test]
async fn full_outage_of_servers_keeps_attempts_within_the_retry_budget() {
    const REQUESTS: u64 = 100;
    let fleet = booking_fleet(3, &[0, 1], 10).await;
    until_served(&fleet, 2).await;
    let shedding = BackendBehaviour {
        shedding: true,
        ..BackendBehaviour::default()
    };
    for server in &fleet.servers {
        let standin = server.standin().unwrap();
        standin.set_behaviour(&shedding).await.unwrap();
    }

    let mut not_run = 0;
    for number in 0..REQUESTS {
        let answer = book_answer(fleet.daemons[2].callers(), &format!("shed-{number}"), 1).await;
        not_run += u64::from(answer.header("x-jayrack-outcome") == "not-run");
    }

    let mut shed = 0;
    for index in 0..fleet.servers.len() {
        shed += fleet.server_counts(index).await.unwrap().shed;
    }
    println!("{not_run} of {REQUESTS} not run, {shed} attempts at the servers");
    assert!(shed <= 2 * REQUESTS, "{shed} attempts");
    for number in 0..REQUESTS {
        assert_eq!(runs_of(&fleet, &format!("shed-{number}")).await, 0);
    }
    fleet.close().await.unwrap();
}

#[tokio::test]
async fn retry_after_not_run_is_never_reported_unknown() {
    const KEYS: usize = 10;
    const ATTEMPTS: usize = 20;
    let fleet = booking_fleet(3, &[0, 1], 11).await;
    until_served(&fleet, 2).await;
    for server in &fleet.servers {
        let draining = BackendBehaviour {
            draining: true,
            ..BackendBehaviour::default()
        };
        let standin = server.standin().unwrap();
        standin.set_behaviour(&draining).await.unwrap();
    }
    let address = fleet.daemons[2].callers();
    let mut tasks = JoinSet::new();

    for number in 0..KEYS {
        let key = format!("refused-{number}");
        tasks.spawn(async move {
            let mut outcomes = Vec::new();
            for _ in 0..ATTEMPTS {
                outcomes.push(book(address, &key, 1).await);
            }
            BookingHistory { key, outcomes }
        });
    }
    let histories = tasks.join_all().await;

    check_histories(&fleet, &histories).await;
    let was_reported_unknown =
        |history: &&BookingHistory| history.outcomes.contains(&CustomerOutcome::Unknown);
    let unknown: Vec<_> = histories.iter().filter(was_reported_unknown).collect();
    assert!(unknown.is_empty(), "{unknown:?}");
    fleet.close().await.unwrap();
}

#[tokio::test]
async fn first_bookings_of_a_new_fleet_complete_without_unknown_outcomes() {
    const KEYS: usize = 20;
    let fleet = booking_fleet(3, &[0, 1], 12).await;
    let address = fleet.daemons[2].callers();
    let mut tasks = JoinSet::new();

    for number in 0..KEYS {
        let key = format!("young-{number}");
        tasks.spawn(async move {
            let deadline = Instant::now() + STATE_TIMEOUT;
            loop {
                let answer = book_answer(address, &key, 1).await;
                let outcome = customer::classify_answer(&key, &answer);
                if outcome == CustomerOutcome::Unknown {
                    println!("{key} is unknown: {answer:?}");
                }
                if outcome != CustomerOutcome::NotRun || Instant::now() > deadline {
                    return outcome;
                }
            }
        });
    }
    let outcomes = tasks.join_all().await;

    if outcomes.contains(&CustomerOutcome::Unknown) {
        println!("{}", fleet.daemons[2].log_tail());
    }
    assert_eq!(outcomes, [CustomerOutcome::Completed; KEYS]);
    fleet.close().await.unwrap();
}
