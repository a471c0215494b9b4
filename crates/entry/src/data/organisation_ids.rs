use std::rc::Rc;

use base::{FastMap, OrganisationId};

/// Identifiers of organisations within this process, by name. There are as many as names have
/// occurred in the configurations.
#[derive(Debug, Default)]
pub(crate) struct OrganisationIds {
    ids: FastMap<Rc<str>, OrganisationId>,
    /// The name of the identifier with the number `index + 1`.
    names: Vec<Rc<str>>,
}

impl OrganisationIds {
    /// The identifier of an organisation; a new name gets the next free one.
    pub(crate) fn id(&mut self, name: &str) -> OrganisationId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let name: Rc<str> = name.into();
        self.names.push(Rc::clone(&name));
        // The number 0 is that of `OrganisationId::SHARED`.
        let id = OrganisationId::new(self.names.len() as u32);
        self.ids.insert(name, id);
        id
    }

    /// The name of an organisation; `None` for [`OrganisationId::SHARED`].
    pub(crate) fn name(&self, id: OrganisationId) -> Option<Rc<str>> {
        let index = id.number().checked_sub(1)?;
        self.names.get(index as usize).cloned()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a connection that is opened under the name of another organisation.
    #[test]
    fn names_and_identifiers_correspond() {
        let mut ids = OrganisationIds::default();
        let (alpha, beta) = (ids.id("alpha"), ids.id("beta"));
        assert_eq!((ids.id("alpha"), ids.id("beta")), (alpha, beta));
        assert_ne!(alpha, beta);
        assert_eq!(ids.name(alpha).as_deref(), Some("alpha"));
        assert_eq!(ids.name(beta).as_deref(), Some("beta"));
        assert_eq!(ids.name(OrganisationId::SHARED), None);
        assert!(!alpha.is_shared());
    }
}
