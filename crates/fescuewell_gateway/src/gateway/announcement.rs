//! Announcements of long prompts that this instance places.

use std::sync::Arc;

use fescuewell_forward::choice::announcement;

use super::Gateway;

impl Gateway {
    /// Returns `true` if a prompt for a service is announced to other instances.
    pub fn is_prompt_announced(&self, service: &str, uncached_tokens: u64) -> bool {
        if uncached_tokens < announcement::MIN_TOKENS || self.settings.peer.is_none() {
            return false;
        }
        let table = self.table();
        table.is_some_and(|table| table.is_gap_sensitive(service))
    }

    /// Registers a request at a server, and announces its prompt if `is_announced`.
    pub fn begin_request(&self, server: &Arc<str>, uncached_tokens: u64, is_announced: bool) {
        let is_queued = self
            .state()
            .begin_request(server, uncached_tokens, is_announced);
        if !is_queued {
            self.metrics.count_announcements("dropped", 1);
        }
        if is_announced {
            self.prompt_placed.notify_one();
        }
        self.notify_load_changed();
    }

    /// Waits until a prompt that is announced has been placed.
    pub async fn prompt_placed(&self) {
        self.prompt_placed.notified().await;
    }
}
