use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use axum::{
    Router,
    http::{StatusCode, header},
    routing::get,
};

use crate::{clock, control::bounded_listener::BoundedListener, shared::Shared};

/// Port of the metrics endpoint; the same as in `deploy/system.toml`.
const METRICS_PORT: u16 = 9_464;
/// Longest time that a connection stays open, from its first byte to the end of the response.
const CONNECTION_TIME: Duration = Duration::from_secs(2);
/// Longest request, with its headers.
const MAX_REQUEST_BYTES: usize = 16 * 1024;

/// Serves the platform's readiness probe, and the metrics on a separate port.
///
/// # Errors
///
/// If the address of the readiness probe cannot be bound. If the metrics port cannot be
/// bound, the daemon logs a warning and runs without metrics.
pub(crate) async fn serve(addr: SocketAddr, shared: Arc<Shared>) -> io::Result<()> {
    // Clients must not send a second request on a connection, which may reach its end meanwhile.
    let close = || [(header::CONNECTION, "close")];
    let (ready_shared, metrics_shared) = (Arc::clone(&shared), Arc::clone(&shared));
    let ready = move || async move {
        let ready = ready_shared.is_ready();
        (if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, close())
    };
    let metrics = move || async move { (close(), metrics_shared.metrics(clock::now())) };
    listen(addr, Router::new().route("/readyz", get(ready)), &shared).await?;
    let metrics = Router::new().route("/metrics", get(metrics));
    if let Err(error) = listen(SocketAddr::new(addr.ip(), METRICS_PORT), metrics, &shared).await {
        logs::warn(&format!("cannot serve metrics on port {METRICS_PORT}: {error}"));
    }
    Ok(())
}

async fn listen(addr: SocketAddr, app: Router, shared: &Arc<Shared>) -> io::Result<()> {
    let listener = tokio::net::TcpListener::bind(addr).await?;
    let shared = Arc::clone(shared);
    let listener = BoundedListener::new(listener, CONNECTION_TIME, MAX_REQUEST_BYTES, shared);
    tokio::spawn(async move {
        if let Err(error) = axum::serve(listener, app).await {
            logs::error(&format!("HTTP server on {addr} failed: {error}"));
        }
    });
    Ok(())
}
