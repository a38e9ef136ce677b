//! The dispatchers of a fleet: one on each keeper instance, and one inside this process.

use async_std::channel::Receiver;
use async_trait::async_trait;
use micaspool_client::{FleetMirror, KeeperConnection, KeeperStatus, PeerDirectory};
use micaspool_dispatch::{rank_distinct, CandidateHealth, CandidateKind};
use micaspool_dispatcher::FleetDispatcher;
use micaspool_router::{
    DispatcherAddress, DispatcherCandidate, DispatcherList, LocalDispatcher, MessageStream,
};
use micaspool_types::{InstanceName, ServiceName};
use micaspool_wire::v1::RouterMessage;
use std::sync::Arc;

/// The dispatcher inside this process.
#[derive(Debug)]
struct InProcessDispatcher(FleetDispatcher);

#[async_trait]
impl LocalDispatcher for InProcessDispatcher {
    async fn open(&self, messages: Receiver<RouterMessage>) -> Option<MessageStream> {
        let stream = self.0.open(messages).await.ok()?;
        Some(Box::pin(stream))
    }
}

/// Ranks the dispatchers on keeper instances.
///
/// Reachable keepers without contact to a majority come after the others, because they may have an older plan and know
/// fewer endpoints. Routers that reach the same keepers choose the same dispatcher, even while the keepers elect a
/// leader. The dispatcher inside this process comes last.
#[derive(Debug)]
pub(crate) struct FleetDispatchers {
    mirror: Arc<FleetMirror>,
    directory: Arc<dyn PeerDirectory>,
    local: Arc<dyn LocalDispatcher>,
}

impl FleetDispatchers {
    pub fn new(
        mirror: Arc<FleetMirror>,
        directory: Arc<dyn PeerDirectory>,
        local: FleetDispatcher,
    ) -> FleetDispatchers {
        FleetDispatchers { mirror, directory, local: Arc::new(InProcessDispatcher(local)) }
    }

    /// Returns the dispatcher on a keeper's instance. It runs in the keeper's process, so the stream from the keeper
    /// shows whether it responds.
    fn candidate(&self, status: &KeeperStatus) -> Option<DispatcherCandidate> {
        let address = self.directory.address(&status.peer.name)?;
        let health = match status.connection {
            KeeperConnection::Pending => CandidateHealth::Pending,
            // Gateways that start at the same time would choose different dispatchers, depending on which keepers have
            // heard the new leader first.
            KeeperConnection::Connected if status.settling => CandidateHealth::Pending,
            KeeperConnection::Connected if status.unresponsive => CandidateHealth::Unresponsive,
            KeeperConnection::Connected => CandidateHealth::Answering,
            KeeperConnection::Lost => CandidateHealth::Lost,
        };
        Some(DispatcherCandidate {
            address: DispatcherAddress::Remote(address),
            kind: CandidateKind::Observed(health),
        })
    }
}

/// Ranks the keepers that are group members or listed in the settings, for a service. Reachable keepers without a
/// recent majority come last.
fn rank_keepers<'a>(
    service: &ServiceName,
    services: &[ServiceName],
    statuses: &'a [KeeperStatus],
) -> Vec<&'a KeeperStatus> {
    let ranked = |lacks_majority: bool| {
        let is_cut_off =
            |status: &KeeperStatus| status.is_connected() && !status.recently_confirmed && !status.settling;
        let chosen = statuses.iter().filter(|status| status.wanted && is_cut_off(status) == lacks_majority);
        let names: Vec<InstanceName> = chosen.map(|status| status.peer.name.clone()).collect();
        rank_distinct(service, services, &names)
    };
    let names = ranked(false).into_iter().chain(ranked(true));
    names.filter_map(|name| statuses.iter().find(|status| status.peer.name == name)).collect()
}

impl DispatcherList for FleetDispatchers {
    fn ranked(&self, service: &ServiceName) -> Vec<DispatcherCandidate> {
        let statuses = self.mirror.keepers();
        let plan = self.mirror.plan().plan;
        let services: Vec<ServiceName> = plan.parts().services.iter().map(|rule| rule.name.clone()).collect();
        let ranked = rank_keepers(service, &services, &statuses);
        let local = DispatcherCandidate {
            address: DispatcherAddress::Local(self.local.clone()),
            kind: CandidateKind::LastResort,
        };
        ranked.into_iter().filter_map(|status| self.candidate(status)).chain([local]).collect()
    }
}
