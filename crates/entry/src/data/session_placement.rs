//! Moves a session to the carrier that its organisation's sessions with a group are placed on. A
//! session of a deployment without organisations stays where it has started.

use std::{net::SocketAddr, rc::Rc};

use adapter::Code;
use base::{Span, Time};
use serde_json::{Value, json};

use crate::{
    clock,
    data::{
        carrier_orders::{CarrierOrder, Place},
        member_conn::MemberError,
        session::Session,
    },
    shared::Counter,
};

/// Maximum number of carriers that are tried to place a session. If none of them can be reached, a
/// carrier serves the session itself, and another daemon tries any carrier.
const MAX_ATTEMPTS: u32 = 2;
/// How long a session does not try to move again to a carrier that has refused it. The carrier
/// serves others, so that its health does not show this.
const REFUSED_RETRY_INTERVAL: Span = Span::from_millis(2_000);

/// What a session knows of its placement.
#[derive(Debug, Default)]
pub(crate) struct SessionPlacement {
    /// The carriers of the session as of a generation of [`CarrierOrders`].
    ///
    /// [`CarrierOrders`]: crate::data::carrier_orders::CarrierOrders
    known: Option<(u64, Option<Rc<CarrierOrder>>)>,
    /// Who served the session when that was last determined.
    last: Option<Place>,
    /// Carriers that could not be reached or refused the session, and until when it avoids them.
    avoided: Vec<(SocketAddr, Time)>,
}

impl SessionPlacement {
    /// Records that a carrier could not be reached or has refused the session.
    pub(super) fn avoid(&mut self, now: Time, sessions: SocketAddr) {
        self.avoided.retain(|(addr, until)| *addr != sessions && now < *until);
        self.avoided.push((sessions, now + REFUSED_RETRY_INTERVAL));
    }

    /// Whether the session avoids a carrier at present.
    pub(super) fn avoids(&self, now: Time, sessions: SocketAddr) -> bool {
        self.avoided.iter().any(|(addr, until)| *addr == sessions && now < *until)
    }
}

impl Session {
    /// The carriers of the session; `None` if it is not placed.
    pub(super) fn carrier_order(&mut self) -> Option<Rc<CarrierOrder>> {
        let generation = self.cx.placement_generation();
        if let Some((known_generation, order)) = &self.placement.known
            && *known_generation == generation
        {
            return order.clone();
        }
        let order = self.cx.carrier_order(&self.database, &self.key);
        self.placement.known = Some((generation, order.clone()));
        order
    }

    /// Moves the session to the carrier that it is placed on, between two operations; to the next
    /// one in order if that carrier refuses it or cannot be reached. The error is that of a carrier
    /// which denies the database or the API key to a session that has no carrier.
    ///
    /// A session that another daemon relays stays, so that there is at most one hop.
    pub(super) async fn follow_placement(&mut self) -> Result<(), (Code, String)> {
        if self.is_relayed_here || !self.cx.places_sessions() {
            return Ok(());
        }
        let Some(order) = self.carrier_order() else {
            // A daemon that has lost its carrier slot cannot serve the session any more.
            self.relayed |= !self.cx.is_carrier();
            return Ok(());
        };
        let mut attempts = 0;
        for place in &order.places {
            if attempts >= MAX_ATTEMPTS {
                break;
            }
            let from = self.is_started.then(|| self.place()).flatten();
            match *place {
                _ if from == Some(*place) => {
                    self.record_place(*place, &order, attempts);
                    return Ok(());
                }
                Place::Here => {
                    self.serve_here();
                    self.record_place(*place, &order, attempts);
                    return Ok(());
                }
                Place::Carrier(sessions) if self.placement.avoids(clock::now(), sessions) => {}
                Place::Carrier(sessions) => match self.open_at_carrier(sessions).await {
                    Ok(()) => {
                        self.relayed = true;
                        self.record_place(*place, &order, attempts);
                        return Ok(());
                    }
                    Err(MemberError::Refused {
                        code: code @ (Code::NoDatabase | Code::NoAuth),
                        text,
                    }) if from.is_none() => return Err((code, text)),
                    // The present carrier checks the database and the key at each statement.
                    Err(_) => attempts += 1,
                },
            }
        }
        if self.cx.is_carrier() && self.relayed {
            self.serve_here();
            self.record_place(Place::Here, &order, attempts);
        }
        self.relayed |= !self.cx.is_carrier();
        Ok(())
    }

    /// Who serves the session at present; `None` if it is relayed and has no usable connection.
    fn place(&mut self) -> Option<Place> {
        if self.relayed {
            self.relay.usable_carrier().map(Place::Carrier)
        } else {
            self.cx.is_carrier().then_some(Place::Here)
        }
    }

    pub(super) fn serve_here(&mut self) {
        self.relayed = false;
        self.relay.close();
    }

    /// Records who serves the session. Counts and logs it if the session has moved, or has started
    /// elsewhere than at its preferred carrier. `failed` is the number of carriers that could not be
    /// reached or have refused it.
    pub(super) fn record_place(&mut self, place: Place, order: &CarrierOrder, failed: u32) {
        let previous = self.placement.last.replace(place);
        let is_preferred = order.preferred == Some(place);
        if previous == Some(place) || (!self.is_started && is_preferred) {
            return;
        }
        let reason = match (is_preferred, failed) {
            (true, _) => "the preferred carrier is healthy again, or the preference has changed",
            (false, 0) => "the preferred carrier is not healthy",
            (false, _) => "a preferred carrier could not be reached or refused the session",
        };
        let (event, counter) = if self.is_started {
            ("session moved", Counter::SessionsMoved)
        } else {
            ("session not at preferred carrier", Counter::SessionsNotPreferred)
        };
        self.cx.shared.count(counter);
        logs::event(
            event,
            &json!({"database": self.database, "organisation": order.organisation,
                "group": order.group, "from": self.describe(previous), "to": self.describe(Some(place)),
                "preferred": self.describe(order.preferred), "reason": reason}),
        );
    }

    fn describe(&self, place: Option<Place>) -> Value {
        match place {
            None => Value::Null,
            Some(Place::Here) => self.cx.vm.as_str().into(),
            Some(Place::Carrier(sessions)) => sessions.to_string().into(),
        }
    }
}
