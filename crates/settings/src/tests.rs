use crate::Settings;

const VALID_SETTINGS: &str = r#"
vm = "entry-1"
zone = "zona-curitiba"
listen = "127.0.0.1:6432"
forward = "127.0.0.1:7432"
control = "127.0.0.1:7532"
platform = "127.0.0.1:7000"
peer_secret = "a shared secret"
"#;

#[test]
fn omitted_keys_take_default_values() {
    let settings = Settings::parse("s.toml", VALID_SETTINGS).expect("valid settings");
    assert_eq!(settings.timing.heartbeat_ms, 100);
    assert_eq!(settings.limits.connections, 10_000);
    assert_eq!(settings.metrics.statsd, None);
}

#[test]
fn errors_name_the_file_the_key_and_the_allowed_values() {
    fn check(appended: &str, expected: &[&str]) {
        let error =
            Settings::parse("s.toml", &format!("{VALID_SETTINGS}{appended}")).expect_err(appended);
        let text = error.to_string();
        for part in expected {
            assert!(text.contains(part), "{text}");
        }
    }
    check("[timing]\nheartbeat_ms = 0", &["s.toml", "timing.heartbeat_ms", "1 to 10000"]);
    check("[timing]\npatience_ms = 150", &["s.toml", "timing.patience_ms", "more than twice"]);
    check("[timing]\nhearbeat_ms = 5", &["s.toml", "hearbeat_ms", "expected one of"]);
    check("[limits]\nconnections = \"many\"", &["s.toml", "connections", "invalid type"]);
    check("speed = 3", &["s.toml", "speed", "expected one of"]);
}

#[test]
fn error_names_a_missing_key() {
    let error = Settings::parse("s.toml", "vm = \"a\"").expect_err("incomplete").to_string();
    assert!(error.contains("missing field `zone`"), "{error}");
}
