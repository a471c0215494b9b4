use std::{io, net::SocketAddr, sync::Arc};

use axum::{Router, http::StatusCode, routing::get};

use crate::{clock, shared::Shared};

/// Port of the metrics endpoint; the same as in `deploy/system.toml`.
const METRICS_PORT: u16 = 9_464;

/// Serves the platform's readiness probe, and the metrics on a separate port.
///
/// # Errors
///
/// If the address of the readiness probe cannot be bound. If the metrics port cannot be
/// bound, the daemon logs a warning and runs without metrics.
pub(crate) async fn serve(addr: SocketAddr, shared: Arc<Shared>) -> io::Result<()> {
    let metrics_shared = Arc::clone(&shared);
    let ready = move || async move {
        if shared.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
    };
    let metrics = move || async move { metrics_shared.metrics(clock::now()) };
    listen(addr, Router::new().route("/readyz", get(ready))).await?;
    let metrics = Router::new().route("/metrics", get(metrics));
    if let Err(error) = listen(SocketAddr::new(addr.ip(), METRICS_PORT), metrics).await {
        logs::warn(&format!("cannot serve metrics on port {METRICS_PORT}: {error}"));
    }
    Ok(())
}

async fn listen(addr: SocketAddr, app: Router) -> io::Result<()> {
    let listener = tokio::net::TcpListener::bind(addr).await?;
    tokio::spawn(async move {
        if let Err(error) = axum::serve(listener, app).await {
            logs::error(&format!("HTTP server on {addr} failed: {error}"));
        }
    });
    Ok(())
}
