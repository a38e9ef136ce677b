//! The dispatchers of a fleet: those of the keepers' instances, and one inside this process.

use async_std::channel::Receiver;
use async_trait::async_trait;
use micaspool_client::{FleetMirror, KeeperSight, PeerDirectory};
use micaspool_dispatch::rank_candidates;
use micaspool_dispatcher::FleetDispatcher;
use micaspool_router::{DispatcherAddress, DispatcherList, LocalDispatcher, MessageStream};
use micaspool_types::{InstanceName, ServiceName};
use micaspool_wire::v1::RouterMessage;
use std::sync::Arc;

/// The dispatcher inside this process.
#[derive(Debug)]
struct OwnDispatcher(FleetDispatcher);

#[async_trait]
impl LocalDispatcher for OwnDispatcher {
    async fn open(&self, messages: Receiver<RouterMessage>) -> Option<MessageStream> {
        let stream = self.0.open(messages).await.ok()?;
        Some(Box::pin(stream))
    }
}

/// Ranks the instances whose keepers are reached, those that hear a majority first. Routers that
/// reach the same ones choose the same one. The dispatcher inside this process comes last.
#[derive(Debug)]
pub(crate) struct FleetDispatchers {
    mirror: Arc<FleetMirror>,
    directory: Arc<dyn PeerDirectory>,
    own: Arc<dyn LocalDispatcher>,
}

impl FleetDispatchers {
    pub fn new(
        mirror: Arc<FleetMirror>,
        directory: Arc<dyn PeerDirectory>,
        own: FleetDispatcher,
    ) -> FleetDispatchers {
        FleetDispatchers { mirror, directory, own: Arc::new(OwnDispatcher(own)) }
    }

    fn ranked_names(&self, service: &ServiceName, sights: &[KeeperSight]) -> Vec<InstanceName> {
        let named = |confirmed: bool| {
            let reached = sights.iter().filter(|sight| sight.reached && sight.confirmed == confirmed);
            let names: Vec<InstanceName> = reached.map(|sight| sight.peer.name.clone()).collect();
            rank_candidates(service, &names)
        };
        named(true).into_iter().chain(named(false)).collect()
    }
}

impl DispatcherList for FleetDispatchers {
    fn ranked(&self, service: &ServiceName) -> Vec<DispatcherAddress> {
        let names = self.ranked_names(service, &self.mirror.keepers());
        let addresses = names.iter().filter_map(|name| self.directory.address(name));
        let remote = addresses.map(DispatcherAddress::Remote);
        remote.chain([DispatcherAddress::Local(self.own.clone())]).collect()
    }
}
