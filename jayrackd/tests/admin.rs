//! Tests of the administration API's listener: each refusal has its own code and reaches no control state.
use std::net::SocketAddr;

use http_body_util::{BodyExt, Full};
use hyper::{Request, body::Bytes};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use jayrack_config::record::Role;
use jayrackd::{
    admin::{self, AdminCall, AdminCommand, ApiAnswer, csrf_token},
    settings::OperatorSettings,
};
use rstest::rstest;
use tokio::sync::mpsc;

const BODY_LIMIT_BYTES: usize = 512;
const PLAN: &str = r#"{"change":{"put":[{"type":"service","name":"bookings"}]}}"#;

struct ApiFixture {
    address: SocketAddr,
    calls: mpsc::Receiver<AdminCall>,
}

struct ApiReply {
    status: u16,
    code: u64,
}

fn operator(team: &str, role: Role) -> OperatorSettings {
    OperatorSettings {
        team: team.to_string(),
        token: format!("{team}-token"),
        role,
    }
}

async fn start() -> ApiFixture {
    let address = free_address();
    let (sender, calls) = mpsc::channel(8);
    let options = admin::Options {
        address,
        operators: vec![
            operator("bookings", Role::Operator),
            operator("readers", Role::Viewer),
        ],
        body_bytes: BODY_LIMIT_BYTES,
    };
    admin::serve(options, sender).await.unwrap();
    ApiFixture { address, calls }
}

fn free_address() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

async fn send(address: SocketAddr, line: &str, authorization: &str, body: String) -> ApiReply {
    let (method, path) = line.split_once(' ').unwrap();
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("authorization", authorization)
        .body(Full::new(Bytes::from(body)))
        .unwrap();
    let response = client.request(request).await.unwrap();
    let status = response.status().as_u16();
    let bytes = response.into_body().collect().await.unwrap().to_bytes();
    let body: serde_json::Value = serde_json::from_slice(&bytes).unwrap_or_default();
    ApiReply {
        status,
        code: body["code"].as_u64().unwrap_or_default(),
    }
}

#[rstest]
#[case("POST /v1/plans", "", PLAN, 401, 200)]
#[case("POST /v1/plans", "Bearer wrong", PLAN, 401, 201)]
#[case("POST /v1/plans", "Bearer readers-token", PLAN, 403, 215)]
#[case("POST /v1/plans", "Bearer bookings-token", "{", 400, 204)]
#[case("POST /v1/plans", "Bearer bookings-token", "{} {}", 400, 205)]
#[case(
    "POST /v1/plans",
    "Bearer bookings-token",
    r#"{"change":{},"extra":1}"#,
    400,
    205
)]
#[case(
    "POST /v1/plans",
    "Bearer bookings-token",
    r#"{"change":{"remove":["x"]}}"#,
    400,
    205
)]
#[case("GET /v1/nothing", "Bearer bookings-token", "", 404, 212)]
#[case("DELETE /v1/plans", "Bearer bookings-token", "", 405, 214)]
#[case("POST /v1/status", "Bearer bookings-token", "", 405, 214)]
#[case(
    "POST /report/plans/p1/confirm",
    "Bearer bookings-token",
    "check=0",
    401,
    201
)]
#[tokio::test]
async fn refusals_have_codes_and_reach_no_control_state(
    #[case] line: &str,
    #[case] authorization: &str,
    #[case] body: &str,
    #[case] status: u16,
    #[case] code: u64,
) {
    let mut api = start().await;

    let reply = send(api.address, line, authorization, body.to_string()).await;

    assert_eq!((reply.status, reply.code), (status, code));
    assert!(api.calls.try_recv().is_err());
}

#[tokio::test]
async fn oversized_body_is_refused() {
    let mut api = start().await;
    let body = " ".repeat(BODY_LIMIT_BYTES + 1);

    let reply = send(api.address, "POST /v1/plans", "Bearer bookings-token", body).await;

    assert_eq!((reply.status, reply.code), (413, 203));
    assert!(api.calls.try_recv().is_err());
}

#[tokio::test]
async fn valid_request_reaches_the_control_thread() {
    let mut api = start().await;
    let answering = tokio::spawn(async move {
        let call = api.calls.recv().await.unwrap();
        let is_proposal = matches!(call.command, AdminCommand::Propose(_));
        call.reply
            .send(ApiAnswer::success(201, serde_json::json!({})))
            .unwrap();
        (is_proposal, call.operator.unwrap().team)
    });

    let reply = send(
        api.address,
        "POST /v1/plans",
        "Bearer bookings-token",
        PLAN.to_string(),
    )
    .await;

    assert_eq!((reply.status, reply.code), (201, 0));
    assert_eq!(answering.await.unwrap(), (true, "bookings".to_string()));
}

#[tokio::test]
async fn report_page_form_confirms_plan_with_basic_credentials() {
    let mut api = start().await;
    let answering = tokio::spawn(async move {
        let call = api.calls.recv().await.unwrap();
        call.reply
            .send(ApiAnswer::success(200, serde_json::json!({})))
            .unwrap();
        call.command
    });
    let body = format!("check={}", csrf_token("bookings-token", "p1"));
    let basic = "Basic Ym9va2luZ3M6Ym9va2luZ3MtdG9rZW4=";

    let reply = send(api.address, "POST /report/plans/p1/confirm", basic, body).await;

    assert_eq!(reply.status, 303);
    assert_eq!(
        answering.await.unwrap(),
        AdminCommand::Confirm("p1".to_string())
    );
}
