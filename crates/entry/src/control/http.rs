use std::{io, net::SocketAddr, sync::Arc};

use axum::{Router, http::StatusCode, routing::get};

use crate::shared::Shared;

/// Answers the platform's ready probe, and shows the metrics.
pub(crate) async fn serve(addr: SocketAddr, shared: Arc<Shared>) -> io::Result<()> {
    let listener = tokio::net::TcpListener::bind(addr).await?;
    let for_metrics = Arc::clone(&shared);
    let ready = move || async move {
        if shared.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
    };
    let metrics = move || async move { for_metrics.metrics() };
    let app = Router::new().route("/readyz", get(ready)).route("/metrics", get(metrics));
    tokio::spawn(async move {
        if let Err(error) = axum::serve(listener, app).await {
            logs::error(&format!("ready probe: {error}"));
        }
    });
    Ok(())
}
