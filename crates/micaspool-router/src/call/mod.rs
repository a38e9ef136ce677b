//! Resolves the customer, service and estimated cost of an HTTP request.

mod model;

use micaspool_dispatch::{GenerationOutline, RequestTicket};
use micaspool_settings::policy::{RequestPolicy, ServiceKind, ServicePolicy, SharedPolicy};
use micaspool_types::{
    Cost, CustomerName, HallLimit, Refusal, RefusalKind, RequestDigest, RequestId, ServiceName, VersionLimit,
};
use model::ModelBody;
use sha2::{Digest, Sha256};

/// The path of model calls.
pub(crate) const CHAT_PATH: &str = "/v1/chat/completions";
/// The cost of a call to a plain service.
const PLAIN_COST: Cost = Cost(1);
/// The longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// The idempotency key of a call, with a digest of the call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdempotencyKey {
    /// The key as the caller sent it.
    pub key: String,
    /// The SHA-256 of method, request target and body, each prefixed with its length.
    pub digest: [u8; 32],
}

/// A resolved request.
#[derive(Debug, Clone)]
pub struct CallPlan {
    /// The id of the request.
    pub request: RequestId,
    /// The customer that sent the request.
    pub customer: CustomerName,
    /// The digest of the request, equal for each copy of it.
    pub digest: RequestDigest,
    /// The service that is called.
    pub service: ServiceName,
    /// The kind of the service.
    pub kind: ServiceKind,
    /// The customer's policy for the service, as of the arrival of the request.
    pub policy: RequestPolicy,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub target: String,
    /// The media type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Vec<u8>,
    /// True if the request may be sent again after it may have run.
    pub is_repeatable: bool,
    /// The idempotency key, if the caller sent one.
    pub idempotency: Option<IdempotencyKey>,
    /// True if the caller asked for a streamed answer.
    pub is_streamed: bool,
    hint: Cost,
    prefixes: Vec<u64>,
}

/// The parts of a request from which a [`CallPlan`] is made.
#[derive(Debug)]
pub(crate) struct PlanParts {
    pub request: RequestId,
    pub customer: usize,
    pub method: String,
    pub target: String,
    pub content_type: Option<String>,
    pub key: Option<String>,
    pub body: Vec<u8>,
}

/// Returns the index of the customer that owns the bearer key.
pub(crate) fn authenticate(policy: &SharedPolicy, authorization: Option<&str>) -> Result<usize, Refusal> {
    let (scheme, key) = authorization.and_then(|value| value.split_once(' ')).unwrap_or_default();
    let customer = policy.customer_of_key(key.trim()).filter(|_| scheme.eq_ignore_ascii_case("bearer"));
    customer.ok_or_else(|| Refusal::not_run(RefusalKind::UnknownKey))
}

/// Returns the largest body that the customer may send to this path, in bytes. The model of a model call is not known
/// yet, so the largest limit of all models applies.
pub(crate) fn body_limit(policy: &SharedPolicy, customer: usize, target: &str) -> Result<u64, Refusal> {
    let services = &policy.customers[customer].services;
    if path_of(target) == CHAT_PATH {
        let models =
            policy.services.iter().zip(services).filter(|(service, _)| service.kind == ServiceKind::Model);
        return Ok(models.map(|(_, customer_policy)| customer_policy.max_body_bytes).max().unwrap_or(0));
    }
    let service = policy.service_of_path(path_of(target));
    let service = service.ok_or_else(|| Refusal::not_run(RefusalKind::UnknownService))?;
    Ok(services[service].max_body_bytes)
}

impl CallPlan {
    /// Resolves a request, or refuses it.
    pub(crate) fn new(policy: &SharedPolicy, parts: PlanParts) -> Result<CallPlan, Refusal> {
        let refuse = |kind| Refusal::not_run(kind);
        let model =
            if path_of(&parts.target) == CHAT_PATH { Some(ModelBody::parse(&parts.body)?) } else { None };
        let index = match &model {
            Some(body) => policy
                .service_index(&body.model)
                .filter(|index| policy.services[*index].kind == ServiceKind::Model),
            None => policy.service_of_path(path_of(&parts.target)),
        };
        let index = index.ok_or_else(|| refuse(RefusalKind::UnknownService))?;
        let service = &policy.services[index];
        let customer_policy = policy.request_policy(parts.customer, index).clone();
        if parts.body.len() as u64 > customer_policy.max_body_bytes {
            return Err(refuse(RefusalKind::BodyTooLarge));
        }
        if customer_policy.halls.is_empty() {
            return Err(refuse(RefusalKind::PlacementForbidden));
        }
        check_placement(service, &customer_policy)?;
        let idempotency = parts.key.as_ref().map(|key| parse_idempotency_key(key, &parts)).transpose()?;
        let is_listed = matches_once_rule(service, &parts.method, path_of(&parts.target));
        let customer = policy.customers[parts.customer].name.clone();
        Ok(CallPlan {
            request: parts.request,
            digest: RequestDigest::of(&customer, &parts.method, &parts.target, &parts.body),
            customer,
            service: service.name.clone(),
            kind: service.kind,
            is_repeatable: customer_policy.repeatable && !is_listed && idempotency.is_none(),
            policy: customer_policy,
            method: parts.method,
            target: parts.target,
            content_type: parts.content_type,
            body: parts.body,
            idempotency,
            is_streamed: model.as_ref().is_some_and(|body| body.stream),
            hint: model.as_ref().map_or(PLAIN_COST, |body| body.hint),
            prefixes: model.map(|body| body.prefixes).unwrap_or_default(),
        })
    }

    /// Creates the ticket for an attempt.
    pub fn ticket(&self, attempt: u32, avoid: Option<micaspool_types::EndpointName>) -> RequestTicket {
        RequestTicket {
            request: self.request,
            customer: self.customer.clone(),
            digest: Some(self.digest),
            hint: self.hint,
            priority: self.policy.priority,
            attempt,
            avoid,
            prefixes: self.prefixes.clone(),
            prefix_tokens: Vec::new(),
            prompt_tokens: Cost(0),
            objective: None,
            patience: None,
            order: None,
            halls: HallLimit::Anywhere,
            versions: VersionLimit::Any,
            generation: GenerationOutline::default(),
        }
    }
}

/// Checks that the service has an endpoint in an allowed data hall.
fn check_placement(service: &ServicePolicy, customer_policy: &RequestPolicy) -> Result<(), Refusal> {
    if service.endpoints.is_empty() {
        return Err(Refusal::not_run(RefusalKind::NoEndpoint).after(std::time::Duration::from_secs(5)));
    }
    if service.halls.intersect(customer_policy.halls).is_empty() {
        return Err(Refusal::not_run(RefusalKind::PlacementForbidden));
    }
    Ok(())
}

/// Returns true if the settings list this method and path as not repeatable.
fn matches_once_rule(service: &ServicePolicy, method: &str, path: &str) -> bool {
    service.once.iter().any(|rule| rule.method == method && path.starts_with(&rule.path))
}

fn parse_idempotency_key(key: &str, parts: &PlanParts) -> Result<IdempotencyKey, Refusal> {
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(Refusal::not_run(RefusalKind::MalformedRequest));
    }
    let mut hasher = Sha256::new();
    for part in [parts.method.as_bytes(), parts.target.as_bytes(), &parts.body] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    Ok(IdempotencyKey { key: key.to_owned(), digest: hasher.finalize().into() })
}

fn path_of(target: &str) -> &str {
    target.split('?').next().unwrap_or(target)
}
