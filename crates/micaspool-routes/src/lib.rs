//! The route plan: which request goes to which service, under which limits, for which customer.
//!
//! * [`RoutePlan`] is a validated plan; [`PlanParts`] is the data that it is built from,
//! * [`RoutePlan::find`] looks up the route of a host and path,
//! * [`PlanFormat`] is the interface to text formats of plans; [`JsonFormat`] is the product's own,
//! * [`NumberedPlan`] is a plan with the number that its operator assigned to it.
//!
//! A plan is replaced as a whole. The plan with the highest number is in force.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod check;
mod format;
mod plan;
mod split;

pub use check::Error;
pub use format::{FormatError, JsonFormat, NumberedPlan, PlanFormat};
pub use plan::{
    CallerLimits, ColdProfile, CustomerKeys, EngineProfile, PlanParts, RoutePlan, RouteRule, RunRule,
    ServiceRule,
};
pub use split::ServiceShare;
