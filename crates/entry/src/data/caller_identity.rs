use std::sync::Arc;

use adapter::{Code, Route};
use base::{Span, Time};
use monoio::time;
use organisations::{ApiKey, Lookup, Organisation};

use crate::{
    clock,
    control::Event,
    data::{
        context::Context,
        member_conn::Answer,
        session::{CONFIRMATION_CHECK_INTERVAL, DENIAL_TIMEOUT, Session, Transaction},
    },
    messages::{REVOCATION_MARGIN, Report},
    organisation_metrics::OrganisationCounter,
    shared::Counter,
};

/// Error text of a statement whose API key may have been revoked meanwhile; the caller may succeed
/// at another daemon.
const OUTDATED_EVIDENCE: &str = "this daemon cannot tell at present whether the API key is valid";

/// Error text for an API key that no organisation has, or has no longer.
const UNKNOWN_KEY: &str = "the API key is unknown";

/// Result of looking up a caller's API key.
#[derive(Clone, Debug)]
pub(super) enum Authentication {
    /// The caller belongs to the organisation; to none if the deployment has no organisations, or
    /// if the database is public and the key unknown.
    Valid(Option<Arc<Organisation>>),
    /// The configuration in force does not have the key.
    Unknown,
    /// The key may have been revoked by a configuration that this daemon does not know.
    Outdated,
}

impl Context {
    /// Looks up a caller's API key for a database with this route, in the configuration in force.
    pub(super) fn authenticate(&self, key: &ApiKey, route: &Route) -> Authentication {
        let config = self.config.borrow();
        let Some(config) = config.as_ref() else { return Authentication::Outdated };
        if !self.keys.are_required && !config.requires_keys {
            return Authentication::Valid(None);
        }
        match config.organisations.lookup(key) {
            Lookup::Found(_) if !self.is_key_evidence_recent(clock::now()) => {
                Authentication::Outdated
            }
            Lookup::Found(organisation) => Authentication::Valid(Some(Arc::clone(organisation))),
            Lookup::Unknown if route.is_public => Authentication::Valid(None),
            Lookup::Unknown => Authentication::Unknown,
        }
    }

    /// Whether a key that the configuration in force does not have may be denied to a caller who has
    /// presented it at `asked_at`: it has been revoked, or no later configuration had been accepted
    /// by then which might have it.
    fn may_deny(&self, key: &ApiKey, asked_at: Time) -> bool {
        let is_confirmed = || self.shared.config_confirmed_at().is_some_and(|at| at >= asked_at);
        self.is_config_recent() && (self.revoked_keys.borrow().contains(key) || is_confirmed())
    }

    /// Whether the configuration was known to be the newest one so recently that a key which it has
    /// may be used.
    fn is_key_evidence_recent(&self, now: Time) -> bool {
        let Some(limit) = self.keys.revocation_limit else { return true };
        let confirmed_at = self.shared.config_confirmed_at();
        confirmed_at.is_some_and(|at| now.since(at) + REVOCATION_MARGIN < limit)
    }
}

/// Time after a carrier last told of its configuration for which a relay takes its own for the newest:
/// two heartbeats.
const CARRIER_CONFIG_MAX_AGE: Span = Span::from_millis(500);

impl Session {
    /// Determines the organisation of the session's caller; the error is the answer to the caller.
    /// An unknown key is denied only once the configuration is known to be recent.
    pub(super) async fn identify(
        &self,
        route: &Route,
    ) -> Result<Option<Arc<Organisation>>, (Code, &'static str)> {
        let asked_at = clock::now();
        let end = asked_at + DENIAL_TIMEOUT;
        loop {
            match self.cx.authenticate(&self.key, route) {
                Authentication::Valid(organisation) => {
                    if organisation.is_some() {
                        self.last_identity.replace(organisation.clone());
                    }
                    return Ok(organisation);
                }
                Authentication::Unknown if self.cx.may_deny(&self.key, asked_at) => {
                    self.cx.shared.count(Counter::UnknownKeys);
                    return Err((Code::NoAuth, UNKNOWN_KEY));
                }
                Authentication::Unknown | Authentication::Outdated => {}
            }
            if clock::now() >= end {
                self.cx.shared.count(Counter::KeysInDoubt);
                if let Some(organisation) = self.known_organisation() {
                    let counter = OrganisationCounter::RefusedKey;
                    self.cx.shared.count_for(&organisation.name, counter);
                }
                return Err((self.elsewhere_code(), OUTDATED_EVIDENCE));
            }
            // Fails only during shutdown.
            let _ = self.cx.events.unbounded_send(Event::Data(Report::ConfigInDoubt));
            time::sleep(CONFIRMATION_CHECK_INTERVAL).await;
        }
    }

