use std::{rc::Rc, sync::Arc};

use crate::{organisation_metrics::OrganisationCounter, shared::Shared};

/// Counts an open connection to a member for its organisation, for as long as it exists.
#[derive(Debug)]
pub(super) struct OrganisationConn {
    shared: Arc<Shared>,
    organisation: Rc<str>,
}

impl OrganisationConn {
    pub(super) fn new(shared: Arc<Shared>, organisation: Rc<str>) -> OrganisationConn {
        shared.organisations().connection_opened(&organisation);
        OrganisationConn { shared, organisation }
    }

    /// Counts that the connection is closed for the benefit of another organisation.
    pub(super) fn count_eviction(&self) {
        self.shared.count_for(&self.organisation, OrganisationCounter::ConnectionsEvicted);
    }
}

impl Drop for OrganisationConn {
    fn drop(&mut self) {
        self.shared.organisations().connection_closed(&self.organisation);
    }
}
