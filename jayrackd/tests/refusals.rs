//! Requests that are refused with a code and never run, and the checks of the request framing.
mod support;

use std::time::Duration;

use jayrackd::{
    ingress::scan::{Options, RequestScanner},
    traffic::{Limits, Timeouts},
};
use proptest::prelude::*;
use rstest::rstest;
use support::{
    backend::{MARK_HEADER, pattern},
    block_on, caller,
    fleet::{Setup, start_pair},
};

#[rstest]
#[case::length_and_chunked(
    "POST /confirm HTTP/1.1\r\nhost: t\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"
)]
#[case::chunked_and_length(
    "POST /confirm HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n"
)]
#[case::two_lengths(
    "POST /confirm HTTP/1.1\r\nhost: t\r\ncontent-length: 0\r\ncontent-length: 0\r\n\r\n"
)]
#[case::length_list("POST /confirm HTTP/1.1\r\nhost: t\r\ncontent-length: 0, 0\r\n\r\n")]
#[case::signed_length("POST /confirm HTTP/1.1\r\nhost: t\r\ncontent-length: +0\r\n\r\n")]
#[case::chunked_twice(
    "POST /confirm HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n"
)]
#[case::coding_list(
    "POST /confirm HTTP/1.1\r\nhost: t\r\ntransfer-encoding: gzip, chunked\r\n\r\n"
)]
#[case::chunked_in_old_version(
    "POST /confirm HTTP/1.0\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n"
)]
#[case::folded_header("GET /confirm HTTP/1.1\r\nhost: t\r\nx-a: b\r\n c\r\n\r\n")]
#[case::space_before_colon("GET /confirm HTTP/1.1\r\nhost: t\r\ncontent-length : 5\r\n\r\n")]
#[case::no_colon("GET /confirm HTTP/1.1\r\nhost: t\r\nnothing\r\n\r\n")]
#[case::bare_line_feed("GET /confirm HTTP/1.1\nhost: t\n\n")]
#[case::bare_carriage_return("GET /confirm HTTP/1.1\r\nhost: t\r\nx-a: b\rc\r\n\r\n")]
#[case::null("GET /confirm HTTP/1.1\r\nhost: t\r\nx-a: \0\r\n\r\n")]
#[case::escape_in_target("GET /confirm\x1b HTTP/1.1\r\nhost: t\r\n\r\n")]
#[case::two_hosts("GET /confirm HTTP/1.1\r\nhost: t\r\nhost: u\r\n\r\n")]
#[case::no_host("GET /confirm HTTP/1.1\r\n\r\n")]
#[case::two_keys(
    "POST /confirm HTTP/1.1\r\nhost: t\r\nidempotency-key: a\r\nidempotency-key: b\r\n\r\n"
)]
#[case::bad_number(
    "POST /confirm HTTP/1.1\r\nhost: t\r\nx-jayrack-depth: deep\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
)]
#[case::connect("CONNECT t:80 HTTP/1.1\r\nhost: t\r\n\r\n")]
#[case::unknown_version("GET /confirm HTTP/3.0\r\nhost: t\r\n\r\n")]
#[case::other_protocol("\x16\x03\x01\x02\x00\x01\x00\x01")]
fn malformed_request_is_refused(#[case] request: &str) {
    block_on(async {
        let pair = start_pair(&Setup::default()).await;

        let answer = caller::raw(pair.ingress.callers(), request.as_bytes()).await;

        assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
        assert!(answer.contains("x-jayrack-code: 505\r\n"), "{answer}");
        assert!(
            answer.contains("x-jayrack-outcome: not-run\r\n"),
            "{answer}"
        );
        assert_eq!(pair.backend.started(), 0);
    });
}

#[test]
fn malformed_pipelined_request_is_refused_after_the_earlier_answer() {
    block_on(async {
        let pair = start_pair(&Setup::default()).await;
        let good = "GET /browse HTTP/1.1\r\nhost: t\r\nx-mark: m1\r\nx-sleep-ms: 50\r\n\r\n";
        let bad = "GET /browse HTTP/1.1\r\nhost: t\r\nhost: t\r\n\r\n";

        let request = format!("{good}{bad}");
        let answer = caller::raw(pair.ingress.callers(), request.as_bytes()).await;

        let answers: Vec<_> = answer.match_indices("HTTP/1.1 ").collect();
        assert_eq!(answers.len(), 2, "{answer}");
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        assert!(answer[answers[1].0..].starts_with("HTTP/1.1 400 "));
        assert_eq!(pair.backend.started(), 1);
    });
}

