//! Resolves the route, customer and service of a request from the plan.

use crate::dialect::CallerHead;
use crate::proxy::RETRY_AFTER;
use crate::request_log::RequestLog;
use http::header::HOST;
use http::{request, Method};
use micaspool_dispatcher::PUBLIC_CUSTOMER;
use micaspool_routes::{CustomerKeys, EngineProfile, NumberedPlan, RouteRule, RunRule};
use micaspool_types::{CustomerName, HallLimit, HallRegions, Refusal, RefusalKind, ServiceName};
use std::sync::Arc;
use std::time::Duration;

/// The parts of the plan that apply to one request.
#[derive(Clone, Debug)]
pub(super) struct CallTarget {
    /// The number of the plan.
    pub plan_number: u64,
    /// The name of the route.
    pub route: Arc<str>,
    /// The service that the request is sent to.
    pub service: ServiceName,
    /// The customer; `None` on a public route or if the plan has no customers.
    pub customer: Option<CustomerName>,
    /// Whether the request may run more than once.
    pub run: RunRule,
    /// The time limit of the request, from its arrival.
    pub time_limit: Duration,
    /// The maximum number of sends that may have run.
    pub attempts: u32,
    /// The priority; lower is more urgent. The customer's priority takes precedence over the route's.
    pub priority: u8,
    /// The latency objective; zero if the plan has none.
    pub objective: Duration,
    /// The longest pause between two events that keeps a stream in time; `None` without such a target.
    pub pause: Option<Duration>,
    /// The engine profile if the service is a language model.
    pub engine: Option<EngineProfile>,
    /// The data halls in which the request may run.
    pub halls: HallLimit,
}

/// The number of priority levels of a route, and the weight of one level of a customer's priority.
const ROUTE_PRIORITY_LEVELS: u8 = 16;

impl CallTarget {
    /// Resolves the route, customer and service of a request, or refuses it.
    pub fn resolve(
        plan: &NumberedPlan,
        hall_regions: &HallRegions,
        head: &request::Parts,
        caller: &CallerHead,
    ) -> Result<CallTarget, Refusal> {
        if plan.number == 0 {
            return Err(Refusal::not_run(RefusalKind::NoSettings).after(RETRY_AFTER));
        }
        // An endpoint serves no tunnels, and the answer to a request for one has no body.
        if head.method == Method::CONNECT {
            return Err(Refusal::not_run(RefusalKind::MalformedRequest));
        }
        let host = head.headers.get(HOST).and_then(|value| value.to_str().ok());
        let host = host.or_else(|| head.uri.host()).unwrap_or_default();
        let rules = &plan.plan;
        let unknown = || Refusal::not_run(RefusalKind::UnknownService);
        let route = rules.find(host, head.uri.path()).ok_or_else(unknown)?;
        let customer = identify_customer(plan, route, caller)?;
        let customer_priority = customer.map_or(0, |customer| customer.priority);
        let regions =
            customer.map_or(route.regions.clone(), |customer| route.regions.intersect(&customer.regions));
        let halls = hall_regions.halls_within(&regions);
        if halls.is_nowhere() {
            return Err(Refusal::not_run(RefusalKind::NoEndpoint).after(RETRY_AFTER));
        }
        // A stream goes on at the service that began it.
        let beginning = caller.resumes.as_ref().unwrap_or(&caller.id);
        let service = route.choose_service(beginning).ok_or_else(unknown)?.clone();
        Ok(CallTarget {
            plan_number: plan.number,
            route: route.name.clone(),
            customer: customer.map(|customer| customer.name.clone()),
            run: route.run,
            time_limit: route.time_limit(),
            objective: route.objective(),
            pause: route.pause(),
            attempts: route.attempts.max(1),
            priority: customer_priority.min(ROUTE_PRIORITY_LEVELS - 1) * ROUTE_PRIORITY_LEVELS
                + route.priority.min(ROUTE_PRIORITY_LEVELS - 1),
            engine: rules.service(service.as_str()).and_then(|rule| rule.engine),
            service,
            halls,
        })
    }

    /// Copies route, plan and customer into the request's log line.
    pub fn write_to_log(&self, log: &mut RequestLog) {
        log.route = self.route.clone();
        log.plan = self.plan_number;
        log.customer = self.customer.as_ref().map_or("", |name| name.as_str()).into();
    }

    /// Returns the latency objective: the time until the first event, or until the answer. `None` if the plan has none.
    ///
    /// A shard refuses a request once its objective can't be met. If requests were held until their deadlines instead,
    /// every answer of an overloaded plain service would be late.
    pub fn stated_objective(&self) -> Option<Duration> {
        (!self.objective.is_zero()).then_some(self.objective)
    }

    /// Returns the customer in whose queue the request waits; [`PUBLIC_CUSTOMER`] if it has none.
    pub fn queue_customer(&self) -> CustomerName {
        let public = || CustomerName::parse(PUBLIC_CUSTOMER).expect("the constant is a valid name");
        self.customer.clone().unwrap_or_else(public)
    }

    /// Returns true if both targets have the same service, customer and data halls.
    pub fn has_same_destination(&self, other: &CallTarget) -> bool {
        self.service == other.service && self.customer == other.customer && self.halls == other.halls
    }
}

/// Returns the customer that owns the caller's key; `None` if the route needs no key.
fn identify_customer<'a>(
    plan: &'a NumberedPlan,
    route: &RouteRule,
    caller: &CallerHead,
) -> Result<Option<&'a CustomerKeys>, Refusal> {
    if route.public || !plan.plan.has_customers() {
        return Ok(None);
    }
    let customer = caller.key.as_deref().and_then(|key| plan.plan.customer_of_key(key));
    customer.map(Some).ok_or(Refusal::not_run(RefusalKind::UnknownKey))
}
