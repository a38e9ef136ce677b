//! A TCP relay that simulates network partitions.

use async_std::io;
use async_std::net::{TcpListener, TcpStream};
use async_std::stream::StreamExt;
use async_std::task;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// Forwards connections to a target while it isn't partitioned.
#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    is_partitioned: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Relay {
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> Relay {
        let listener = TcpListener::bind(listen).await.expect("the relay binds");
        let address = listener.local_addr().expect("the relay is bound");
        let relay = Relay { address, is_partitioned: Arc::default(), streams: Arc::default() };
        let serving = relay.clone();
        task::spawn(async move {
            let mut incoming = listener.incoming();
            while let Some(Ok(stream)) = incoming.next().await {
                if serving.is_partitioned.load(Ordering::SeqCst) {
                    continue;
                }
                let Ok(other) = TcpStream::connect(target).await else { continue };
                serving.streams.lock().expect("no holder panics").extend([stream.clone(), other.clone()]);
                forward(stream.clone(), other.clone());
                forward(other, stream);
            }
        });
        relay
    }

    /// Starts or ends a partition. Starting it shuts down all connections and drops new ones.
    pub fn set_partitioned(&self, is_partitioned: bool) {
        self.is_partitioned.store(is_partitioned, Ordering::SeqCst);
        if is_partitioned {
            for stream in self.streams.lock().expect("no holder panics").drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        }
    }
}

/// Copies data in one direction until the end of the stream.
fn forward(from: TcpStream, to: TcpStream) {
    task::spawn(async move {
        let _ = io::copy(&mut &from, &mut &to).await;
        let _ = to.shutdown(std::net::Shutdown::Both);
    });
}