#[rstest]
#[case::extension("5;a=b\r\nhello\r\n0\r\n\r\n")]
#[case::bare_line_feed("5\nhello\r\n0\r\n\r\n")]
#[case::long_size("000000005\r\nhello\r\n0\r\n\r\n")]
#[case::short_chunk("4\r\nhello\r\n0\r\n\r\n")]
#[case::trailer("5\r\nhello\r\n0\r\nx-a: b\r\n\r\n")]
fn malformed_chunk_is_refused(#[case] chunks: &str) {
    let mut scanner = RequestScanner::new(Options {
        head_bytes: 1000,
        body_bytes: 1000,
    });
    let head = "POST / HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut checked = Vec::new();

    scanner.feed(head.as_bytes(), &mut checked).unwrap();
    let fed = scanner.feed(chunks.as_bytes(), &mut checked);

    assert_eq!(fed.map_err(|code| code.number()), Err(505));
}

#[test]
fn oversized_head_is_refused() {
    block_on(async {
        let pair = start_pair(&Setup::default()).await;
        let padding = "a".repeat(100_000);

        let request = format!("GET /browse HTTP/1.1\r\nhost: t\r\nx-a: {padding}\r\n\r\n");
        let answer = caller::raw(pair.ingress.callers(), request.as_bytes()).await;

        assert!(answer.contains("x-jayrack-code: 506\r\n"), "{answer}");
        assert_eq!(pair.backend.started(), 0);
    });
}

#[test]
fn oversized_body_is_refused_before_it_is_sent() {
    block_on(async {
        let setup = Setup {
            limits: Limits {
                body_bytes: 100_000,
                ..Limits::default()
            },
            ..Setup::default()
        };
        let pair = start_pair(&setup).await;

        let request = caller::post("/confirm").header(MARK_HEADER, "m1");
        let response = caller::call(pair.ingress.callers(), request, pattern("m1", 100_001)).await;

        assert_eq!((response.status, response.code), (413, 506));
        assert_eq!(response.outcome, "not-run");
        assert_eq!(pair.backend.started(), 0);
    });
}

#[test]
fn slow_head_is_refused() {
    block_on(async {
        let setup = Setup {
            timeouts: Timeouts {
                head: Duration::from_millis(100),
                ..Setup::default().timeouts
            },
            ..Setup::default()
        };
        let pair = start_pair(&setup).await;

        let answer = caller::raw(pair.ingress.callers(), b"GET /browse HTTP/1.1\r\nho").await;

        assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
        assert!(answer.contains("x-jayrack-code: 514\r\n"), "{answer}");
    });
}

#[test]
fn stalled_body_is_refused() {
    block_on(async {
        let setup = Setup {
            timeouts: Timeouts {
                body: Duration::from_millis(100),
                ..Setup::default().timeouts
            },
            ..Setup::default()
        };
        let pair = start_pair(&setup).await;

        let request = b"POST /confirm HTTP/1.1\r\nhost: t\r\ncontent-length: 9\r\n\r\nhalf";
        let answer = caller::raw(pair.ingress.callers(), request).await;

        assert!(answer.contains("x-jayrack-code: 515\r\n"), "{answer}");
        assert_eq!(pair.backend.started(), 0);
    });
}

#[test]
fn unknown_route_is_refused() {
    block_on(async {
        let pair = start_pair(&Setup::default()).await;

        let response = caller::call(pair.ingress.callers(), caller::get("/nowhere"), "").await;

        assert_eq!((response.status, response.code), (404, 500));
        assert_eq!(response.outcome, "not-run");
    });
}

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    block_on(async {
        let pair = start_pair(&Setup::default()).await;

        let request = caller::get("/browse")
            .header(MARK_HEADER, "m1")
            .header("connection", "x-secret, keep-alive")
            .header("x-secret", "1")
            .header("te", "trailers")
            .header("upgrade", "h2c")
            .header("x-kept", "1");
        let response = caller::call(pair.ingress.callers(), request, "").await;

        let headers = pair.backend.seen("m1").headers;
        let has = |name: &str| headers.iter().any(|header| header == name);
        assert_eq!(response.code, 0);
        assert!(has("x-kept") && has("host") && has("x-jayrack-request-id"));
        assert!(!has("x-secret") && !has("te") && !has("upgrade") && !has("connection"));
    });
}

proptest! {
    #[test]
    fn scanner_gives_the_same_result_for_any_split(splits in prop::collection::vec(1_usize..40, 1..40)) {
        let text = "POST / HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n\
            5\r\nhello\r\n1f\r\nabcdefghijklmnopqrstuvwxyzabcde\r\n0\r\n\r\n\
            POST / HTTP/1.1\r\nhost: t\r\ncontent-length: 3\r\n\r\nabcGET / HTTP/1.1\r\nhost: t\r\n\r\n";
        let mut scanner = RequestScanner::new(Options { head_bytes: 1000, body_bytes: 1000 });
        let mut checked = Vec::new();
        let mut rest = text.as_bytes();

        for split in splits.iter().cycle() {
            let (part, later) = rest.split_at((*split).min(rest.len()));
            scanner.feed(part, &mut checked).unwrap();
            rest = later;
            if rest.is_empty() {
                break;
            }
        }

        prop_assert_eq!(scanner.heads(), 3);
        prop_assert_eq!(&checked[..], text.as_bytes());
    }
}
