//! HTTP listener for announcements of backend servers.
use std::net::SocketAddr;

use tokio::sync::{mpsc, oneshot};
use warp::{Filter, Reply, http::StatusCode};

use jayrack_protocol::ResultCode;

use super::ServerAnnouncement;

const MAX_BODY_BYTES: usize = 4_096;

/// One announcement on its way to the registry.
#[derive(Debug)]
pub struct AnnounceCall {
    /// Announcement of the backend server.
    pub announcement: ServerAnnouncement,
    /// Receives the registry's answer.
    pub reply: oneshot::Sender<Result<(), super::Error>>,
}

/// Serves `POST /v1/announce` at `address` until the task is aborted.
pub async fn serve(address: SocketAddr, calls: mpsc::Sender<AnnounceCall>) -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::bind(address).await?;
    let filter = warp::path!("v1" / "announce")
        .and(warp::post())
        .and(warp::body::content_length_limit(MAX_BODY_BYTES as u64))
        .and(warp::body::bytes())
        .then(move |body: bytes::Bytes| announce(calls.clone(), body));
    tokio::task::spawn(warp::serve(filter).incoming(listener).run());
    Ok(())
}

async fn announce(calls: mpsc::Sender<AnnounceCall>, body: bytes::Bytes) -> warp::reply::Response {
    let announcement = match serde_json::from_slice(&body) {
        Ok(announcement) => announcement,
        Err(error) => return refusal(&error.to_string()),
    };
    let (reply, answer) = oneshot::channel();
    let call = AnnounceCall {
        announcement,
        reply,
    };
    if calls.send(call).await.is_err() {
        return refusal("the daemon stops");
    }
    match answer.await {
        Ok(Ok(())) => warp::reply::json(&serde_json::json!({"code": 0})).into_response(),
        Ok(Err(error)) => refusal(&error.to_string()),
        Err(_) => refusal("the daemon stops"),
    }
}

fn refusal(message: &str) -> warp::reply::Response {
    let code = ResultCode::AnnouncementInvalid.number();
    let body = warp::reply::json(&serde_json::json!({"code": code, "message": message}));
    warp::reply::with_status(body, StatusCode::BAD_REQUEST).into_response()
}
