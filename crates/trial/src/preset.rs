use std::str;

use standins::{Deployment, GroupSpec, MemberSpec};

/// CSV header line of the table, as the presets write it.
pub const TABLE_HEADER: &str =
    "name,rank,group,weight,floor,in_flight,per_second,queue,target_ms,age_ms,ack";

const MEMBERS_PER_GROUP: usize = 3;
const GROUPS: usize = 3;
const CONNECT_DELAY_MS: u64 = 10;

/// Named deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Preset {
    /// Orders for seed paper: 3 slots and 20 connections per member.
    PrensaSul,
    /// Entries for shows: 5 slots and 50 connections per member.
    Registry,
}

impl Preset {
    /// Describes the deployment, on free ports of the loopback interface. `table` replaces
    /// the table of the preset.
    pub fn deployment(self, lag_ms: u64, service_us: u64, table: Option<String>) -> Deployment {
        let (slots, connections) = match self {
            Preset::PrensaSul => (3, 20),
            Preset::Registry => (5, 50),
        };
        let free_addr = ([127, 0, 0, 1], 0).into();
        Deployment {
            platform: free_addr,
            lag_ms,
            open_ms: CONNECT_DELAY_MS,
            service_us,
            slots,
            connections,
            table: table.unwrap_or_else(|| self.table()),
            groups: (1..=GROUPS).map(|group| self.group(group)).collect(),
            vms: Vec::new(),
        }
    }

    /// Returns the three database names of each group, one per naming scheme.
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

    fn service(self) -> &'static str {
        match self {
            Preset::PrensaSul => "base-prensa",
            Preset::Registry => "entries-db",
        }
    }

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
