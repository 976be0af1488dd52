//! HTTP listener of the administration API: checks tokens, limits and paths, and passes commands to the
//! control thread.
//!
//! Every refusal has a result code, as `{"code", "name", "message", "reasons"}`, and changes nothing.
mod answer;
mod identity;
mod route;

use std::{net::SocketAddr, sync::Arc};

use bytes::{Buf, BytesMut};
use futures_core::Stream;
use jayrack_protocol::ResultCode;
use tokio::sync::{mpsc, oneshot};
use warp::{Filter, reply::Response};

pub use answer::ApiAnswer;
pub use identity::{OperatorIdentity, csrf_token};
pub use route::{AdminCommand, PlanRequest};

use crate::settings::OperatorSettings;

/// Lowest HTTP status of a refusal.
const BAD_REQUEST: u16 = 400;

/// One administration request on its way to the control thread.
#[derive(Debug)]
pub struct AdminCall {
    /// Sender of the request; `None` for paths that need no token.
    pub operator: Option<OperatorIdentity>,
    /// Command to execute.
    pub command: AdminCommand,
    /// Receives the answer.
    pub reply: oneshot::Sender<ApiAnswer>,
}

/// Settings of the listener.
#[derive(Debug)]
pub struct Options {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Tokens of the teams.
    pub operators: Vec<OperatorSettings>,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
}

/// Serves the administration API until the runtime ends.
pub async fn serve(options: Options, calls: mpsc::Sender<AdminCall>) -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::bind(options.address).await?;
    let options = Arc::new(options);
    let filter = warp::method()
        .and(warp::path::full())
        .and(warp::header::optional::<String>("authorization"))
        .and(warp::body::stream())
        .then(move |method, path: warp::path::FullPath, token, body| {
            let head = RequestHead {
                method,
                path: path.as_str().to_string(),
                token,
            };
            handle(options.clone(), calls.clone(), head, body)
        });
    tokio::task::spawn(warp::serve(filter).incoming(listener).run());
    Ok(())
}

struct RequestHead {
    method: warp::http::Method,
    path: String,
    token: Option<String>,
}

async fn handle<S, B>(
    options: Arc<Options>,
    calls: mpsc::Sender<AdminCall>,
    head: RequestHead,
    body: S,
) -> Response
where
    S: Stream<Item = Result<B, warp::Error>>,
    B: Buf,
{
    let answer = match authorize(&options, &head, body).await {
        Ok((operator, command)) => call_control(calls, operator, command).await,
        Err(refusal) => refusal,
    };
    let answer = match answer {
        ApiAnswer::Json { status, .. } if route::is_form(&head.path) && status < BAD_REQUEST => {
            ApiAnswer::SeeOther {
                location: "/report",
            }
        }
        answer => answer,
    };
    answer.into_response()
}

async fn authorize<S, B>(
    options: &Options,
    head: &RequestHead,
    body: S,
) -> Result<(Option<OperatorIdentity>, AdminCommand), ApiAnswer>
where
    S: Stream<Item = Result<B, warp::Error>>,
    B: Buf,
{
    if let Some(command) = route::public_command(&head.method, &head.path) {
        return Ok((None, command));
    }
    let operator = identity::authenticate(&options.operators, head.token.as_deref())?;
    let target = route::target_of(&head.method, &head.path)?;
    route::check_role(&target, operator.role)?;
    let body = read_body(body, options.body_bytes).await?;
    let command = route::command_of(target, &operator, &body)?;
    Ok((Some(operator), command))
}

async fn read_body<S, B>(body: S, limit: usize) -> Result<Vec<u8>, ApiAnswer>
where
    S: Stream<Item = Result<B, warp::Error>>,
    B: Buf,
{
    let mut body = std::pin::pin!(body);
    let mut bytes = BytesMut::new();
    while let Some(chunk) = std::future::poll_fn(|context| body.as_mut().poll_next(context)).await {
        let Ok(mut chunk) = chunk else {
            return Err(ApiAnswer::refusal(ResultCode::JsonMalformed));
        };
        if bytes.len() + chunk.remaining() > limit {
            return Err(ApiAnswer::refusal(ResultCode::BodyTooLarge));
        }
        bytes.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
    }
    Ok(bytes.to_vec())
}

async fn call_control(
    calls: mpsc::Sender<AdminCall>,
    operator: Option<OperatorIdentity>,
    command: AdminCommand,
) -> ApiAnswer {
    let (reply, answer) = oneshot::channel();
    let call = AdminCall {
        operator,
        command,
        reply,
    };
    if calls.send(call).await.is_err() {
        return ApiAnswer::refusal(ResultCode::NotReady);
    }
    answer
        .await
        .unwrap_or_else(|_| ApiAnswer::refusal(ResultCode::NotReady))
}
