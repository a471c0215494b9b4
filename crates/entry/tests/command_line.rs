//! Tests of the command line of `corianderwharf-entry`.

use std::{fs, process::Command};

fn run(args: &[&str]) -> (Option<i32>, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_corianderwharf-entry"))
        .args(args)
        .env_remove("CORIANDERWHARF_NODE_FILE")
        .output()
        .expect("test setup failed");
    let text = [out.stdout, out.stderr].concat();
    (out.status.code(), String::from_utf8(text).expect("test setup failed"))
}

#[test]
fn unknown_argument_is_reported_before_a_missing_one() {
    let (code, text) = run(&["--no-such-flag"]);
    assert_eq!(code, Some(2), "{text}");
    assert!(text.contains("--no-such-flag"), "{text}");
}

#[test]
fn missing_and_invalid_settings_are_reported() {
    let (code, text) = run(&[]);
    assert_eq!(code, Some(2), "{text}");
    assert!(text.contains("--settings"), "{text}");
    let file = std::env::temp_dir().join(format!("entry-invalid-{}.toml", std::process::id()));
    fs::write(&file, "node_name = 7\n").expect("test setup failed");
    let (code, text) = run(&["--check", "--settings", file.to_str().expect("test setup failed")]);
    fs::remove_file(&file).expect("test setup failed");
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("node_name"), "{text}");
}

#[test]
fn help_and_version_are_printed() {
    assert!(run(&["--help"]).1.contains("--check"));
    assert!(run(&["--version"]).1.starts_with("corianderwharf-entry "));
}
