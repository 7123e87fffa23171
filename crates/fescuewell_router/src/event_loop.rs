//! The decision thread: takes events from its ring, asks the node, carries its actions to adapters.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_core::table;
use fescuewell_document::lookup::Index;
use fescuewell_node::event::{Action, Duty, Event as NodeEvent};
use fescuewell_node::node::Node;
use fescuewell_node::state::Summary;
use fescuewell_placement::order::{Order, Response};

use crate::adapters::{BackendWork, Rings};
use crate::plane::{Plane, Published};

/// Time between two publications of the fleet's view for the data plane.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(200);
/// Events taken from the ring before the publication is looked at again.
const BURST: usize = 256;

/// What the decision thread works with.
pub struct Brain {
    /// The decisions.
    pub node: Node,
    /// Present time.
    pub clock: Arc<dyn Clock>,
    /// Events from everywhere.
    pub inbox: flume::Receiver<NodeEvent>,
    /// Where verdicts and the view go.
    pub plane: Arc<Plane>,
    /// Where work goes.
    pub rings: Rings,
    /// Peers.
    pub transport: Arc<fescuewell_peer::Transport>,
    /// The newest summary, for operators.
    pub summary: Arc<arc_swap::ArcSwap<Summary>>,
}

impl Brain {
    /// Runs until the node says that nothing is left to do, or every sender is gone.
    pub fn run(mut self) {
        let mut publish_at = Instant::default();
        loop {
            let Ok(event) = self.inbox.recv() else {
                return;
            };
            if self.take(event) {
                return;
            }
            for _ in 0..BURST {
                let Ok(event) = self.inbox.try_recv() else {
                    break;
                };
                if self.take(event) {
                    return;
                }
            }
            let now = self.clock.now();
            if now >= publish_at {
                publish_at = now + PUBLISH_INTERVAL;
                self.publish();
            }
        }
    }

    /// Returns whether the process is to end.
    fn take(&mut self, event: NodeEvent) -> bool {
        let actions = self.node.handle(self.clock.now(), event);
        let mut ends = false;
        for action in actions {
            ends |= self.carry_out(action);
        }
        ends
    }

    fn carry_out(&mut self, action: Action) -> bool {
        match action {
            Action::Decide { ticket, verdict } => self.plane.desk.hand_out(ticket, verdict),
            Action::Send {
                instance,
                address,
                message,
            } => {
                let to = fescuewell_peer::Address { instance, address };
                // A message that cannot be sent is lost like any other; its sender asks again.
                if let Ok(payload) = postcard::to_stdvec(&message) {
                    self.transport.send(to, payload);
                }
            }
            Action::Table { duty, step } => self.give_to_table(duty, step),
            Action::Fetch { name } => self.rings.give_fetch(name),
            Action::ListStreams {
                server,
                address,
                holder,
            } => {
                let is_engine = self.node.is_engine(&server);
                let work = BackendWork::ListStreams {
                    server,
                    address,
                    holder,
                    is_engine,
                };
                self.rings.give_backend(work);
            }
            Action::CancelStream {
                address, stream, ..
            } => {
                self.rings
                    .give_backend(BackendWork::Cancel { address, stream });
            }
            Action::Order { address, order, .. } => return self.give_order(address, order),
            Action::InForce { document, .. } => {
                self.rings.set_servers(&document);
                self.plane.index.store(Arc::new(Index::new(document)));
                self.publish();
            }
            Action::StopListening => self.publish(),
            Action::Exit => return true,
            Action::Log { event, text } => {
                self.plane.metrics.count_event(event);
                fescuewell_core::log_event!(event, "{text}");
            }
        }
        false
    }

    fn give_to_table(&mut self, duty: Duty, step: table::Step) {
        // Each duty has one step outstanding and a ring of its own, so that there is always room.
        if self.rings.give_table(duty, step).is_err() {
            let reason = "the table's thread is gone".into();
            let reply = table::Reply::Failed(table::Error::Unreachable { reason });
            self.node
                .handle(self.clock.now(), NodeEvent::Table { duty, reply });
        }
    }

    fn give_order(&mut self, address: SocketAddr, order: Order) -> bool {
        let given = self.clock.now();
        let work = BackendWork::Order {
            address,
            order: order.clone(),
            given,
        };
        if self.rings.give_order(work).is_ok() {
            return false;
        }
        // It was certainly not sent. Were that not said, the planner would wait ten minutes for a load.
        let answer = Response::Refused;
        self.take(NodeEvent::Ordered { order, answer })
    }

    fn publish(&mut self) {
        let published = Published {
            view: self.node.view().clone(),
            is_ready: self.node.is_ready(),
            is_draining: self.node.is_draining(),
        };
        self.plane.published.store(Arc::new(published));
        self.summary.store(Arc::new(self.node.summary()));
    }
}
