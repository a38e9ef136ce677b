//! Exchanges delivered totals with the shards of other regions.

use crate::driver::{ShardHandle, ShardInput};
use crate::host::HostOptions;
use async_std::future::timeout;
use async_std::task;
use micaspool_dispatch::{rank_candidates, RegionTotals, ShardEvent};
use micaspool_settings::process::PeerAddress;
use micaspool_types::{InstanceName, ServiceName};
use micaspool_wire::convert::{region_totals, shared_totals_message};
use micaspool_wire::socket;
use micaspool_wire::v1::{dispatch_client::DispatchClient, SharedTotals};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tonic::transport::Channel;

/// The interval between exchanges.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// The timeout of one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum number of dispatchers of other regions to exchange with, those most likely to serve the shard first.
const MAX_PEERS: usize = 3;

/// Exchanges totals at intervals while routers use the shard, until the shard ends.
pub(crate) async fn share_totals(service: ServiceName, options: HostOptions, shard: ShardHandle) {
    let addresses = ranked_addresses(&service, &options.remote);
    let mut channels: HashMap<SocketAddr, Channel> = HashMap::new();
    while !addresses.is_empty() && !shard.inputs.is_closed() {
        task::sleep(EXCHANGE_INTERVAL).await;
        if !shard.is_used() {
            continue;
        }
        for address in &addresses {
            let message = shared_totals_message(&service, &own_totals(&options, &shard));
            match exchange(*address, &mut channels, &options, message).await {
                Some(answer) => apply_totals(&shard, answer).await,
                None => {
                    channels.remove(address);
                }
            }
        }
    }
}

/// Returns what this dispatcher's shard has delivered to each customer.
pub(crate) fn own_totals(options: &HostOptions, shard: &ShardHandle) -> RegionTotals {
    RegionTotals { region: options.region.clone(), incarnation: options.incarnation, totals: shard.totals() }
}

/// Passes the totals of another region to the shard; malformed ones are ignored.
pub(crate) async fn apply_totals(shard: &ShardHandle, message: SharedTotals) {
    if let Ok(totals) = region_totals(message) {
        let _ = shard.inputs.send(ShardInput::Event(Box::new(ShardEvent::Shared(totals)))).await;
    }
}

/// Returns the addresses of up to [`MAX_PEERS`] dispatchers, ranked by how likely they serve the shard.
fn ranked_addresses(service: &ServiceName, remote: &[PeerAddress]) -> Vec<SocketAddr> {
    let names: Vec<_> = remote.iter().map(|peer| peer.name.clone()).collect();
    let ranked = rank_candidates(service, &names);
    let address =
        |name: &InstanceName| remote.iter().find(|peer| peer.name == *name).map(|peer| peer.address);
    ranked.iter().filter_map(address).take(MAX_PEERS).collect()
}

async fn exchange(
    address: SocketAddr,
    channels: &mut HashMap<SocketAddr, Channel>,
    options: &HostOptions,
    message: SharedTotals,
) -> Option<SharedTotals> {
    let channel = match channels.get(&address) {
        Some(channel) => channel.clone(),
        None => {
            let channel = socket::connect(address, options.remote_counter.clone()).await.ok()?;
            channels.insert(address, channel.clone());
            channel
        }
    };
    let mut client = DispatchClient::new(channel);
    let reply = timeout(EXCHANGE_TIMEOUT, client.share(message)).await.ok()?.ok()?;
    Some(reply.into_inner()).filter(|answer| !answer.region.is_empty())
}
