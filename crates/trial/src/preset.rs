use std::str;

use standins::{Deployment, GroupSpec, MemberSpec};

/// CSV header line of the operators' table, which sets the group, share and limits of each
/// database name and rank.
pub const TABLE_HEADER: &str =
    "name,rank,group,weight,floor,in_flight,per_second,queue,target_ms,age_ms,ack";

const MEMBERS_PER_GROUP: usize = 3;
const GROUPS: usize = 3;
/// Time that a stand-in member takes to accept a connection.
const OPEN_DELAY_MS: u64 = 10;

/// Predefined deployment of stand-ins, with its database names, availability zones and limits.
/// A member runs as many statements concurrently as it has slots.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Preset {
    /// Databases for orders of seed paper, in four zones: 3 slots and 20 connections per member.
    PrensaSul,
    /// Databases for entries to shows, in three zones: 5 slots and 50 connections per member.
    Registry,
}

impl Preset {
    /// Describes the deployment, on free ports of the loopback interface. `lag_ms` is the
    /// replication lag in milliseconds, `service_us` the minimum time in microseconds for which
    /// a statement occupies its slot. `table` replaces the table of the preset.
    pub fn deployment(self, lag_ms: u64, service_us: u64, table: Option<String>) -> Deployment {
        let (slots, connections) = match self {
            Preset::PrensaSul => (3, 20),
            Preset::Registry => (5, 50),
        };
        let any_port = ([127, 0, 0, 1], 0).into();
        Deployment {
            platform: any_port,
            lag_ms,
            open_ms: OPEN_DELAY_MS,
            service_us,
            slots,
            connections,
            table: table.unwrap_or_else(|| self.table()),
            groups: (1..=GROUPS).map(|group| self.group(group)).collect(),
            vms: Vec::new(),
        }
    }

    /// Returns the three database names of each group: Portuguese, English and numbered.
    pub fn names(self) -> [[&'static str; 3]; GROUPS] {
        match self {
            Preset::PrensaSul => [
                ["pedidos", "orders", "base-prensa-1"],
                ["prensagem", "press-runs", "base-prensa-2"],
                ["certificados", "certificates", "base-prensa-3"],
            ],
            Preset::Registry => [
                ["inscricoes", "entries", "entries-db-1"],
                ["classes", "class-lists", "entries-db-2"],
                ["catalogo", "catalogue", "entries-db-3"],
            ],
        }
    }

    /// Returns the availability zones, over which members and daemons are distributed in turn.
    pub fn zones(self) -> &'static [&'static str] {
        match self {
            Preset::PrensaSul => {
                &["zona-curitiba", "zona-joinville", "zona-caxias", "zona-pelotas"]
            }
            Preset::Registry => &["kyushu-a", "kyushu-b", "kyushu-c"],
        }
    }

    /// Prefix of the group IDs, which a hyphen and the group's number follow.
    fn service(self) -> &'static str {
        match self {
            Preset::PrensaSul => "base-prensa",
            Preset::Registry => "entries-db",
        }
    }

    /// Describes the group with a number, from 1.
    fn group(self, number: usize) -> GroupSpec {
        let id = format!("{}-{number}", self.service());
        let zones = self.zones();
        let members = (0..MEMBERS_PER_GROUP).map(|member| MemberSpec {
            id: format!("{id}-{}", (b'a' + member as u8) as char),
            zone: zones[member % zones.len()].to_owned(),
            addr: ([127, 0, 0, 1], 0).into(),
        });
        GroupSpec { members: members.collect(), id }
    }

    fn table(self) -> String {
        let mut text = format!("{TABLE_HEADER}\n");
        for (index, names) in self.names().iter().enumerate() {
            let group = format!("{}-{}", self.service(), index + 1);
            for name in names {
                text.push_str(&format!("{name},submission,{group},4,10,0,0,256,2000,0,replica\n"));
                text.push_str(&format!("{name},lookup,{group},2,10,0,0,256,1000,2000,replica\n"));
                text.push_str(&format!("{name},report,{group},1,5,0,0,64,10000,5000,replica\n"));
            }
        }
        text
    }
}

impl str::FromStr for Preset {
    type Err = String;

    fn from_str(text: &str) -> Result<Preset, String> {
        match text {
            "prensa-sul" => Ok(Preset::PrensaSul),
            "registry" => Ok(Preset::Registry),
            _ => Err(format!("{text:?}; allowed: prensa-sul or registry")),
        }
    }
}
