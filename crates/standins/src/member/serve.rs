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

/// Start-up parameter of control connections. They are exempt from the connection limit and from
/// the delay of opening a connection.
const CONTROL_PARAMETER: &str = "group.control";
/// Value of the start-up parameter `options` for sessions that set faults. They are control
/// connections, which the faults `down` and `paused` do not affect.
const FAULT_OPTION: &str = "faults";
/// Start-up parameter: term in which the session expects the member.
const TERM_PARAMETER: &str = "group.term";

/// Behaviour of the members.
#[derive(Clone, Debug)]
pub struct MembersConfig {
    /// Initial faults of every member.
    pub faults: Faults,
    /// Time that a member takes to accept a connection; 0 for control connections.
    pub open_delay: Duration,
    /// Number of statements that a member runs concurrently.
    pub slots: u32,
    /// Limit of concurrent connections to a member, not counting control connections.
    pub connections: u32,
}

/// A member that listens but does not serve yet.
#[derive(Debug)]
pub struct BoundMember {
    /// Name of the member's group.
    pub group: String,
    /// Name of the member, unique in the deployment.
    pub id: String,
    /// Address on which it listens, with the port that was bound.
    pub addr: SocketAddr,
    listener: StdListener,
}

impl MembersConfig {
    /// Takes the behaviour from a deployment.
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

/// Binds the addresses of a deployment's members, in the order of the deployment.
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

/// Serves members until `stop` is closed. Must run on a monoio runtime with timers; members of the
/// same group must be adjacent in `bound`.
pub async fn run_members(
    cfg: MembersConfig,
    bound: Vec<BoundMember>,
    stop: async_channel::Receiver<()>,
) {
    let pids = Rc::new(Cell::new(1));
    let mut remaining = bound.into_iter().peekable();
    while let Some(name) = remaining.peek().map(|member| member.group.clone()) {
        let mut members = Vec::new();
        while let Some(member) = remaining.next_if(|member| member.group == name) {
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
        let acceptor =
            Acceptor { cfg: cfg.clone(), group: group.clone(), index, pids: Rc::clone(pids) };
        match TcpListener::from_std(member.listener) {
            Ok(listener) => drop(monoio::spawn(acceptor.listen(listener))),
            Err(error) => logs::error(&format!("member {}: {error}", member.id)),
        }
    }
}

/// Accepts the connections to one member.
#[derive(Clone)]
struct Acceptor {
    cfg: MembersConfig,
    group: Group,
    index: usize,
    pids: Rc<Cell<i32>>,
}

impl Acceptor {
    async fn listen(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { return };
            let acceptor = self.clone();
            monoio::spawn(async move {
                let _ = acceptor.handle_connection(stream).await;
            });
        }
    }

    async fn handle_connection(self, stream: TcpStream) -> Result<(), WireError> {
        let mut conn = Conn::new(stream);
        match wire::accept(&mut conn).await? {
            InitialMessage::Cancel(cancel) => {
                let secret = cancel.secret_key.as_i32().unwrap_or_default();
                let mut node = self.group.node(self.index).borrow_mut();
                if node.cancel_secrets.get(&cancel.pid) == Some(&secret) {
                    node.cancel_senders.remove(&cancel.pid).map(|tx| tx.send(()));
                }
                Ok(())
            }
            InitialMessage::Session(startup) => self.serve_session(conn, &startup).await,
        }
    }

    async fn serve_session(self, mut conn: Conn, startup: &Startup) -> Result<(), WireError> {
        let sets_faults = startup.parameters.get("options").is_some_and(|it| it == FAULT_OPTION);
        let control = sets_faults || startup.parameters.contains_key(CONTROL_PARAMETER);
        if self.group.node(self.index).borrow().faults.down && !sets_faults {
            return Ok(());
        }
        if !control {
            monoio::time::sleep(self.cfg.open_delay).await;
            if let Err(error) = self.count_connection() {
                conn.queue(&error);
                return conn.flush().await;
            }
        }
        let pid = self.pids.get();
        self.pids.set(pid + 1);
        let secret = pid.wrapping_mul(0x5bd1_e995);
        queue_startup_response(&mut conn, pid, secret);
        conn.flush().await?;
        let closed = self.register(pid, secret, sets_faults);
        let term = startup.parameters.get(TERM_PARAMETER).and_then(|text| text.parse().ok());
        let session = Session::new(self.group.clone(), self.index, conn, pid, term.map(Term::new))
            .with_ignored_faults(sets_faults);
        let run = std::pin::pin!(session.run());
        future::select(run, closed).await;
        self.unregister(pid, control);
        Ok(())
    }

    fn count_connection(&self) -> Result<(), wire::ErrorResponse> {
        let mut node = self.group.node(self.index).borrow_mut();
        if node.connections >= self.cfg.connections {
            let message = "sorry, too many clients already";
            return Err(wire::error_response(sqlstate::TOO_MANY_CONNECTIONS, message, ""));
        }
        node.connections += 1;
        Ok(())
    }

    fn register(&self, pid: i32, secret: i32, sets_faults: bool) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        let mut node = self.group.node(self.index).borrow_mut();
        node.cancel_secrets.insert(pid, secret);
        if sets_faults {
            // The fault `down` must not close the session that sets it: a forgotten sender is never
            // dropped, so the receiver never resolves.
            std::mem::forget(tx);
        } else {
            node.close_senders.insert(pid, tx);
        }
        rx
    }

    fn unregister(&self, pid: i32, control: bool) {
        let mut node = self.group.node(self.index).borrow_mut();
        node.cancel_secrets.remove(&pid);
        node.close_senders.remove(&pid);
        if !control {
            node.connections = node.connections.saturating_sub(1);
        }
    }
}

fn queue_startup_response(conn: &mut Conn, pid: i32, secret: i32) {
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
