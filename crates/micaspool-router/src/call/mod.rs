//! From an HTTP request to a plan: whose it is, what it calls, and what it may cost.

mod model;

use micaspool_dispatch::RequestTicket;
use micaspool_settings::policy::{RequestPolicy, ServiceKind, ServicePolicy, SharedPolicy};
use micaspool_types::{Cost, CustomerName, Refusal, RefusalKind, RequestDigest, RequestId, ServiceName};
use model::ModelBody;
use sha2::{Digest, Sha256};

/// The path of model calls.
pub(crate) const CHAT_PATH: &str = "/v1/chat/completions";
/// What a call of a plain service costs.
const PLAIN_COST: Cost = Cost(1);
/// The longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// The key of a call that may not be repeated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdempotencyKey {
    /// The key as the caller sent it.
    pub key: String,
    /// The SHA-256 of method, path and body.
    pub digest: [u8; 32],
}

/// Everything that the path of a request needs to know of it.
#[derive(Debug, Clone)]
pub struct CallPlan {
    /// The request.
    pub request: RequestId,
    /// Whose it is.
    pub customer: CustomerName,
    /// What it asks for, the same for each time that it comes.
    pub digest: RequestDigest,
    /// What it calls.
    pub service: ServiceName,
    /// How the service is called.
    pub kind: ServiceKind,
    /// What holds for it, as of its arrival.
    pub policy: RequestPolicy,
    /// The HTTP method.
    pub method: String,
    /// The path with its query.
    pub target: String,
    /// The media type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Vec<u8>,
    /// True when it may be sent again after it may have run.
    pub repeatable: bool,
    /// The key, when the caller sent one.
    pub idempotency: Option<IdempotencyKey>,
    /// True when the answer is to be streamed.
    pub is_streamed: bool,
    hint: Cost,
    prefixes: Vec<u64>,
}

/// The parts of a request that a plan is made from.
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

/// The customer of a bearer key.
pub(crate) fn authenticate(policy: &SharedPolicy, authorization: Option<&str>) -> Result<usize, Refusal> {
    let (scheme, key) = authorization.and_then(|value| value.split_once(' ')).unwrap_or_default();
    let customer = policy.customer_of_key(key.trim()).filter(|_| scheme.eq_ignore_ascii_case("bearer"));
    customer.ok_or_else(|| Refusal::not_run(RefusalKind::UnknownKey))
}

/// The largest body that the customer may send to this path.
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
            repeatable: customer_policy.repeatable && !is_listed && idempotency.is_none(),
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

    /// The ticket of an attempt.
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
        }
    }
}

/// The settings must name an endpoint in an allowed data hall.
fn check_placement(service: &ServicePolicy, customer_policy: &RequestPolicy) -> Result<(), Refusal> {
    if service.endpoints.is_empty() {
        return Err(Refusal::not_run(RefusalKind::NoEndpoint).after(std::time::Duration::from_secs(5)));
    }
    if service.halls.intersect(customer_policy.halls).is_empty() {
        return Err(Refusal::not_run(RefusalKind::PlacementForbidden));
    }
    Ok(())
}

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
