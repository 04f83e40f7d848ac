//! Check of the position of a result, and its way to the client.

use tanagerdeal_core::message::caller::{CallerAnswer, CallerCall};
use tanagerdeal_core::verdict::RequestRefusal;
use tokio::time::timeout_at;

use super::exchange::{Exchange, ExchangeFault, unexpected};
use crate::codec::Frame;

impl Exchange<'_> {
    /// Checks the reported position before anything of the result leaves. A result without a position
    /// is checked as if it were older than everything.
    pub(super) async fn verify(&mut self) -> Result<(), ExchangeFault> {
        let Some(required) = self.rules.required.filter(|_| !self.is_verified) else {
            return Ok(());
        };
        if self.reply.rejected.is_some() {
            return Ok(());
        }
        if self.reply.position.is_none() && self.rules.continues_portal {
            self.is_verified = true;
            return self.release().await;
        }
        let position = self.reply.position.unwrap_or_default();
        let is_covered = position.term == required.term && position.offset >= required.offset;
        if !is_covered {
            let call = CallerCall::CheckRead { dispatch: self.rules.dispatch, position };
            match self.driver.call(call).await {
                CallerAnswer::ReadAccepted => {}
                CallerAnswer::Refused(refusal) => return self.reject(refusal),
                _ => return Err(unexpected("a result that could not be checked")),
            }
        }
        self.reply.seen = self.reply.seen.max(Some(position));
        self.is_verified = true;
        self.release().await
    }

    /// Drops the result. If an earlier one has reached the client, the connection is given up.
    fn reject(&mut self, refusal: RequestRefusal) -> Result<(), ExchangeFault> {
        if self.has_delivered {
            return Err(unexpected("a result that is older than the session requires"));
        }
        self.reply.held.clear();
        self.reply.rejected = Some(refusal);
        Ok(())
    }

    /// Passes on what was held for the check of a position.
    pub(super) async fn release(&mut self) -> Result<(), ExchangeFault> {
        for frame in std::mem::take(&mut self.reply.held) {
            self.deliver(&frame).await?;
        }
        self.held_bytes = 0;
        Ok(())
    }

    /// Passes a message on, or holds it back.
    pub(super) async fn pass(&mut self, frame: Frame) -> Result<(), ExchangeFault> {
        if self.reply.rejected.is_some() {
            return Ok(());
        }
        if self.is_verified && !self.is_holding {
            return self.deliver(&frame).await;
        }
        self.held_bytes += frame.size();
        self.reply.held.push(frame);
        // More rows than the buffer takes cannot be held. They belong to a batch of several
        // statements, of which ReadyForQuery, not CommandComplete, tells that it was committed.
        let is_row = self.reply.held.last().is_some_and(|frame| frame.tag() == b'D');
        match is_row && self.is_holding && self.held_bytes > self.rules.buffer_bytes {
            true => self.release().await,
            false => Ok(()),
        }
    }

    async fn deliver(&mut self, frame: &Frame) -> Result<(), ExchangeFault> {
        self.has_delivered = true;
        self.client.push_frame(frame);
        if self.client.unsent() < self.rules.buffer_bytes {
            return Ok(());
        }
        match timeout_at(self.rules.deadline.into(), self.client.flush()).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(ExchangeFault::ClientGone),
            Err(_) => Err(ExchangeFault::Deadline),
        }
    }
}
