//! Validation of route plans.

use crate::plan::PlanParts;
use std::collections::HashSet;
use std::fmt;

/// The reason why a plan is invalid.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Error {
    /// A route names a service that the plan does not list.
    UnknownService {
        /// The name of the route.
        route: String,
        /// The name of the missing service.
        service: String,
    },
    /// Two routes have the same host and prefix.
    DuplicateRoute {
        /// The name of the second of the two routes.
        route: String,
    },
    /// The weights of a route add up to zero.
    ZeroWeight {
        /// The name of the route.
        route: String,
    },
    /// The time limit of a route is zero.
    ZeroTimeLimit {
        /// The name of the route.
        route: String,
    },
    /// Two customers hold the same key. The error leaves out the key, which is a secret.
    DuplicateKey {
        /// The name of the second of the two customers.
        customer: String,
    },
    /// Two services have the same name.
    DuplicateService {
        /// The name of the services.
        service: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::UnknownService { route, service } => {
                write!(f, "route {route}: no service {service}; list it under services or change the route")
            }
            Error::DuplicateRoute { route } => {
                write!(f, "route {route}: another route has this host and prefix; remove one of them")
            }
            Error::ZeroWeight { route } => {
                write!(f, "route {route}: the weights add up to 0; give one service a weight")
            }
            Error::ZeroTimeLimit { route } => {
                write!(f, "route {route}: the time limit is 0; give one of at least 1 ms")
            }
            Error::DuplicateKey { customer } => {
                write!(f, "customer {customer}: another customer holds one of its keys; give it a new one")
            }
            Error::DuplicateService { service } => {
                write!(f, "service {service} is listed twice; remove one of the entries")
            }
        }
    }
}

impl std::error::Error for Error {}

/// Validates the parts of a plan and returns the first error found.
pub(crate) fn check_parts(parts: &PlanParts) -> Result<(), Error> {
    let mut services = HashSet::new();
    for service in &parts.services {
        if !services.insert(service.name.as_str()) {
            return Err(Error::DuplicateService { service: service.name.to_string() });
        }
    }
    check_routes(parts, &services)?;
    check_keys(parts)
}

fn check_routes(parts: &PlanParts, services: &HashSet<&str>) -> Result<(), Error> {
    let mut matchers = HashSet::new();
    for route in &parts.routes {
        let name = || route.name.to_string();
        if !matchers.insert((route.host.to_ascii_lowercase(), &*route.prefix)) {
            return Err(Error::DuplicateRoute { route: name() });
        }
        if route.time_limit_ms == 0 {
            return Err(Error::ZeroTimeLimit { route: name() });
        }
        let unknown = route.shares.iter().find(|share| !services.contains(share.service.as_str()));
        if let Some(share) = unknown {
            return Err(Error::UnknownService { route: name(), service: share.service.to_string() });
        }
        if route.shares.iter().all(|share| share.weight == 0) {
            return Err(Error::ZeroWeight { route: name() });
        }
    }
    Ok(())
}

fn check_keys(parts: &PlanParts) -> Result<(), Error> {
    let mut owners = std::collections::HashMap::new();
    for customer in &parts.customers {
        for key in &customer.keys {
            let owner = owners.insert(key, &customer.name);
            if owner.is_some_and(|owner| *owner != customer.name) {
                return Err(Error::DuplicateKey { customer: customer.name.to_string() });
            }
        }
    }
    Ok(())
}
