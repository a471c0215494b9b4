use std::{net::SocketAddr, rc::Rc};

use base::FastMap;
use organisations::{ApiKey, Lookup};
use succession::{OrganisationShare, Placement, PlacementCarrier};

use crate::data::context::Context;

/// Who serves a session.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Place {
    /// This daemon, which is a carrier.
    Here,
    /// The carrier with this session address.
    Carrier(SocketAddr),
}

/// The carriers of an organisation's sessions with a group.
#[derive(Debug)]
pub(super) struct CarrierOrder {
    pub(super) organisation: String,
    pub(super) group: String,
    /// The carrier that would be preferred if all carriers were healthy.
    pub(super) preferred: Option<Place>,
    /// The healthy carriers, in order of preference.
    pub(super) places: Vec<Place>,
}

/// The orders that were computed since the carriers or the configuration changed last, by
/// organisation and group.
#[derive(Debug, Default)]
pub(super) struct CarrierOrders {
    /// Number of changes so far.
    pub(super) generation: u64,
    by_organisation: FastMap<String, FastMap<String, Rc<CarrierOrder>>>,
}

impl CarrierOrders {
    /// Forgets all orders, because the carriers or the configuration have changed.
    pub(super) fn clear(&mut self) {
        self.generation += 1;
        self.by_organisation.clear();
    }
}

impl Context {
    /// Whether sessions are placed on carriers by their organisations.
    pub(super) fn places_sessions(&self) -> bool {
        self.carriers.borrow().placement.is_some()
    }

    /// Number of changes of the carriers and of the configuration so far.
    pub(super) fn placement_generation(&self) -> u64 {
        self.orders.borrow().generation
    }

    /// The carriers of a session; `None` if the sessions of the database or of the key are not
    /// placed, or if no carrier is healthy. The configuration may be outdated: the result is only a
    /// preference.
    pub(super) fn carrier_order(&self, database: &str, key: &ApiKey) -> Option<Rc<CarrierOrder>> {
        let choice = self.carriers.borrow();
        let carriers = choice.placement.as_deref()?;
        let config = self.config.borrow();
        let config = config.as_ref()?;
        let group = &config.routes.iter().find(|route| route.database == database)?.group;
        let Lookup::Found(organisation) = config.organisations.lookup(key) else { return None };
        let mut orders = self.orders.borrow_mut();
        let known = orders.by_organisation.get(&organisation.name);
        if let Some(order) = known.and_then(|orders| orders.get(group)) {
            return (!order.places.is_empty()).then(|| Rc::clone(order));
        }
        let share = OrganisationShare {
            name: &organisation.name,
            rate: organisation.limit.map_or(0.0, |limit| limit.per_second),
            total_rate: config.organisations.total_rate(),
        };
        let placement = Placement::new(&share, group);
        let place = |carrier: &PlacementCarrier| match carrier.vm == self.vm {
            true => choice.is_carrier.then_some(Place::Here),
            false => Some(Place::Carrier(carrier.sessions)),
        };
        let order = Rc::new(CarrierOrder {
            organisation: organisation.name.clone(),
            group: group.clone(),
            preferred: placement.preferred(carriers).and_then(place),
            places: placement.order(carriers).into_iter().filter_map(place).collect(),
        });
        let by_group = orders.by_organisation.entry(organisation.name.clone()).or_default();
        by_group.insert(group.clone(), Rc::clone(&order));
        (!order.places.is_empty()).then_some(order)
    }

    /// Whether a session that is relayed may stay with the carrier with this session address.
    pub(super) fn may_stay(&self, sessions: SocketAddr) -> bool {
        let choice = self.carriers.borrow();
        match &choice.placement {
            None => choice.preferred.contains(&sessions),
            Some(carriers) => {
                let mut healthy = carriers.iter().filter(|carrier| carrier.is_healthy());
                healthy.any(|carrier| carrier.sessions == sessions)
            }
        }
    }
}
