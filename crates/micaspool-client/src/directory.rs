//! Where the instances of the system listen for each other.

use micaspool_settings::process::PeerAddress;
use micaspool_types::InstanceName;
use std::fmt;
use std::net::{IpAddr, SocketAddr};

/// Gives the address of an instance by its name.
pub trait PeerDirectory: fmt::Debug + Send + Sync + 'static {
    /// Where the instance listens for other processes; `None` when that can't be known.
    fn address(&self, name: &InstanceName) -> Option<SocketAddr>;
}

/// Instances that the settings list.
#[derive(Debug, Clone)]
pub struct StaticDirectory(pub Vec<PeerAddress>);

impl PeerDirectory for StaticDirectory {
    fn address(&self, name: &InstanceName) -> Option<SocketAddr> {
        self.0.iter().find(|peer| peer.name == *name).map(|peer| peer.address)
    }
}

/// Instances that are named by their IP address and all listen on the same port, in a fleet without
/// a list of its members.
#[derive(Debug, Clone, Copy)]
pub struct AddressDirectory {
    /// The port.
    pub port: u16,
}

impl AddressDirectory {
    /// The name of the instance with this address.
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
