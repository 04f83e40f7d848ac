//! Readiness and metrics over HTTP.

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

/// Questions that wait for the host's tasks.
const MAX_QUESTIONS: usize = 16;

enum AdminQuestion {
    Ready(oneshot::Sender<bool>),
    Metrics(oneshot::Sender<Option<Vec<u8>>>),
}

/// Serves the admin pages until the process ends.
pub(super) async fn serve(host: Rc<HostContext>, listener: TcpListener) {
    let (questions, mut asked) = mpsc::channel(MAX_QUESTIONS);
    let (for_ready, for_metrics) = (questions.clone(), questions);
    let router = Router::new()
        .route("/ready", get(move || ready(for_ready)))
        .route("/metrics", get(move || metrics(for_metrics)));
    tokio::task::spawn_local(async move {
        if let Err(error) = axum::serve(listener, router).await {
            journal::event("admin", "failed", json!({ "reason": error.to_string() }));
        }
    });
    while let Some(question) = asked.recv().await {
        // A client that has gone away needs no answer.
        let _ = match question {
            AdminQuestion::Ready(answer) => answer.send(host.is_ready.get()).map_err(|_| ()),
            AdminQuestion::Metrics(answer) => {
                answer.send(host.metrics.export().ok()).map_err(|_| ())
            }
        };
    }
}

async fn ready(questions: mpsc::Sender<AdminQuestion>) -> StatusCode {
    let (answer, answered) = oneshot::channel();
    let is_asked = questions.send(AdminQuestion::Ready(answer)).await.is_ok();
    match is_asked && answered.await.unwrap_or(false) {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}

async fn metrics(questions: mpsc::Sender<AdminQuestion>) -> Response {
    let (answer, answered) = oneshot::channel();
    let is_asked = questions.send(AdminQuestion::Metrics(answer)).await.is_ok();
    match answered.await {
        Ok(Some(text)) if is_asked => {
            ([(CONTENT_TYPE, prometheus::TEXT_FORMAT)], text).into_response()
        }
        _ => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}
