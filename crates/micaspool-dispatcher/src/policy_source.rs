//! Sources of the policies of shards.

use crate::probe::ProbedEndpoint;
use crate::probe_selection::ProbeSelection;
use crate::shard_policy::shard_policy;
use async_std::channel::Receiver;
use micaspool_client::SettingsMirror;
use micaspool_dispatch::ShardPolicy;
use micaspool_types::{EndpointName, ServiceName, SoftwareVersion};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Provides the part of the fleet's state that shards need.
pub trait PolicySource: fmt::Debug + Send + Sync + 'static {
    /// Returns the current policy of a service.
    fn policy(&self, service: &ServiceName) -> ShardPolicy;

    /// Returns a channel that receives a message after the policy of any service has changed.
    fn subscribe(&self) -> Receiver<()>;

    /// Returns the selected ones among the endpoints of a service whose load is probed.
    fn probed_endpoints(&self, service: &ServiceName, selection: &ProbeSelection) -> Vec<ProbedEndpoint>;

    /// Returns the software version that all endpoints of a service have had for this long; `None` if there were several,
    /// or if another dispatcher may have granted requests at endpoints that this one has not heard of.
    fn sole_version(&self, _service: &ServiceName, _span: Duration) -> Option<SoftwareVersion> {
        None
    }
}

/// A policy source that reads the settings tree.
#[derive(Debug, Clone)]
pub struct TreeSource(pub Arc<SettingsMirror>);

impl PolicySource for TreeSource {
    fn policy(&self, service: &ServiceName) -> ShardPolicy {
        shard_policy(&self.0.policy(), service)
    }

    fn subscribe(&self) -> Receiver<()> {
        self.0.subscribe()
    }

    fn probed_endpoints(&self, service: &ServiceName, selection: &ProbeSelection) -> Vec<ProbedEndpoint> {
        let policy = self.0.policy();
        let Some(index) = policy.service_index(service.as_str()) else { return Vec::new() };
        let is_selected = |name: &EndpointName| match selection {
            ProbeSelection::All => true,
            ProbeSelection::Only(names) => names.contains(name),
        };
        let endpoints =
            policy.services[index].endpoints.iter().filter(|endpoint| is_selected(&endpoint.name));
        let probed = endpoints.map(|endpoint| ProbedEndpoint {
            name: endpoint.name.clone(),
            service: service.clone(),
            address: endpoint.address,
            start: None,
        });
        probed.collect()
    }
}
