/// Change of one or all session settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SettingChange {
    /// `SET name = value` for the session; `SET LOCAL` is not included.
    Set {
        /// Name of the setting in lower case.
        name: String,
        /// Value without quotes; several values are joined by commas.
        value: String,
    },
    /// `RESET name`.
    Reset {
        /// Name of the setting in lower case.
        name: String,
    },
    /// `RESET ALL` or `DISCARD ALL`.
    ResetAll,
}
