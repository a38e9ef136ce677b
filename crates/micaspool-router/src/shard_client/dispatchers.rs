//! The dispatchers that a router may speak to.

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

/// The messages of a dispatcher.
pub type MessageStream = Pin<Box<dyn Stream<Item = Result<DispatcherMessage, Status>> + Send>>;

/// A dispatcher inside this process.
#[async_trait]
pub trait LocalDispatcher: fmt::Debug + Send + Sync + 'static {
    /// Opens a session; the router's messages come from the channel, the hello first.
    async fn open(&self, messages: Receiver<RouterMessage>) -> Option<MessageStream>;
}

/// Where a dispatcher is.
#[derive(Clone, Debug)]
pub enum DispatcherAddress {
    /// Another process.
    Remote(SocketAddr),
    /// This process.
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

/// A dispatcher, and how it is known whether it answers.
#[derive(Clone, Debug)]
pub struct DispatcherCandidate {
    /// Where it is.
    pub address: DispatcherAddress,
    /// How it is known whether it answers, and what is known now.
    pub kind: CandidateKind,
}

/// Gives the dispatchers for a service.
pub trait DispatcherList: fmt::Debug + Send + Sync + 'static {
    /// The dispatchers as of now, the first choice first.
    fn ranked(&self, service: &ServiceName) -> Vec<DispatcherCandidate>;
}

/// Dispatchers that the settings list.
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
