use std::sync::Arc;

use base::FastMap;

use crate::{ApiKey, MAX_KEY_BYTES, Organisation};

/// The organisations of a configuration, by their API keys.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    organisations: Vec<Arc<Organisation>>,
    by_key: FastMap<ApiKey, Holder>,
    total_rate: f64,
}

/// Whom an API key belongs to.
#[derive(Clone, Debug)]
pub enum Lookup<'a> {
    /// It belongs to this organisation.
    Found(&'a Arc<Organisation>),
    /// No organisation, or more than one, has it.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
enum Holder {
    One(usize),
    /// Several organisations claim the key, so that it identifies none of them.
    Ambiguous,
}

impl Directory {
    /// Creates a directory of organisations with their keys. Organisations whose name cannot be
    /// sent to members, and empty or overlong keys, are left out.
    pub fn new(entries: impl IntoIterator<Item = (Organisation, Vec<String>)>) -> Directory {
        let mut directory = Directory::default();
        let mut by_name: FastMap<String, usize> = FastMap::default();
        for (organisation, keys) in entries {
            if !Organisation::is_valid_name(&organisation.name) {
                continue;
            }
            let next = directory.organisations.len();
            let index = *by_name.entry(organisation.name.clone()).or_insert(next);
            if index == next {
                directory.total_rate += organisation.limit.map_or(0.0, |limit| limit.per_second);
                directory.organisations.push(Arc::new(organisation));
            }
            for key in keys.iter().filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES) {
                let holder = directory.by_key.entry(ApiKey::new(key)).or_insert(Holder::One(index));
                if !matches!(holder, Holder::One(known) if *known == index) {
                    *holder = Holder::Ambiguous;
                }
            }
        }
        directory
    }

    /// The organisation that a key belongs to.
    pub fn lookup(&self, key: &ApiKey) -> Lookup<'_> {
        match self.by_key.get(key) {
            Some(Holder::One(index)) => Lookup::Found(&self.organisations[*index]),
            Some(Holder::Ambiguous) | None => Lookup::Unknown,
        }
    }

    /// All keys, including those that identify no organisation.
    pub fn keys(&self) -> impl Iterator<Item = &ApiKey> {
        self.by_key.keys()
    }

    /// All organisations, in the order of the configuration.
    pub fn organisations(&self) -> &[Arc<Organisation>] {
        &self.organisations
    }

    /// Sum of the rates of all organisations, in operations per second.
    pub fn total_rate(&self) -> f64 {
        self.total_rate
    }
}
