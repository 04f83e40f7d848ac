//! Health, readiness, metrics and status over HTTP.

use std::sync::Arc;
use std::time::Duration;

use axum::extract::State;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use tanagerdeal_core::message::fleet::StatusReport;
use tokio::net::TcpListener;
use tokio::time::timeout;

use crate::caller::CallerContext;

/// Time that the core has to answer; a core that takes longer counts as not healthy.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves the admin pages until the process ends.
///
/// # Errors
///
/// Fails when the listener fails.
pub async fn serve(listener: TcpListener, context: Arc<CallerContext>) -> std::io::Result<()> {
    let router = Router::new()
        .route("/health", get(health))
        .route("/ready", get(ready))
        .route("/metrics", get(metrics))
        .route("/status", get(status))
        .with_state(context);
    axum::serve(listener, router).await
}

async fn report(context: &CallerContext) -> Option<StatusReport> {
    timeout(STATUS_TIMEOUT, context.driver.status()).await.ok().flatten()
}

async fn health(State(context): State<Arc<CallerContext>>) -> StatusCode {
    match report(&context).await {
        Some(_) => StatusCode::OK,
        None => StatusCode::SERVICE_UNAVAILABLE,
    }
}

async fn ready(State(context): State<Arc<CallerContext>>) -> StatusCode {
    match report(&context).await {
        Some(report) if report.ready => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

async fn status(State(context): State<Arc<CallerContext>>) -> Response {
    match report(&context).await {
        Some(report) => Json(report).into_response(),
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn metrics(State(context): State<Arc<CallerContext>>) -> Response {
    let report = report(&context).await;
    let counters = report.as_ref().map(|report| &report.counters);
    match context.metrics.export(counters, context.pools.counts()) {
        Ok(text) => ([(CONTENT_TYPE, prometheus::TEXT_FORMAT)], text).into_response(),
        Err(error) => {
            log::error!("admin: metrics could not be encoded: {error}");
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
    }
}
