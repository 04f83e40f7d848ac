//! HTTP pages for readiness and metrics.

use std::rc::Rc;

use axum::Router;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::response::{IntoResponse as _, Response};
use axum::routing::get;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

use super::context::HostContext;
use super::journal;

/// Most HTTP requests that wait for the task that answers them.
const MAX_PENDING_REQUESTS: usize = 16;

enum AdminRequest {
    Ready(oneshot::Sender<bool>),
    Metrics(oneshot::Sender<Option<Vec<u8>>>),
}

/// Serves the readiness and metrics pages until the process ends.
pub(super) async fn serve(host: Rc<HostContext>, listener: TcpListener) {
    let (requests, mut pending) = mpsc::channel(MAX_PENDING_REQUESTS);
    let (for_ready, for_metrics) = (requests.clone(), requests);
    let router = Router::new()
        .route("/ready", get(move || ready(for_ready)))
        .route("/metrics", get(move || metrics(for_metrics)));
    tokio::task::spawn_local(async move {
        if let Err(error) = axum::serve(listener, router).await {
            journal::event("admin", "failed", json!({ "reason": error.to_string() }));
        }
    });
    while let Some(request) = pending.recv().await {
        // The send fails only if the HTTP client has disconnected.
        let _ = match request {
            AdminRequest::Ready(responder) => responder.send(host.is_ready.get()).map_err(|_| ()),
            AdminRequest::Metrics(responder) => {
                responder.send(host.metrics.export().ok()).map_err(|_| ())
            }
        };
    }
}

async fn ready(requests: mpsc::Sender<AdminRequest>) -> StatusCode {
    let (responder, response) = oneshot::channel();
    let is_sent = requests.send(AdminRequest::Ready(responder)).await.is_ok();
    match is_sent && response.await.unwrap_or(false) {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}

async fn metrics(requests: mpsc::Sender<AdminRequest>) -> Response {
    let (responder, response) = oneshot::channel();
    let is_sent = requests.send(AdminRequest::Metrics(responder)).await.is_ok();
    match response.await {
        Ok(Some(text)) if is_sent => {
            ([(CONTENT_TYPE, prometheus::TEXT_FORMAT)], text).into_response()
        }
        _ => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}