    /// Checks the key for a statement that this daemon answers by itself. The error is the answer to
    /// the caller if the key has been revoked.
    pub(super) async fn check_key(&mut self) -> Result<(), &'static str> {
        if self.relayed {
            let has_keys = self.cx.has_organisations() || self.cx.places_sessions();
            let is_denied =
                has_keys && !self.is_key_in_force() && self.is_denied_by_carrier().await;
            return if is_denied { Err(UNKNOWN_KEY) } else { Ok(()) };
        }
        if !self.cx.has_organisations() {
            return Ok(());
        }
        let route = match &self.tx {
            Transaction::Open(open) => Some(open.route.clone()),
            _ => self.cx.route(&self.database).map(|(route, _)| route),
        };
        let Some(route) = route else { return Ok(()) };
        if !matches!(self.cx.authenticate(&self.key, &route), Authentication::Unknown) {
            return Ok(());
        }
        let revoked = self.cx.may_deny(&self.key, clock::now());
        if revoked { Err(UNKNOWN_KEY) } else { Ok(()) }
    }

    /// Whether the configuration in force has the API key, and no carrier has told of a newer one.
    /// Carriers tell of a new configuration at once, and with each heartbeat.
    fn is_key_in_force(&self) -> bool {
        let (version, heard_at) = self.cx.shared.carrier_config();
        let is_newest = self.cx.config_version().is_some_and(|own| own >= version);
        if !is_newest || clock::now().since(heard_at) >= CARRIER_CONFIG_MAX_AGE {
            return false;
        }
        let route = self.cx.route(&self.database);
        route.is_some_and(|(route, _)| {
            !matches!(self.cx.authenticate(&self.key, &route), Authentication::Unknown)
        })
    }

    /// Whether the carrier of a relayed session denies the API key. The copy of the configuration
    /// may be a second old here, within which statements of a revoked key would be confirmed.
    async fn is_denied_by_carrier(&mut self) -> bool {
        let in_transaction = matches!(self.tx, Transaction::Relayed { .. });
        let carrier = self.relay.usable_carrier();
        let may_ask = in_transaction || carrier.is_some_and(|it| self.cx.may_stay(it));
        if let Some(conn) = self.relay.conn().filter(|_| may_ask) {
            match conn.check_key().await {
                Ok(Answer { result: Ok(_), .. }) => return false,
                Ok(Answer { result: Err((Code::NoAuth, _)), .. }) => return true,
                // With an error, the carrier has rolled back an open transaction.
                Ok(_) => self.relay.close(),
                Err(_) => self.drop_carrier(),
            }
        }
        // The transaction is lost with its connection, as the next statement shows. A new one would
        // run that statement outside a transaction.
        if in_transaction {
            return false;
        }
        // A carrier checks the key when the session is opened.
        matches!(self.connect_to_carrier().await, Err((Code::NoAuth, _)))
    }

    /// Whether a statement that was queued for `organisation` may still start.
    pub(super) fn may_still_start(
        &self,
        organisation: Option<&Arc<Organisation>>,
        route: &Route,
    ) -> bool {
        let Some(organisation) = organisation else { return true };
        let Authentication::Valid(Some(present)) = self.cx.authenticate(&self.key, route) else {
            return false;
        };
        present.name == organisation.name
    }

    /// The organisation of the session's caller for logs and metrics: by the present configuration,
    /// however old, or else the one that the caller last ran a statement for.
    pub(super) fn known_organisation(&self) -> Option<Arc<Organisation>> {
        if let Some(config) = self.cx.config.borrow().as_ref()
            && let Lookup::Found(organisation) = config.organisations.lookup(&self.key)
        {
            return Some(Arc::clone(organisation));
        }
        self.last_identity.borrow().clone()
    }

    /// The code for a statement that this daemon cannot run at present: it makes a daemon that
    /// relays the session try another carrier, and tells a caller to come back.
    fn elsewhere_code(&self) -> Code {
        if self.is_relayed_here { Code::ReadOnly } else { Code::Busy }
    }
}
