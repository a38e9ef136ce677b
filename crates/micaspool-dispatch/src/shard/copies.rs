//! Counts the waiting and running copies of each request.

use super::endpoints::EndpointIndex;
use foldhash::HashMap;
use micaspool_types::RequestDigest;

/// The copies of each request by its digest, kept for all requests. Searching 16,000 running requests
/// on 320 engines takes some 90 us per ticket of a doubted or suspected request, and the crash of many
/// engines makes thousands of requests doubted at once.
#[derive(Debug, Default)]
pub(super) struct CopyCounts {
    waiting: HashMap<RequestDigest, u32>,
    running: HashMap<RequestDigest, Vec<EndpointIndex>>,
}

impl CopyCounts {
    pub fn begin_waiting(&mut self, digest: Option<RequestDigest>) {
        if let Some(digest) = digest {
            *self.waiting.entry(digest).or_default() += 1;
        }
    }

    pub fn end_waiting(&mut self, digest: Option<RequestDigest>) {
        let Some(digest) = digest else { return };
        let Some(count) = self.waiting.get_mut(&digest) else { return };
        *count -= 1;
        if *count == 0 {
            self.waiting.remove(&digest);
        }
    }

    pub fn begin_running(&mut self, digest: Option<RequestDigest>, endpoint: EndpointIndex) {
        if let Some(digest) = digest {
            self.running.entry(digest).or_default().push(endpoint);
        }
    }

    pub fn end_running(&mut self, digest: Option<RequestDigest>, endpoint: EndpointIndex) {
        let Some(digest) = digest else { return };
        let Some(endpoints) = self.running.get_mut(&digest) else { return };
        if let Some(place) = endpoints.iter().position(|other| *other == endpoint) {
            endpoints.swap_remove(place);
        }
        if endpoints.is_empty() {
            self.running.remove(&digest);
        }
    }

    pub fn is_waiting(&self, digest: RequestDigest) -> bool {
        self.waiting.contains_key(&digest)
    }

    pub fn is_running(&self, digest: RequestDigest) -> bool {
        self.running.contains_key(&digest)
    }

    /// The endpoints on which copies of a request run.
    pub fn running_on(&self, digest: RequestDigest) -> &[EndpointIndex] {
        self.running.get(&digest).map(Vec::as_slice).unwrap_or_default()
    }
}
