use std::net::SocketAddr;

use base::FastMap;
use monoio::net::TcpStream;
use pgwire::messages::{
    cancel::CancelRequest,
    startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey, Startup},
};

use crate::{conn::Conn, error::WireError, frame::Frame, message, tags};

/// Size limit of a single message of the start-up response.
const MAX_STARTUP_FRAME_BYTES: usize = 64 * 1024;

/// An upstream's response to the start-up message.
#[derive(Debug, Default)]
pub struct StartupResponse {
    /// Values of the parameters that the upstream reported, by name.
    pub parameters: FastMap<String, String>,
    /// Backend process id, which a cancel request must contain.
    pub pid: i32,
    /// Secret key, which a cancel request must contain; 0 if it was not sent as 32 bits.
    pub secret: i32,
}

/// An established connection to an upstream, ready for requests.
#[derive(Debug)]
pub struct Upstream {
    /// Connection on which the start-up is complete.
    pub conn: Conn,
    /// Parameters and cancel key that the upstream sent during start-up.
    pub startup_response: StartupResponse,
    /// Address of the upstream, which cancel requests are sent to.
    pub addr: SocketAddr,
}

/// Connects to an upstream with the given start-up parameters and waits until it is
/// ready for requests.
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

/// Sends a cancel request for the connection with this process id and secret, on a
/// connection of its own, and waits until the upstream closes it or answers.
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
        let frame = conn.read_frame(MAX_STARTUP_FRAME_BYTES).await?;
        if frame.tag == tags::READY_FOR_QUERY {
            return Ok(startup_response);
        }
        startup_response.record(&frame)?;
    }
}

impl StartupResponse {
    fn record(&mut self, frame: &Frame) -> Result<(), WireError> {
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
