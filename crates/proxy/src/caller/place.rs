//! Placement of a request and the connection it runs on.

use std::time::{Duration, Instant};

use pgwire::messages::simplequery::Query;
use tanagerdeal_core::message::caller::{CallerAnswer, CallerCall, DispatchPlan};
use tanagerdeal_core::statement::StatementClass;
use tanagerdeal_core::verdict::{RefusalCode, RequestRefusal};
use tokio::time::timeout_at;

use super::session::Session;
use super::setting::SessionSetting;
use crate::endpoint::{ConnectionError, ConnectionLease, EndpointConnection, PoolError, field_of};

/// Least time that is left for the settings of a connection before it is given up.
const SETTING_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a request was not placed.
pub(super) enum PlaceFault {
    /// The core refused it.
    Refused(RequestRefusal),
    /// The client cancelled it.
    Cancelled,
    /// The client has gone.
    ClientGone,
}

impl Session {
    /// Asks the core where a request may run.
    pub(super) async fn place(
        &mut self,
        class: &StatementClass,
        is_retry: bool,
    ) -> Result<DispatchPlan, PlaceFault> {
        let session = self.key;
        let call = CallerCall::PlaceRequest { session, class: class.clone(), is_retry };
        let fault = tokio::select! {
            biased;
            answer = self.context.driver.call(call) => match answer {
                CallerAnswer::RequestPlaced(plan) => return Ok(plan),
                CallerAnswer::Refused(refusal) => return Err(PlaceFault::Refused(refusal)),
                _ => return Err(PlaceFault::Refused(unexpected_answer())),
            },
            () = self.cancel.cancelled() => PlaceFault::Cancelled,
            _ = self.client.watch() => PlaceFault::ClientGone,
        };
        self.context.driver.tell(CallerCall::AbandonRequest { session });
        Err(fault)
    }

    /// Takes a connection for a plan and brings the session's settings into effect on it. Within a
    /// transaction it is the connection of the transaction.
    pub(super) async fn connect(
        &mut self,
        plan: &DispatchPlan,
    ) -> Result<ConnectionLease, PoolError> {
        if let Some(transaction) = &mut self.transaction {
            return transaction.lease.take().ok_or(PoolError::Exhausted);
        }
        let pools = &self.context.pools;
        let mut lease = pools.take(plan.endpoint, &plan.sql_address, plan.deadline).await?;
        let by = plan.deadline.min(Instant::now() + SETTING_TIMEOUT);
        let adopting = adopt_settings(lease.connection(), &self.settings);
        timeout_at(by.into(), adopting).await.map_err(|_| ConnectionError::TimedOut)??;
        Ok(lease)
    }
}

/// Makes the settings in effect on a connection equal to those of a session.
async fn adopt_settings(
    connection: &mut EndpointConnection,
    settings: &[SessionSetting],
) -> Result<(), ConnectionError> {
    let is_equal = connection.settings.iter().eq(settings.iter().map(|setting| &setting.text));
    if is_equal {
        return Ok(());
    }
    // RESET ALL leaves the role and the session authorization as they are.
    let resets = ["RESET ALL", "RESET SESSION AUTHORIZATION", "RESET ROLE"];
    let resets = resets.into_iter().filter(|_| !connection.settings.is_empty());
    let statements: Vec<&str> =
        resets.chain(settings.iter().map(|setting| setting.text.as_str())).collect();
    for sql in &statements {
        connection.push(&Query::new((*sql).to_owned()));
    }
    connection.flush().await?;
    for _ in &statements {
        if let Some(error) = connection.read_hidden().await?.error {
            let message = field_of(&error, b'M').unwrap_or("no message");
            let message = format!("a session setting could not be made: {message}");
            return Err(ConnectionError::Refused(message));
        }
    }
    connection.settings = settings.iter().map(|setting| setting.text.clone()).collect();
    Ok(())
}

fn unexpected_answer() -> RequestRefusal {
    RequestRefusal::not_run(RefusalCode::Unavailable, "the request could not be placed")
}
