//! Requests forwarded from a caller to a backend server, and the responses.
mod support;

use support::{
    backend::{ANSWER_HEADER, MARK_HEADER, STATUS_HEADER, pattern},
    block_on, caller,
    fleet::{CLOCK_START_MS, Setup, start_pair},
};

#[test]
fn request_is_served_by_a_server_behind_another_daemon() {
    block_on(async {
        let pair = start_pair(&Setup::default()).await;

        let request = caller::post("/confirm?slot=7").header(MARK_HEADER, "m1");
        let response = caller::call(pair.ingress.callers(), request, "slot 7").await;

        assert_eq!((response.status, response.code), (200, 0));
        assert_eq!(
            (response.outcome.as_str(), &response.body[..]),
            ("done", &b"slot 7"[..])
        );
        assert_eq!(pair.backend.seen("m1").completed, 1);
        pair.ingress.handle.close().await;
        pair.owner.handle.close().await;
    });
}

#[test]
fn request_is_served_by_the_server_beside_the_daemon() {
    block_on(async {
        let pair = start_pair(&Setup::default()).await;

        let request = caller::get("/browse").header(MARK_HEADER, "m1");
        let response = caller::call(pair.owner.callers(), request, "").await;

        assert_eq!(
            (response.status, response.code, response.mark.as_str()),
            (200, 0, "m1")
        );
    });
}

#[test]
fn large_bodies_arrive_complete_in_both_directions() {
    block_on(async {
        let pair = start_pair(&Setup::default()).await;
        let body = pattern("up", 3_000_000);

        let echo = caller::post("/confirm").header(MARK_HEADER, "m1");
        let echoed = caller::call(pair.ingress.callers(), echo, body.clone()).await;
        let download = caller::get("/browse")
            .header(MARK_HEADER, "m2")
            .header(ANSWER_HEADER, "5000000");
        let downloaded = caller::call(pair.ingress.callers(), download, "").await;

        assert!(echoed.body == body);
        assert!(downloaded.body == pattern("m2", 5_000_000));
    });
}

#[test]
fn server_errors_count_against_the_objective() {
    block_on(async {
        let pair = start_pair(&Setup::default()).await;
        let daemon = &pair.ingress;

        for status in ["200", "404", "500"] {
            let request = caller::get("/browse").header(STATUS_HEADER, status);
            caller::call(daemon.callers(), request, "").await;
        }

        let report = daemon.shared.lock_burn().report(CLOCK_START_MS + 60_000);
        let count = report.rows[0].counts[0];
        assert_eq!((count.good, count.total), (2, 3));
    });
}
