use std::{
    cell::Cell,
    io,
    net::{SocketAddr, TcpListener as StdListener},
    rc::Rc,
    time::Duration,
};

use base::Term;
use futures_channel::oneshot;
use futures_util::future;
use monoio::net::{TcpListener, TcpStream};
use wire::{
    Authentication, BackendKeyData, Conn, InitialMessage, ParameterStatus, ReadyForQuery,
    SecretKey, Startup, TransactionStatus, WireError, sqlstate,
};

use crate::{
    deployment::Deployment,
    member::{faults::Faults, group::Group, node::Node, session::Session},
};

const CONTROL_PARAMETER: &str = "group.control";
/// Start-up option of a session that sets faults.
const FAULT_OPTION: &str = "faults";
const TERM_PARAMETER: &str = "group.term";

/// How members behave.
#[derive(Clone, Debug)]
pub struct MembersConfig {
    /// Faults at the start.
    pub faults: Faults,
    /// Time that opening a connection takes.
    pub open_delay: Duration,
    /// Statements that run at once.
    pub slots: u32,
    /// Connections accepted at once, control connections apart.
    pub connections: u32,
}

/// A member whose address is bound and which does not serve yet.
#[derive(Debug)]
pub struct BoundMember {
    /// Group of the member.
    pub group: String,
    /// Name of the member.
    pub id: String,
    /// Address with the port that was bound.
    pub addr: SocketAddr,
    listener: StdListener,
}

impl MembersConfig {
    /// The behaviour that a deployment file asks for.
    pub fn from_deployment(deployment: &Deployment) -> MembersConfig {
        let faults = Faults {
            replication_lag: Duration::from_millis(deployment.lag_ms),
            service: Duration::from_micros(deployment.service_us),
            ..Faults::default()
        };
        MembersConfig {
            faults,
            open_delay: Duration::from_millis(deployment.open_ms),
            slots: deployment.slots,
            connections: deployment.connections,
        }
    }
}

/// Binds the addresses of a deployment's members.
pub fn bind_members(deployment: &Deployment) -> io::Result<Vec<BoundMember>> {
    let mut bound = Vec::new();
    for group in &deployment.groups {
        for member in &group.members {
            let listener = StdListener::bind(member.addr)?;
            listener.set_nonblocking(true)?;
            bound.push(BoundMember {
                group: group.id.clone(),
                id: member.id.clone(),
                addr: listener.local_addr()?,
                listener,
            });
        }
    }
    Ok(bound)
}

/// Serves members until `stop` is closed. Runs on the runtime's own thread.
pub async fn run_members(
    cfg: MembersConfig,
    bound: Vec<BoundMember>,
    stop: async_channel::Receiver<()>,
) {
    let pids = Rc::new(Cell::new(1));
    let mut rest = bound.into_iter().peekable();
    while let Some(name) = rest.peek().map(|member| member.group.clone()) {
        let mut members = Vec::new();
        while let Some(member) = rest.next_if(|member| member.group == name) {
            members.push(member);
        }
        start_group(&cfg, members, &pids);
    }
    let _ = stop.recv().await;
}

fn start_group(cfg: &MembersConfig, members: Vec<BoundMember>, pids: &Rc<Cell<i32>>) {
    let nodes = members.iter().map(|member| {
        let engine_name = format!("{}-{}", member.id, member.addr.port());
        Node::new(&member.id, &engine_name, cfg.slots, cfg.faults)
    });
    let group = Group::new(nodes.collect());
    group.node(0).borrow_mut().promote(Term::new(1));
    monoio::spawn(group.clone().replicate());
    for (index, member) in members.into_iter().enumerate() {
        let door = Door { cfg: cfg.clone(), group: group.clone(), index, pids: Rc::clone(pids) };
        match TcpListener::from_std(member.listener) {
            Ok(listener) => drop(monoio::spawn(door.listen(listener))),
            Err(error) => logs::error(&format!("member {}: {error}", member.id)),
        }
    }
}

/// Where connections to one member arrive.
#[derive(Clone)]
struct Door {
    cfg: MembersConfig,
    group: Group,
    index: usize,
    pids: Rc<Cell<i32>>,
}

impl Door {
    async fn listen(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { return };
            let door = self.clone();
            monoio::spawn(async move {
                let _ = door.welcome(stream).await;
            });
        }
    }

    async fn welcome(self, stream: TcpStream) -> Result<(), WireError> {
        let mut conn = Conn::new(stream);
        match wire::accept(&mut conn).await? {
            InitialMessage::Cancel(cancel) => {
                let secret = cancel.secret_key.as_i32().unwrap_or_default();
                let mut node = self.group.node(self.index).borrow_mut();
                if node.secrets.get(&cancel.pid) == Some(&secret) {
                    node.cancels.remove(&cancel.pid).map(|tx| tx.send(()));
                }
                Ok(())
            }
            InitialMessage::Session(startup) => self.open(conn, &startup).await,
        }
    }

    async fn open(self, mut conn: Conn, startup: &Startup) -> Result<(), WireError> {
        let fault_setter = startup.parameters.get("options").is_some_and(|it| it == FAULT_OPTION);
        let control = fault_setter || startup.parameters.contains_key(CONTROL_PARAMETER);
        if self.group.node(self.index).borrow().faults.down && !fault_setter {
            return Ok(());
        }
        if !control {
            monoio::time::sleep(self.cfg.open_delay).await;
            if let Err(error) = self.count_in() {
                conn.queue(&error);
                return conn.flush().await;
            }
        }
        let pid = self.pids.get();
        self.pids.set(pid + 1);
        let secret = pid.wrapping_mul(0x5bd1_e995);
        greet(&mut conn, pid, secret);
        conn.flush().await?;
        let closed = self.register(pid, secret, fault_setter);
        let term = startup.parameters.get(TERM_PARAMETER).and_then(|text| text.parse().ok());
        let session = Session::new(self.group.clone(), self.index, conn, pid, term.map(Term::new))
            .with_immunity(fault_setter);
        let run = std::pin::pin!(session.run());
        future::select(run, closed).await;
        self.count_out(pid, control);
        Ok(())
    }

    fn count_in(&self) -> Result<(), wire::ErrorResponse> {
        let mut node = self.group.node(self.index).borrow_mut();
        if node.connections >= self.cfg.connections {
            let message = "sorry, too many clients already";
            return Err(wire::error_response(sqlstate::TOO_MANY_CONNECTIONS, message, ""));
        }
        node.connections += 1;
        Ok(())
    }

    fn register(&self, pid: i32, secret: i32, fault_setter: bool) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        let mut node = self.group.node(self.index).borrow_mut();
        node.secrets.insert(pid, secret);
        if fault_setter {
            // A session that sets faults must outlive the faults that it sets.
            std::mem::forget(tx);
        } else {
            node.closers.insert(pid, tx);
        }
        rx
    }

    fn count_out(&self, pid: i32, control: bool) {
        let mut node = self.group.node(self.index).borrow_mut();
        node.secrets.remove(&pid);
        node.closers.remove(&pid);
        if !control {
            node.connections = node.connections.saturating_sub(1);
        }
    }
}

fn greet(conn: &mut Conn, pid: i32, secret: i32) {
    conn.queue(&Authentication::Ok);
    for (name, value) in [
        ("server_version", "15.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        conn.queue(&ParameterStatus::new(name.to_owned(), value.to_owned()));
    }
    conn.queue(&BackendKeyData::new(pid, SecretKey::I32(secret)));
    conn.queue(&ReadyForQuery::new(TransactionStatus::Idle));
}
