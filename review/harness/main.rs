//! Stand-ins, clients and checks of the cases under `review/`. Uses the standard library only.
//!
//! `harness CASE RECORD` plays one case against real `corianderwharf-entry` processes and exits with 1
//! if the rule was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` in the
//! environment it leaves out the disruption.

mod cases;
mod client;
mod cluster;
mod failover_api;
mod http;
mod member;
mod record;
mod world;

use std::{env, panic, path::PathBuf, process, thread, time::Duration};

/// Longest run of a case. The processes are ended then, too.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let mut args = env::args().skip(1);
    let (Some(case), Some(record)) = (args.next(), args.next()) else {
        eprintln!("usage: harness CASE RECORD");
        process::exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::create(&PathBuf::from(record)).unwrap_or_else(|error| {
        eprintln!("cannot write the record: {error}");
        process::exit(2);
    });
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("time limit");
        cluster::end(2);
    });
    let played = panic::catch_unwind(|| play(&case, &record, trouble));
    let outcome = played.unwrap_or_else(|_| Err("the harness failed".to_owned()));

    match outcome {
        Ok(violations) if violations.is_empty() => {
            record.line("RESULT the rule held");
            println!("held");
            cluster::end(0)
        }
        Ok(violations) => {
            for violation in &violations {
                record.line(&format!("BROKEN {violation}"));
            }
            println!("broken: {} (first: {})", violations.len(), violations[0]);
            cluster::end(1)
        }
        Err(error) => {
            record.line(&format!("RESULT could not run: {error}"));
            println!("could not run: {error}");
            cluster::end(2)
        }
    }
}

fn play(case: &str, record: &record::Record, trouble: bool) -> cases::Outcome {
    match case {
        "foreign-entry" => cases::foreign_entry::run(record, trouble),
        "late-call" => cases::late_call::run(record, trouble),
        "route-back" => cases::route_back::run(record, trouble),
        "route-change" => cases::route_change::run(record, trouble),
        "stale-holder" => cases::stale_holder::run(record, trouble),
        "sync-replica" => cases::sync_replica::run(record, trouble),
        _ => Err(format!("unknown case {case}")),
    }
}
