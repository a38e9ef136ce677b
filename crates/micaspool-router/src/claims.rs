//! Claims of calls with idempotency keys.

use crate::call::CallPlan;
use async_std::task;
use async_trait::async_trait;
use http_types::{Response, StatusCode};
use micaspool_client::{CallError, KeeperClient};
use micaspool_types::{Refusal, RefusalKind};
use micaspool_wire::v1;
use std::sync::Arc;
use std::time::Duration;

/// How long a claim may take.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// How long recording the outcome of a call is retried.
const FINISH_TIMEOUT: Duration = Duration::from_secs(120);
/// `Retry-After` for calls that are still running, and for those that can't be claimed now.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// The outcome of a claim.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The call may run. The token is needed to end the claim.
    Granted(u64),
    /// The call has already run, with this answer.
    Answered(Box<Response>),
}

/// The ledger in which calls with idempotency keys are claimed.
#[async_trait]
pub trait ClaimLedger: Send + Sync + 'static {
    /// Claims a call, before any byte of it is sent.
    async fn claim(&self, plan: &CallPlan, traceparent: &str) -> Result<ClaimOutcome, Refusal>;

    /// Releases the key of a call that provably did not run.
    async fn release(&self, plan: &CallPlan, token: u64);

    /// Records that the call ran, with its answer.
    async fn record_answer(&self, plan: &CallPlan, token: u64, status: u16, content_type: &str, body: &[u8]);

    /// Records that the call may have run.
    async fn record_unknown(&self, plan: &CallPlan, token: u64);
}

/// The ledger that the keepers replicate.
#[derive(Debug, Clone)]
pub struct KeeperLedger {
    client: Arc<KeeperClient>,
}

impl KeeperLedger {
    /// Creates a ledger that uses this client.
    pub fn new(client: Arc<KeeperClient>) -> KeeperLedger {
        KeeperLedger { client }
    }

    async fn finish(
        &self,
        plan: &CallPlan,
        token: u64,
        kind: v1::FinishKind,
        answer: Option<v1::StoredAnswer>,
    ) {
        let Some(keyed) = &plan.idempotency else { return };
        let request = v1::FinishRequest {
            customer: plan.customer.to_string(),
            key: keyed.key.clone(),
            token,
            kind: kind.into(),
            answer,
        };
        let _ = self.client.finish(request, FINISH_TIMEOUT).await;
    }
}

#[async_trait]
impl ClaimLedger for KeeperLedger {
    async fn claim(&self, plan: &CallPlan, traceparent: &str) -> Result<ClaimOutcome, Refusal> {
        let Some(keyed) = &plan.idempotency else { return Err(Refusal::not_run(RefusalKind::NoLedger)) };
        let token = rand::random();
        let request = v1::ClaimRequest {
            customer: plan.customer.to_string(),
            key: keyed.key.clone(),
            body_hash: keyed.digest.to_vec(),
            token,
            traceparent: traceparent.to_owned(),
        };
        match self.client.claim(request, CLAIM_TIMEOUT).await {
            Ok(reply) => claim_outcome(reply, token),
            Err(CallError::NoLeader { sent }) => {
                if sent {
                    let (ledger, plan) = (self.clone(), plan.clone());
                    task::spawn(async move { ledger.release(&plan, token).await });
                }
                Err(Refusal::not_run(RefusalKind::NoLedger).after(RETRY_AFTER))
            }
        }
    }

    async fn release(&self, plan: &CallPlan, token: u64) {
        self.finish(plan, token, v1::FinishKind::FinishReleased, None).await;
    }

    async fn record_answer(&self, plan: &CallPlan, token: u64, status: u16, content_type: &str, body: &[u8]) {
        let answer = v1::StoredAnswer {
            status: u32::from(status),
            content_type: content_type.to_owned(),
            body: body.to_vec(),
        };
        self.finish(plan, token, v1::FinishKind::FinishAnswered, Some(answer)).await;
    }

    async fn record_unknown(&self, plan: &CallPlan, token: u64) {
        self.finish(plan, token, v1::FinishKind::FinishUnknown, None).await;
    }
}

/// Maps the keepers' verdict to an outcome or a refusal.
fn claim_outcome(reply: v1::ClaimReply, token: u64) -> Result<ClaimOutcome, Refusal> {
    use v1::ClaimVerdict::*;
    match reply.verdict() {
        ClaimGranted => Ok(ClaimOutcome::Granted(token)),
        ClaimDone => Ok(ClaimOutcome::Answered(Box::new(stored_response(reply.answer.unwrap_or_default())))),
        ClaimRunning => Err(Refusal::unknown(RefusalKind::KeyRunning).after(RETRY_AFTER)),
        ClaimMayHaveRun => Err(Refusal::unknown(RefusalKind::KeyOutcomeUnknown)),
        ClaimKeyReused => Err(Refusal::not_run(RefusalKind::KeyReused)),
        ClaimAnswerDropped => Err(Refusal::unknown(RefusalKind::KeyAnswerDropped)),
        ClaimFull => Err(Refusal::not_run(RefusalKind::NoLedger).after(RETRY_AFTER)),
    }
}

/// Builds the response that replays a stored answer.
fn stored_response(answer: v1::StoredAnswer) -> Response {
    let status = u16::try_from(answer.status).ok().and_then(|status| StatusCode::try_from(status).ok());
    let mut response = Response::new(status.unwrap_or(StatusCode::Ok));
    response.set_body(answer.body);
    response.insert_header("content-type", answer.content_type);
    response.insert_header("micaspool-replayed", "true");
    response
}
