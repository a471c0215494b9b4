/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Identity of an organisation in heartbeats: the 64-bit FNV-1a hash of its name, which is the same
/// on all machines and in all versions.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub struct OrganisationKey(u64);

impl OrganisationKey {
    /// Hashes the organisation's name.
    pub fn new(name: &str) -> OrganisationKey {
        let hash = name
            .bytes()
            .fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
        OrganisationKey(hash)
    }
}
