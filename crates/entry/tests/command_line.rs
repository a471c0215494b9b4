//! The program's command line.

use std::{fs, process::Command};

fn run(args: &[&str]) -> (Option<i32>, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_corianderwharf-entry"))
        .args(args)
        .env_remove("CORIANDERWHARF_NODE_FILE")
        .output()
        .expect("the set-up of the test works");
    let text = [out.stdout, out.stderr].concat();
    (out.status.code(), String::from_utf8(text).expect("the set-up of the test works"))
}

#[test]
fn an_unknown_argument_is_named_before_a_missing_one() {
    let (code, text) = run(&["--no-such-flag"]);
    assert_eq!(code, Some(2), "{text}");
    assert!(text.contains("--no-such-flag"), "{text}");
}

#[test]
fn missing_and_wrong_settings_are_clear_errors() {
    let (code, text) = run(&[]);
    assert_eq!(code, Some(2), "{text}");
    assert!(text.contains("--settings"), "{text}");
    let file = std::env::temp_dir().join(format!("entry-wrong-{}.toml", std::process::id()));
    fs::write(&file, "node_name = 7\n").expect("the set-up of the test works");
    let (code, text) =
        run(&["--check", "--settings", file.to_str().expect("the set-up of the test works")]);
    fs::remove_file(&file).expect("the set-up of the test works");
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("node_name"), "{text}");
}

#[test]
fn help_and_version_are_shown() {
    assert!(run(&["--help"]).1.contains("--check"));
    assert!(run(&["--version"]).1.starts_with("corianderwharf-entry "));
}
