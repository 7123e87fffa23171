//! The event loop of the decision thread: passes events to the node and executes the resulting actions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fescuewell_core::prelude::*;
use fescuewell_core::table;
use fescuewell_document::lookup::Index;
use fescuewell_node::event::{Action, Component, Event as NodeEvent};
use fescuewell_node::node::Node;
use fescuewell_node::state::Summary;
use fescuewell_placement::order::{Order, Response};

use crate::adapters::{BackendWork, Channels};
use crate::plane::{Plane, Published};

/// Interval at which state is published to the data plane.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of further events handled before checking whether state is due to be published.
const MAX_EVENTS_PER_PUBLISH_CHECK: usize = 256;

/// State of the decision thread.
pub struct EventLoop {
    /// The decision logic.
    pub node: Node,
    /// Clock of the node.
    pub clock: Arc<dyn Clock>,
    /// Events from all other threads.
    pub inbox: flume::Receiver<NodeEvent>,
    /// Receives verdicts and published state.
    pub plane: Arc<Plane>,
    /// Channels to the adapter threads.
    pub channels: Channels,
    /// Connections to other instances.
    pub transport: Arc<fescuewell_peer::Transport>,
    /// The latest summary, for operators.
    pub summary: Arc<arc_swap::ArcSwap<Summary>>,
}

impl EventLoop {
    /// Runs until the node requests an exit or all event senders are dropped.
    pub fn run(mut self) {
        let mut next_publish = Instant::default();
        loop {
            let Ok(event) = self.inbox.recv() else {
                return;
            };
            if self.handle(event) {
                return;
            }
            for _ in 0..MAX_EVENTS_PER_PUBLISH_CHECK {
                let Ok(event) = self.inbox.try_recv() else {
                    break;
                };
                if self.handle(event) {
                    return;
                }
            }
            let now = self.clock.now();
            if now >= next_publish {
                next_publish = now + PUBLISH_INTERVAL;
                self.publish();
            }
        }
    }

    /// Handles one event and returns whether the process should exit.
    fn handle(&mut self, event: NodeEvent) -> bool {
        let actions = self.node.handle(self.clock.now(), event);
        let mut exits = false;
        for action in actions {
            exits |= self.execute(action);
        }
        exits
    }

    fn execute(&mut self, action: Action) -> bool {
        match action {
            Action::Decide { ticket, verdict } => {
                self.plane.pending.deliver_verdict(ticket, verdict)
            }
            Action::Send {
                instance,
                address,
                message,
            } => {
                let to = fescuewell_peer::Address { instance, address };
                // A message that cannot be encoded counts as lost; the requesting side repeats it.
                if let Ok(payload) = postcard::to_stdvec(&message) {
                    self.transport.send(to, payload);
                }
            }
            Action::Table { component, step } => self.send_to_table(component, step),
            Action::Fetch { name } => self.channels.send_fetch(name),
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
                self.channels.send_backend(work);
            }
            Action::CancelStream {
                address, stream, ..
            } => {
                self.channels
                    .send_backend(BackendWork::Cancel { address, stream });
            }
            Action::Order { address, order, .. } => return self.send_order(address, order),
            Action::ApplyDocument { document, .. } => {
                self.channels.set_servers(&document);
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

    fn send_to_table(&mut self, component: Component, step: table::Step) {
        // Each component has at most one outstanding step and a channel of its own, so the channel is
        // never full; sending fails only if the table thread has stopped.
        if self.channels.send_table(component, step).is_err() {
            let reason = "the table thread has stopped".into();
            let reply = table::Reply::Failed(table::Error::Unreachable { reason });
            self.node
                .handle(self.clock.now(), NodeEvent::TableReply { component, reply });
        }
    }

    fn send_order(&mut self, address: SocketAddr, order: Order) -> bool {
        let created_at = self.clock.now();
        let work = BackendWork::Order {
            address,
            order: order.clone(),
            created_at,
        };
        if self.channels.send_order(work).is_ok() {
            return false;
        }
        // The order was certainly not sent. Without this report the planner would wait ten minutes for
        // the model to load.
        let response = Response::Refused;
        self.handle(NodeEvent::OrderResponse { order, response })
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
