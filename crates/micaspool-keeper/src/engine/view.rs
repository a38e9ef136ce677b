//! What the other tasks of the process read of the engine's state.

use crate::state::PlanDocument;
use async_std::channel::{Receiver, Sender};
use micaspool_halls::HallOrders;
use micaspool_quorum::QuorumStatus;
use micaspool_settings::apply::{self, SettingsUpdate};
use micaspool_types::Revision;

/// A copy of the parts of the engine's state that other tasks of the process read.
#[derive(Debug)]
pub struct KeeperView {
    /// The latest applied settings.
    pub settings: apply::SettingsState,
    /// The latest applied route plan.
    pub plan: PlanDocument,
    /// The latest applied data hall orders.
    pub halls: HallOrders,
    /// The state of the consensus state machine.
    pub status: QuorumStatus,
    /// The number of keys in the ledger.
    pub ledger_keys: usize,
    /// The size of the answers in the ledger, in bytes.
    pub ledger_answer_bytes: usize,
    /// The number of syncs since the files were opened.
    pub syncs: u64,
    /// Whether the engine has stopped.
    pub stopped: bool,
    pub(super) subscribers: Vec<Sender<()>>,
}

impl KeeperView {
    /// Returns a channel that receives a message after the settings, the plan, the hall orders, the
    /// membership or the confirmation by a majority have changed, and when the engine stops.
    pub fn subscribe(&mut self) -> Receiver<()> {
        let (sender, receiver) = async_std::channel::bounded(1);
        self.subscribers.push(sender);
        receiver
    }

    /// Returns the updates for a watcher that has revision `from`.
    pub fn updates_since(&self, from: Revision) -> Vec<SettingsUpdate> {
        self.settings.updates_since(from)
    }

    pub(super) fn notify(&mut self) {
        self.subscribers.retain(|subscriber| !subscriber.is_closed());
        for subscriber in &self.subscribers {
            let _ = subscriber.try_send(());
        }
    }
}
