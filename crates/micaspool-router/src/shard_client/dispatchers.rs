//! The dispatchers that a router may use.

use async_std::channel::Receiver;
use async_trait::async_trait;
use futures::Stream;
use micaspool_dispatch::{rank_candidates, CandidateKind};
use micaspool_settings::process::PeerAddress;
use micaspool_types::{InstanceName, ServiceName};
use micaspool_wire::v1::{DispatcherMessage, RouterMessage};
use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use tonic::Status;

/// The messages from a dispatcher.
pub type MessageStream = Pin<Box<dyn Stream<Item = Result<DispatcherMessage, Status>> + Send>>;

/// A dispatcher inside this process.
#[async_trait]
pub trait LocalDispatcher: fmt::Debug + Send + Sync + 'static {
    /// Opens a session. The channel delivers the router's messages, starting with the hello.
    async fn open(&self, messages: Receiver<RouterMessage>) -> Option<MessageStream>;
}

/// The address of a dispatcher.
#[derive(Clone, Debug)]
pub enum DispatcherAddress {
    /// A dispatcher in another process.
    Remote(SocketAddr),
    /// The dispatcher in this process.
    Local(Arc<dyn LocalDispatcher>),
}

impl PartialEq for DispatcherAddress {
    fn eq(&self, other: &DispatcherAddress) -> bool {
        match (self, other) {
            (DispatcherAddress::Remote(one), DispatcherAddress::Remote(other)) => one == other,
            (DispatcherAddress::Local(_), DispatcherAddress::Local(_)) => true,
            _ => false,
        }
    }
}

impl fmt::Display for DispatcherAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DispatcherAddress::Remote(address) => address.fmt(f),
            DispatcherAddress::Local(_) => f.write_str("local"),
        }
    }
}

/// A dispatcher and what is known about its reachability.
#[derive(Clone, Debug)]
pub struct DispatcherCandidate {
    /// The address of the dispatcher.
    pub address: DispatcherAddress,
    /// How its reachability is determined, and what is known of it now.
    pub kind: CandidateKind,
}

/// Provides the dispatchers for a service.
pub trait DispatcherList: fmt::Debug + Send + Sync + 'static {
    /// Returns the current dispatchers, most preferred first.
    fn ranked(&self, service: &ServiceName) -> Vec<DispatcherCandidate>;
}

/// The dispatchers that the settings list.
#[derive(Debug, Clone)]
pub struct ListedDispatchers(pub Vec<PeerAddress>);

impl DispatcherList for ListedDispatchers {
    fn ranked(&self, service: &ServiceName) -> Vec<DispatcherCandidate> {
        let names: Vec<InstanceName> = self.0.iter().map(|peer| peer.name.clone()).collect();
        let address = |name: &InstanceName| self.0.iter().find(|peer| peer.name == *name);
        let ranked = rank_candidates(service, &names);
        let candidate = |peer: &PeerAddress| DispatcherCandidate {
            address: DispatcherAddress::Remote(peer.address),
            kind: CandidateKind::Probed,
        };
        ranked.iter().filter_map(address).map(candidate).collect()
    }
}
