//! Where a request goes by the plan: its route, customer and service.

use crate::dialect::CallerHead;
use crate::proxy::RETRY_AFTER;
use crate::request_log::RequestLog;
use http::header::HOST;
use http::request;
use micaspool_dispatcher::PUBLIC_CUSTOMER;
use micaspool_routes::{EngineProfile, NumberedPlan, RouteRule, RunRule};
use micaspool_types::{CustomerName, Refusal, RefusalKind, ServiceName};
use std::sync::Arc;
use std::time::Duration;

/// What the plan says of one request.
#[derive(Clone, Debug)]
pub(super) struct CallTarget {
    /// The number of the plan.
    pub plan_number: u64,
    /// The name of the route.
    pub route: Arc<str>,
    /// The service that the request goes to.
    pub service: ServiceName,
    /// The customer; `None` on a public route.
    pub customer: Option<CustomerName>,
    /// How often it may run.
    pub run: RunRule,
    /// The longest time that it may be held.
    pub time_limit: Duration,
    /// The most endpoints that it may be sent to.
    pub attempts: u32,
    /// Its rank; lower is more urgent. The customer's rank goes before the route's.
    pub priority: u8,
    /// The time within which an answer is wanted.
    pub objective: Duration,
    /// The engine, when the service is a language model.
    pub engine: Option<EngineProfile>,
}

/// The ranks that a route may have; a customer's rank counts this much more.
const ROUTE_PRIORITY_LEVELS: u8 = 16;

impl CallTarget {
    /// Finds route, customer and service, or says why there are none.
    pub fn resolve(
        plan: &NumberedPlan,
        head: &request::Parts,
        caller: &CallerHead,
    ) -> Result<CallTarget, Refusal> {
        if plan.number == 0 {
            return Err(Refusal::not_run(RefusalKind::NoSettings).after(RETRY_AFTER));
        }
        let host = head.headers.get(HOST).and_then(|value| value.to_str().ok());
        let host = host.or_else(|| head.uri.host()).unwrap_or_default();
        let rules = &plan.plan;
        let unknown = || Refusal::not_run(RefusalKind::UnknownService);
        let route = rules.find(host, head.uri.path()).ok_or_else(unknown)?;
        let (customer, customer_priority) = identify_customer(plan, route, caller)?;
        let service = route.choose_service(&caller.id).ok_or_else(unknown)?.clone();
        Ok(CallTarget {
            plan_number: plan.number,
            route: route.name.clone(),
            customer,
            run: route.run,
            time_limit: route.time_limit(),
            objective: route.objective(),
            attempts: route.attempts.max(1),
            priority: customer_priority.min(ROUTE_PRIORITY_LEVELS - 1) * ROUTE_PRIORITY_LEVELS
                + route.priority.min(ROUTE_PRIORITY_LEVELS - 1),
            engine: rules.service(service.as_str()).and_then(|rule| rule.engine),
            service,
        })
    }

    /// Writes the decision into the request's log line.
    pub fn write_to_log(&self, log: &mut RequestLog) {
        log.route = self.route.clone();
        log.plan = self.plan_number;
        log.customer = self.customer.as_ref().map_or("", |name| name.as_str()).into();
    }

    /// The time within which its first event is wanted, or its answer; a shard refuses it once that can't be
    /// kept. `None` where the plan names none. Held until their deadlines instead, requests of a plain service that
    /// is asked for more than it does come late one and all.
    pub fn stated_objective(&self) -> Option<Duration> {
        (!self.objective.is_zero()).then_some(self.objective)
    }

    /// The customer under which the request waits.
    pub fn queue_customer(&self) -> CustomerName {
        let public = || CustomerName::parse(PUBLIC_CUSTOMER).expect("a constant of valid characters");
        self.customer.clone().unwrap_or_else(public)
    }

    /// True when both send a request to the same place for the same customer.
    pub fn has_same_destination(&self, other: &CallTarget) -> bool {
        self.service == other.service && self.customer == other.customer
    }
}

/// The customer that holds the caller's key, and its rank.
fn identify_customer(
    plan: &NumberedPlan,
    route: &RouteRule,
    caller: &CallerHead,
) -> Result<(Option<CustomerName>, u8), Refusal> {
    if route.public || !plan.plan.has_customers() {
        return Ok((None, 0));
    }
    let customer = caller.key.as_deref().and_then(|key| plan.plan.customer_of_key(key));
    match customer {
        Some(customer) => Ok((Some(customer.name.clone()), customer.priority)),
        None => Err(Refusal::not_run(RefusalKind::UnknownKey)),
    }
}
