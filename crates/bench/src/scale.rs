use std::{hint::black_box, time::Instant};

use base::{CallerId, GroupId, Position, Span, Time, VmId, Zone};
use membership::{Homes, HomesConfig, Incarnation, Vm, Vms};
use table::Table;

use crate::{error::BenchError, experiment::ScaleSpec, output::Report, usage};

const TABLE_HEADER: &str =
    "name,rank,group,weight,floor,in_flight,per_second,queue,target_ms,age_ms,ack\n";
const RANKS: [&str; 3] = ["submission", "lookup", "report"];
const NAMES_PER_GROUP: usize = 3;
const REPEATS: u32 = 5;

/// Measures how the cost of state and decisions grows with the size of the deployment.
pub(crate) fn run(spec: &ScaleSpec, report: &mut Report) -> Result<(), BenchError> {
    // This must come first. Otherwise the allocator would reuse memory that earlier measurements
    // freed, and the resident size would grow by less than the write positions take.
    for &callers in &spec.callers {
        measure_write_positions(callers, report);
    }
    for &groups in &spec.groups {
        table(groups, report)?;
    }
    for &vms in &spec.vms {
        for &groups in &spec.groups {
            measure_decision(groups, vms, report);
        }
    }
    Ok(())
}

/// Measures the size of a table's text, the time to parse it, and its size in memory.
fn table(groups: usize, report: &mut Report) -> Result<(), BenchError> {
    let mut text = TABLE_HEADER.to_owned();
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

/// Measures the time to decide on the homes of all groups, first with an unchanged list of VMs,
/// then after a VM was added.
fn measure_decision(groups: usize, vms: usize, report: &mut Report) {
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

/// Measures the memory that the write position of a caller takes.
fn measure_write_positions(callers: usize, report: &mut Report) {
    let before = usage::resident_bytes();
    let mut write_positions = consistency::CallerWritePositions::new(callers);
    for caller in 0..callers {
        let caller = CallerId::new(format!("caller-{caller:09}"));
        write_positions.record_write(&caller, Position::new(1, 1));
    }
    let gained = usage::resident_bytes().saturating_sub(before);
    report.add("full", callers as f64, "bytes for each mark", gained as f64 / callers as f64);
    black_box(&write_positions);
}

fn vm(number: usize) -> Vm {
    let unused_addr = ([127, 0, 0, 1], 1).into();
    Vm {
        id: VmId::new(format!("entry-{number}")),
        zone: Zone::new(format!("zone-{}", number % 10)),
        control: unused_addr,
        forward: unused_addr,
    }
}
