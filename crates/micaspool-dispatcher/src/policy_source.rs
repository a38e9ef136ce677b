//! Where shards get their policy from.

use crate::probe::ProbedEndpoint;
use crate::shard_policy::shard_policy;
use async_std::channel::Receiver;
use micaspool_client::SettingsMirror;
use micaspool_dispatch::ShardPolicy;
use micaspool_types::ServiceName;
use std::fmt;
use std::sync::Arc;

/// Gives the part of the fleet's state that a shard needs.
pub trait PolicySource: fmt::Debug + Send + Sync + 'static {
    /// The policy of a service as of now.
    fn policy(&self, service: &ServiceName) -> ShardPolicy;

    /// A channel that gets a message after the policy of some service has changed.
    fn subscribe(&self) -> Receiver<()>;

    /// The endpoints that are asked for their load; none when they are not asked.
    fn probed(&self, service: &ServiceName) -> Vec<ProbedEndpoint>;
}

/// The settings tree as a source.
#[derive(Debug, Clone)]
pub struct TreeSource(pub Arc<SettingsMirror>);

impl PolicySource for TreeSource {
    fn policy(&self, service: &ServiceName) -> ShardPolicy {
        shard_policy(&self.0.policy(), service)
    }

    fn subscribe(&self) -> Receiver<()> {
        self.0.subscribe()
    }

    fn probed(&self, service: &ServiceName) -> Vec<ProbedEndpoint> {
        let policy = self.0.policy();
        let Some(index) = policy.service_index(service.as_str()) else { return Vec::new() };
        let endpoints = policy.services[index].endpoints.iter();
        let probed = endpoints.map(|endpoint| ProbedEndpoint {
            name: endpoint.name.clone(),
            service: service.clone(),
            address: endpoint.address,
            start: None,
        });
        probed.collect()
    }
}
