use std::{io, net::SocketAddr, sync::Arc};

use axum::{Router, http::StatusCode, routing::get};

use crate::{clock, shared::Shared};

/// Port of the metrics, as `deploy/system.toml` names it.
const METRICS_PORT: u16 = 9_464;

/// Answers the platform's ready probe, and serves the metrics on a port of their own.
///
/// # Errors
///
/// If the address of the ready probe cannot be bound. Without the metrics the daemon
/// serves all the same.
pub(crate) async fn serve(addr: SocketAddr, shared: Arc<Shared>) -> io::Result<()> {
    let metrics_shared = Arc::clone(&shared);
    let ready = move || async move {
        if shared.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
    };
    let metrics = move || async move { metrics_shared.metrics(clock::now()) };
    listen(addr, Router::new().route("/readyz", get(ready))).await?;
    let metrics = Router::new().route("/metrics", get(metrics));
    if let Err(error) = listen(SocketAddr::new(addr.ip(), METRICS_PORT), metrics).await {
        logs::warn(&format!("metrics on port {METRICS_PORT}: {error}"));
    }
    Ok(())
}

async fn listen(addr: SocketAddr, app: Router) -> io::Result<()> {
    let listener = tokio::net::TcpListener::bind(addr).await?;
    tokio::spawn(async move {
        if let Err(error) = axum::serve(listener, app).await {
            logs::error(&format!("serving {addr}: {error}"));
        }
    });
    Ok(())
}
