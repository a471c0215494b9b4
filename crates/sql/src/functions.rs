/// Functions that neither write nor depend on the state of the connection.
/// Sorted, because it is searched by bisection.
const SIDE_EFFECT_FREE: &[&str] = &[
    "abs",
    "array_agg",
    "avg",
    "bool_and",
    "bool_or",
    "btrim",
    "ceil",
    "ceiling",
    "char_length",
    "coalesce",
    "concat",
    "concat_ws",
    "count",
    "current_date",
    "current_time",
    "current_timestamp",
    "date_part",
    "date_trunc",
    "dense_rank",
    "extract",
    "first_value",
    "floor",
    "format",
    "generate_series",
    "greatest",
    "group_concat",
    "ifnull",
    "json_agg",
    "json_array_length",
    "json_build_object",
    "jsonb_agg",
    "jsonb_build_object",
    "lag",
    "last_value",
    "lead",
    "least",
    "left",
    "length",
    "lower",
    "lpad",
    "ltrim",
    "max",
    "md5",
    "min",
    "mod",
    "now",
    "ntile",
    "nullif",
    "octet_length",
    "percent_rank",
    "position",
    "power",
    "rank",
    "regexp_replace",
    "repeat",
    "replace",
    "reverse",
    "right",
    "round",
    "row_number",
    "rpad",
    "rtrim",
    "sign",
    "split_part",
    "sqrt",
    "string_agg",
    "strpos",
    "substr",
    "substring",
    "sum",
    "to_char",
    "to_date",
    "total",
    "trim",
    "trunc",
    "unnest",
    "upper",
    "version",
];

/// Name prefixes of the functions that acquire or release session-level advisory
/// locks.
const SESSION_LOCK_PREFIXES: &[&str] =
    &["pg_advisory_lock", "pg_advisory_unlock", "pg_try_advisory_lock"];

/// Whether the function with this lower-case name is known to have no side
/// effects.
pub(crate) fn is_side_effect_free(name: &str) -> bool {
    let name = name.strip_prefix("pg_catalog.").unwrap_or(name);
    SIDE_EFFECT_FREE.binary_search(&name).is_ok()
}

/// Whether the function with this lower-case name acquires or releases an
/// advisory lock that outlives the transaction.
pub(crate) fn is_session_lock(name: &str) -> bool {
    let name = name.strip_prefix("pg_catalog.").unwrap_or(name);
    SESSION_LOCK_PREFIXES.iter().any(|prefix| name.starts_with(prefix))
}

#[cfg(test)]
pub(crate) fn side_effect_free_names() -> &'static [&'static str] {
    SIDE_EFFECT_FREE
}
