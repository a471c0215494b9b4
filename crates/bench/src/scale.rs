use std::{hint::black_box, time::Instant};

use base::{CallerId, GroupId, Position, Span, Time, VmId, Zone};
use membership::{Homes, HomesConfig, Incarnation, Vm, Vms};
use table::Table;

use crate::{error::BenchError, experiment::ScaleSpec, output::Report, usage};

const HEADER: &str =
    "name,rank,group,weight,floor,in_flight,per_second,queue,target_ms,age_ms,ack\n";
const RANKS: [&str; 3] = ["submission", "lookup", "report"];
const NAMES_PER_GROUP: usize = 3;
const REPEATS: u32 = 5;

/// Measures how state and decisions grow with the deployment.
pub(crate) fn run(spec: &ScaleSpec, report: &mut Report) -> Result<(), BenchError> {
    // First, while no memory of earlier measurements can be used again.
    for &callers in &spec.callers {
        marks(callers, report);
    }
    for &groups in &spec.groups {
        table(groups, report)?;
    }
    for &vms in &spec.vms {
        for &groups in &spec.groups {
            decide(groups, vms, report);
        }
    }
    Ok(())
}

/// Size of a table's text, time to read it, and memory that it takes.
fn table(groups: usize, report: &mut Report) -> Result<(), BenchError> {
    let mut text = HEADER.to_owned();
    for group in 0..groups {
        for name in 0..NAMES_PER_GROUP {
            for rank in RANKS {
                text.push_str(&format!(
                    "name-{group}-{name},{rank},group-{group},1,0,0,0,64,250,2000,replica\n"
                ));
            }
        }
    }
    let (before, started) = (usage::resident_bytes(), Instant::now());
    let table = Table::parse(&text).map_err(BenchError::run)?;
    let load = groups as f64;
    report.add("full", load, "table bytes of text", text.len() as f64);
    report.add("full", load, "table read ms", started.elapsed().as_secs_f64() * 1e3);
    let gained = usage::resident_bytes().saturating_sub(before);
    report.add("full", load, "table bytes of memory", gained as f64);
    black_box(&table);
    Ok(())
}

/// Time of one decision on the homes of all groups.
fn decide(groups: usize, vms: usize, report: &mut Report) {
    let now = Time::from_micros(5_000_000);
    let mut view = Vms::new(vm(0), Incarnation(1), Span::from_millis(1_000));
    for number in 1..vms {
        view.record_heartbeat(now, vm(number), Incarnation(1), false);
    }
    let cfg =
        HomesConfig { exclusivity_period: Span::from_millis(2_000), startup_delay: Span::ZERO };
    let mut homes = Homes::new(cfg);
    for group in 0..groups {
        homes.add(&GroupId::new(format!("group-{group}")));
    }
    let mut actions = Vec::new();
    homes.decide(now, &view, &mut actions);
    let started = Instant::now();
    for _ in 0..REPEATS {
        actions.clear();
        homes.decide(now, &view, &mut actions);
    }
    let millis = started.elapsed().as_secs_f64() * 1e3 / f64::from(REPEATS);
    let variant = format!("{vms} vms");
    report.add(&variant, groups as f64, "decision, nothing changed, ms", millis);
    view.record_heartbeat(now, vm(vms), Incarnation(1), false);
    let started = Instant::now();
    homes.decide(now, &view, &mut actions);
    let millis = started.elapsed().as_secs_f64() * 1e3;
    report.add(&variant, groups as f64, "decision, a vm came, ms", millis);
}

/// Memory of callers' marks.
fn marks(callers: usize, report: &mut Report) {
    let before = usage::resident_bytes();
    let mut marks = consistency::CallerWritePositions::new(callers);
    for caller in 0..callers {
        let caller = CallerId::new(format!("caller-{caller:09}"));
        marks.record_write(&caller, Position::new(1, 1));
    }
    let gained = usage::resident_bytes().saturating_sub(before);
    report.add("full", callers as f64, "bytes for each mark", gained as f64 / callers as f64);
    black_box(&marks);
}

fn vm(number: usize) -> Vm {
    let any = ([127, 0, 0, 1], 1).into();
    Vm {
        id: VmId::new(format!("entry-{number}")),
        zone: Zone::new(format!("zone-{}", number % 10)),
        control: any,
        forward: any,
    }
}
