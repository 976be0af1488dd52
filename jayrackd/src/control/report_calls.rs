//! Gathers the burn report from the fleet.
//!
//! Each running daemon receives one request. At most [`MAX_CONCURRENT_CALLS`] requests run at once, and a
//! gathered report is reused for [`REPORT_CACHE_MS`], so that refreshing the page has a bounded cost.
use std::{net::SocketAddr, sync::Arc, time::Duration};

use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Request, body::Bytes, header};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use jayrack_burn::report::LocalReport;
use tokio::{sync::Semaphore, task::JoinSet};

/// Time for which a gathered report is reused, in milliseconds.
pub const REPORT_CACHE_MS: u64 = 10_000;

/// Maximum number of daemons that are called at once.
pub const MAX_CONCURRENT_CALLS: usize = 16;

/// Time limit for the answer of one daemon.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of the answer of one daemon, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

type HttpClient = Client<HttpConnector, Empty<Bytes>>;

/// A daemon whose report is requested.
#[derive(Debug, Clone)]
pub struct ReportSource {
    /// Data centre and address, as shown to operators.
    pub label: String,
    /// Address of its administration API.
    pub address: SocketAddr,
}

/// Reports gathered from the fleet.
#[derive(Debug, Clone, Default)]
pub struct GatheredReport {
    /// Reports of the daemons that answered.
    pub reports: Vec<LocalReport>,
    /// Labels of the daemons that did not answer, in ascending order.
    pub missing: Vec<String>,
}

/// Requests the reports of all `sources`, with `token` as bearer token.
pub async fn gather(sources: Vec<ReportSource>, token: &str) -> GatheredReport {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_CALLS));
    let mut calls = JoinSet::new();
    for source in sources {
        let permits = permits.clone();
        let client: HttpClient = client.clone();
        let token = token.to_string();
        calls.spawn(async move {
            let _permit = permits.acquire().await;
            let report = tokio::time::timeout(
                CALL_TIMEOUT,
                request_report(&client, source.address, &token),
            )
            .await;
            report.ok().flatten().ok_or(source.label)
        });
    }
    let mut gathered = GatheredReport::default();
    while let Some(result) = calls.join_next().await {
        match result {
            Ok(Ok(report)) => gathered.reports.push(report),
            Ok(Err(label)) => gathered.missing.push(label),
            Err(error) => log::warn!("report task failed: {error}"),
        }
    }
    gathered.missing.sort();
    gathered
}

async fn request_report(
    client: &HttpClient,
    address: SocketAddr,
    token: &str,
) -> Option<LocalReport> {
    let request = Request::get(format!("http://{address}/v1/report/local"))
        .header(header::AUTHORIZATION, format!("Bearer {token}"))
        .body(Empty::new())
        .ok()?;
    let response = client.request(request).await.ok()?;
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await
        .ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}
