//! Resolves the names of instances to addresses.

use micaspool_settings::process::PeerAddress;
use micaspool_types::InstanceName;
use std::fmt;
use std::net::{IpAddr, SocketAddr};

/// Resolves the name of an instance to its address.
pub trait PeerDirectory: fmt::Debug + Send + Sync + 'static {
    /// Returns the address at which the instance listens for other processes, or `None` if it is unknown.
    fn address(&self, name: &InstanceName) -> Option<SocketAddr>;
}

/// A directory of the instances listed in the settings.
#[derive(Debug, Clone)]
pub struct StaticDirectory(pub Vec<PeerAddress>);

impl PeerDirectory for StaticDirectory {
    fn address(&self, name: &InstanceName) -> Option<SocketAddr> {
        self.0.iter().find(|peer| peer.name == *name).map(|peer| peer.address)
    }
}

/// A directory of instances that are named by their IP address and listen on the same port, for a fleet without a
/// list of its members.
#[derive(Debug, Clone, Copy)]
pub struct AddressDirectory {
    /// The port at which all instances listen.
    pub port: u16,
}

impl AddressDirectory {
    /// Returns the name of the instance with this address, or `None` if the address is not a valid name.
    pub fn name(ip: IpAddr) -> Option<InstanceName> {
        InstanceName::parse(&ip.to_string()).ok()
    }
}

impl PeerDirectory for AddressDirectory {
    fn address(&self, name: &InstanceName) -> Option<SocketAddr> {
        let ip: IpAddr = name.as_str().parse().ok()?;
        Some(SocketAddr::new(ip, self.port))
    }
}
