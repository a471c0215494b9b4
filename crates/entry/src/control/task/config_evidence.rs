//! Evidence of how recent the configuration is, passed on between carriers by other daemons.

use std::net::SocketAddr;

use base::{Span, Time};
use succession::Copied;

use super::Control;
use crate::control::{coordinator::encode, heartbeat::Heartbeat};

/// Percentage of the time for which a revoked API key may be used after which a carrier that has no
/// newer evidence is told. Carriers have then tried to get it from the store and from each other.
const EVIDENCE_DUE_PERCENT: u64 = 60;

impl Control {
    /// A daemon that is no carrier records what a carrier says of its copy of the configuration, and
    /// answers with evidence if the carrier's is old. A carrier applies such evidence.
    pub(super) fn handle_config_evidence(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
        from: SocketAddr,
    ) {
        let Some(limit) = self.settings.revocation_limit else { return };
        let asked_at = self.peers.asked_at(self.run, heartbeat);
        if self.carries {
            let (Some(copy), Some(asked_at)) = (heartbeat.relayed_copy(), asked_at) else { return };
            self.copies.relay_answered(Copied::Config, asked_at, copy);
            self.observe_newer_config(now, copy.newest, &heartbeat.from, from);
            return;
        }
        if !heartbeat.carries || heartbeat.number == 0 {
            return;
        }
        let copy = heartbeat.copies()[Copied::Config as usize];
        if let Some(asked_at) = asked_at {
            self.evidence_relay.observe(asked_at, copy);
        }
        let due = Span::from_micros(limit.as_micros() * EVIDENCE_DUE_PERCENT / 100);
        let carrier = &heartbeat.from;
        let Some(evidence) = self.evidence_relay.evidence_for(now, carrier, copy, due) else {
            return;
        };
        let mut answer = self.new_heartbeat(0, (heartbeat.number, heartbeat.run), &[]);
        answer.config_evidence = evidence.age.map(|age| (evidence.newest, age.as_millis()));
        logs::event(
            "evidence of the configuration sent",
            &serde_json::json!({"carrier": carrier, "version": evidence.newest,
                "age_ms": evidence.age.map(Span::as_millis),
                "their_age_ms": copy.age.map(Span::as_millis)}),
        );
        // A failed send is a lost datagram, which the protocol tolerates.
        let _ = self.socket.try_send_to(&encode(&answer), from);
    }
}
