//! The member API and the control API, over HTTP.

use std::sync::Arc;
use std::time::Duration;

use axum::extract::{Query, Request, State};
use axum::http::StatusCode;
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse as _, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde_json::Value;
use tanagerdeal_wire::member::{FollowRequest, LogPosition, MemberStatus, TermReply, TermRequest};

use super::Member;
use super::recorder::{SearchReply, SearchRequest};
use super::state::{Execution, MemberState};
use super::table::Row;
use crate::control::merge_fields;

/// Longest time for which a request for the log waits for a new entry.
const LOG_WAIT: Duration = Duration::from_millis(100);

#[derive(serde::Deserialize)]
struct LogQuery {
    after: u64,
    term: u64,
}

#[derive(serde::Deserialize)]
struct RowsQuery {
    table: String,
}

#[derive(serde::Deserialize)]
struct ExecutionsQuery {
    #[serde(default)]
    after: usize,
}

pub(super) fn router(member: Arc<Member>) -> Router {
    let service = Router::new()
        .route("/v1/status", get(show_status))
        .route("/v1/fence", post(fence))
        .route("/v1/promote", post(promote))
        .route("/v1/follow", post(follow))
        .route("/v1/log", get(read_log))
        .layer(from_fn_with_state(member.clone(), apply_faults));
    Router::new()
        .route("/control/faults", post(set_faults))
        .route("/control/state", get(show_state))
        .route("/control/drop", post(drop_connections))
        .route("/control/search", post(search))
        .route("/control/executions", get(list_executions))
        .route("/control/rows", get(list_rows))
        .merge(service)
        .with_state(member)
}

/// Refuses calls of some failure domains, or leaves them without an answer.
async fn apply_faults(State(member): State<Arc<Member>>, request: Request, next: Next) -> Response {
    let domain = request.headers().get("x-domain").and_then(|value| value.to_str().ok());
    let domain = domain.unwrap_or_default().to_owned();
    let (refused, silent) = {
        let faults = &member.lock().faults;
        (faults.refuse_domains.contains(&domain), faults.blackhole_domains.contains(&domain))
    };
    match (refused, silent) {
        (true, _) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        (_, true) => std::future::pending().await,
        _ => next.run(request).await,
    }
}

async fn show_status(State(member): State<Arc<Member>>) -> Json<MemberStatus> {
    Json(member.lock().status())
}

async fn fence(
    State(member): State<Arc<Member>>,
    Json(body): Json<TermRequest>,
) -> Json<TermReply> {
    let mut data = member.lock();
    let granted = data.fence(&body);
    Json(TermReply { granted, status: data.status() })
}

async fn promote(
    State(member): State<Arc<Member>>,
    Json(body): Json<TermRequest>,
) -> Json<TermReply> {
    let mut data = member.lock();
    let granted = data.promote(&body);
    Json(TermReply { granted, status: data.status() })
}

async fn follow(
    State(member): State<Arc<Member>>,
    Json(body): Json<FollowRequest>,
) -> Json<TermReply> {
    let mut data = member.lock();
    let granted = data.follow(&body);
    Json(TermReply { granted, status: data.status() })
}

async fn read_log(State(member): State<Arc<Member>>, Query(query): Query<LogQuery>) -> Response {
    let position = LogPosition { term: query.term, offset: query.after };
    let committed = member.log_extended.notified();
    tokio::pin!(committed);
    committed.as_mut().enable();
    let waits = {
        let mut data = member.lock();
        data.note_term(position.term);
        data.is_primary() && data.log.position(data.log.last_offset()) == position
    };
    if waits {
        // A timeout is the usual end of a wait without commits; the page is then empty.
        let _ = tokio::time::timeout(LOG_WAIT, committed).await;
    }
    match member.lock().page_after(position) {
        Some(page) => Json(page).into_response(),
        None => StatusCode::CONFLICT.into_response(),
    }
}

async fn set_faults(State(member): State<Arc<Member>>, Json(change): Json<Value>) -> Response {
    let mut data = member.lock();
    match merge_fields(&data.faults, change) {
        Ok(faults) => {
            data.faults = faults;
            Json(data.faults.clone()).into_response()
        }
        Err(error) => (StatusCode::BAD_REQUEST, error.to_string()).into_response(),
    }
}

async fn show_state(State(member): State<Arc<Member>>) -> Json<MemberState> {
    let data = member.lock();
    Json(MemberState {
        status: data.status(),
        faults: data.faults.clone(),
        peak_connections: data.peak_connections,
        refused_connections: data.refused_connections,
    })
}

async fn drop_connections(State(member): State<Arc<Member>>) -> StatusCode {
    member.connections_dropped.notify_waiters();
    StatusCode::NO_CONTENT
}

async fn search(
    State(member): State<Arc<Member>>,
    Json(request): Json<SearchRequest>,
) -> Json<SearchReply> {
    Json(member.recorder.search(&request))
}

/// Executions from an index on, so that a long run can be read in parts.
async fn list_executions(
    State(member): State<Arc<Member>>,
    Query(query): Query<ExecutionsQuery>,
) -> Json<Vec<Execution>> {
    Json(member.lock().executions.iter().skip(query.after).cloned().collect())
}

/// All committed rows of a table as this member has applied them.
async fn list_rows(State(member): State<Arc<Member>>, Query(query): Query<RowsQuery>) -> Response {
    match member.lock().database.table(&query.table) {
        Ok(table) => Json(table.rows.values().collect::<Vec<&Row>>()).into_response(),
        Err(error) => (StatusCode::NOT_FOUND, error.to_string()).into_response(),
    }
}
