//! The route plan: which request goes to which service, under which limits, for which customer.
//!
//! * [`RoutePlan`] is a checked plan; [`PlanParts`] is what it is made from,
//! * [`RoutePlan::find`] gives the route of a host and path,
//! * [`PlanFormat`] is the border to the text form of a plan; [`JsonFormat`] is the product's own,
//! * [`NumberedPlan`] is a plan under the number that its operator gave it.
//!
//! A plan is replaced as a whole. The one with the highest number is in force.
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
