//! QUIC between daemons: authentication, malformed datagrams, and configuration calls.
mod support;

use jayrack_protocol::sync::{PullReply, PullRequest, PushReply, PushRequest};
use jayrackd::transport::{SyncReply, SyncRequest};
use support::{
    backend::{Backend, MARK_HEADER},
    block_on, caller,
    certificates::Authority,
    fleet::{Daemon, Setup, announce, publish, server_entry},
};

/// Sends one request through an ingress whose certificates are `tls.0` to an owner with `tls.1`.
async fn call_between(
    ingress: jayrackd::transport::TlsOptions,
    owner: jayrackd::transport::TlsOptions,
) -> (caller::CallerResponse, usize) {
    let setup = Setup::default();
    let ingress = Daemon::start("a", ingress, &setup).await;
    let owner = Daemon::start("b", owner, &setup).await;
    let backend = Backend::start().await;
    announce(&owner, "s1", &backend);
    let entry = server_entry("s1", &owner, owner.handle.forward_address());
    publish(&[&ingress, &owner], &[entry]);
    let request = caller::post("/confirm").header(MARK_HEADER, "m1");
    let response = caller::call(ingress.callers(), request, "").await;
    (response, backend.started())
}

#[test]
fn ingress_with_an_untrusted_certificate_is_refused() {
    block_on(async {
        let fleet = Authority::new();
        let stranger = Authority::new();

        // The ingress trusts the fleet's authority, but the fleet does not trust the ingress's.
        let (response, started) =
            call_between(stranger.tls_options(&[&fleet]), fleet.tls_options(&[])).await;

        assert_eq!(response.outcome, "not-run");
        assert_eq!(started, 0);
    });
}

#[test]
fn owner_with_an_untrusted_certificate_gets_no_request() {
    block_on(async {
        let fleet = Authority::new();
        let impostor = Authority::new();

        let (response, started) =
            call_between(fleet.tls_options(&[]), impostor.tls_options(&[&fleet])).await;

        assert_eq!((response.code, response.outcome.as_str()), (507, "not-run"));
        assert_eq!(started, 0);
    });
}

#[test]
fn two_authorities_are_valid_during_a_rotation() {
    block_on(async {
        let old = Authority::new();
        let new = Authority::new();

        let (response, _) = call_between(old.tls_options(&[&new]), new.tls_options(&[&old])).await;

        assert_eq!(response.code, 0);
    });
}

#[test]
fn malformed_datagrams_do_not_disturb_requests() {
    block_on(async {
        let pair = support::fleet::start_pair(&Setup::default()).await;
        let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();

        for length in 0..1_400_usize {
            let datagram: Vec<u8> = (0..length).map(|byte| (byte * length) as u8).collect();
            let target = pair.owner.handle.forward_address();
            socket.send_to(&datagram, target).await.unwrap();
        }
        let request = caller::post("/confirm").header(MARK_HEADER, "m1");
        let response = caller::call(pair.ingress.callers(), request, "").await;

        assert_eq!(response.code, 0);
        assert_eq!(pair.backend.started(), 1);
    });
}

#[test]
fn pulls_and_pushes_reach_the_control_thread() {
    block_on(async {
        let mut pair = support::fleet::start_pair(&Setup::default()).await;
        let peers = pair.ingress.handle.peers();
        let target = pair.owner.handle.forward_address();
        let serving = tokio::spawn(async move {
            for _ in 0..2 {
                let call = pair.owner.sync_calls.recv().await.unwrap();
                let reply = match call.request {
                    SyncRequest::Pull(request) => SyncReply::Pull(PullReply {
                        next_offset: request.from + 1,
                        ..PullReply::default()
                    }),
                    SyncRequest::Push(request) => SyncReply::Push(PushReply {
                        next_offset: u64::from(request.hops),
                    }),
                };
                call.reply.send(reply).unwrap();
            }
            pair.owner
        });

        let pull = PullRequest {
            from: 41,
            ..PullRequest::default()
        };
        let pulled = peers.pull(target, pull).await.unwrap();
        let push = PushRequest {
            hops: 7,
            ..PushRequest::default()
        };
        let pushed = peers.push(target, push).await.unwrap();

        assert_eq!((pulled.next_offset, pushed.next_offset), (42, 7));
        serving.await.unwrap();
    });
}
