use std::net::SocketAddr;

use base::FastMap;
use monoio::net::TcpStream;
use pgwire::messages::{
    cancel::CancelRequest,
    startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey, Startup},
};

use crate::{conn::Conn, error::WireError, frame::Frame, message, tags};

const MAX_STARTUP_RESPONSE_BYTES: usize = 64 * 1024;

/// What an upstream tells when a connection opens.
#[derive(Debug, Default)]
pub struct StartupResponse {
    /// Reported parameters.
    pub parameters: FastMap<String, String>,
    /// Process number for cancel requests.
    pub pid: i32,
    /// Secret for cancel requests.
    pub secret: i32,
}

/// An open connection to an upstream.
#[derive(Debug)]
pub struct Upstream {
    /// The connection.
    pub conn: Conn,
    /// What the upstream told when it opened.
    pub startup_response: StartupResponse,
    /// Address of the upstream.
    pub addr: SocketAddr,
}

/// Opens a connection with start-up parameters.
pub async fn connect(addr: SocketAddr, parameters: &[(&str, &str)]) -> Result<Upstream, WireError> {
    let mut conn = Conn::new(TcpStream::connect_addr(addr).await?);
    let mut startup = Startup::new();
    for (name, value) in parameters {
        startup.parameters.insert((*name).to_owned(), (*value).to_owned());
    }
    conn.queue(&startup);
    conn.flush().await?;
    let startup_response = read_startup_response(&mut conn).await?;
    Ok(Upstream { conn, startup_response, addr })
}

/// Asks an upstream to cancel the request of the connection with this key.
pub async fn cancel(addr: SocketAddr, pid: i32, secret: i32) -> Result<(), WireError> {
    let mut conn = Conn::new(TcpStream::connect_addr(addr).await?);
    conn.queue(&CancelRequest::new(pid, SecretKey::I32(secret)));
    conn.flush().await?;
    match conn.fill().await {
        Err(WireError::Closed) | Ok(()) => Ok(()),
        Err(error) => Err(error),
    }
}

async fn read_startup_response(conn: &mut Conn) -> Result<StartupResponse, WireError> {
    let mut startup_response = StartupResponse::default();
    loop {
        let frame = conn.read_frame(MAX_STARTUP_RESPONSE_BYTES).await?;
        if frame.tag == tags::READY_FOR_QUERY {
            return Ok(startup_response);
        }
        startup_response.note(&frame)?;
    }
}

impl StartupResponse {
    fn note(&mut self, frame: &Frame) -> Result<(), WireError> {
        match frame.tag {
            tags::AUTHENTICATION => check_authentication(frame),
            tags::PARAMETER_STATUS => {
                let parameter: ParameterStatus = message::decode(frame)?;
                self.parameters.insert(parameter.name, parameter.value);
                Ok(())
            }
            tags::BACKEND_KEY_DATA => {
                let key: BackendKeyData = message::decode(frame)?;
                self.pid = key.pid;
                self.secret = key.secret_key.as_i32().unwrap_or_default();
                Ok(())
            }
            tags::ERROR_RESPONSE => {
                let (code, message) = message::error_fields(frame)?;
                Err(WireError::Refused { code, message })
            }
            _ => Ok(()),
        }
    }
}

fn check_authentication(frame: &Frame) -> Result<(), WireError> {
    match message::decode(frame)? {
        Authentication::Ok => Ok(()),
        other => Err(WireError::protocol(format!("authentication {other:?} is not supported"))),
    }
}
