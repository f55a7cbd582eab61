//! Passes the configuration in force on to entries that the platform's store does not give it to.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{info, warn};
use tokio::net::TcpListener;

use coriandercove_base::timer::{Subscription, TimerService};

use crate::protocol::Directory;
use crate::state::Router;
use crate::upstream::Channel;

/// URL path of the configuration on the address for peers.
const CONFIGURATION_PATH: &str = "/configuration";
/// Interval at which an entry checks whether peers have a newer version.
const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Timeout for a peer's answer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum time that a peer's connection may stay idle.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// Pause after a connection could not be accepted, for example for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Asks peers for newer versions of the configuration, and answers their questions.
pub struct ConfigurationExchange {
    router: Rc<Router>,
    directory: Rc<dyn Directory>,
    is_fetching: Cell<bool>,
}

impl ConfigurationExchange {
    /// Starts answering on `listener` and checking; checking ends when the subscription is dropped.
    pub fn start(
        router: Rc<Router>,
        directory: Rc<dyn Directory>,
        listener: TcpListener,
        timers: &TimerService,
    ) -> Subscription {
        let exchange = Rc::new(Self {
            router,
            directory,
            is_fetching: Cell::new(false),
        });
        actix_rt::spawn(Rc::clone(&exchange).serve(listener));
        timers.subscribe(CHECK_PERIOD, move || exchange.check())
    }

    fn check(self: &Rc<Self>) {
        if self.is_fetching.get() {
            return;
        }
        let own = self.router.configuration().map(|cfg| cfg.version);
        let mut newest = self.router.newest_configuration.borrow_mut();
        let Some(peer) = newest.next_holder(own, self.router.now()) else {
            return;
        };
        self.is_fetching.set(true);
        let exchange = Rc::clone(self);
        actix_rt::spawn(async move {
            if let Err(cause) = exchange.fetch(peer).await {
                warn!(exchange.router.log, "no configuration from a peer"; "peer" => %peer,
                    "cause" => cause);
            }
            exchange.is_fetching.set(false);
        });
    }

    async fn fetch(&self, peer: SocketAddr) -> Result<(), String> {
        let request = Request::get(CONFIGURATION_PATH).body(Bytes::new());
        let request = request.map_err(|e| e.to_string())?;
        let answer = Channel::new(peer).call(request, FETCH_TIMEOUT).await;
        let answer = answer.map_err(|e| e.to_string())?;
        if answer.status != StatusCode::OK {
            return Err(format!("status {}", answer.status));
        }
        let cfg = self.directory.decode_configuration(&answer.body);
        let cfg = cfg.map_err(|e| e.to_string())?;
        info!(self.router.log, "configuration from a peer"; "peer" => %peer,
            "version" => cfg.version);
        self.router.metrics.peer_configurations.inc();
        self.router.apply(Rc::new(cfg));
        Ok(())
    }

    async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    warn!(self.router.log, "accept failed"; "cause" => %e);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let exchange = Rc::clone(&self);
            actix_rt::spawn(async move {
                let service = service_fn(move |req| {
                    let response = exchange.answer(&req);
                    async move { Ok::<_, Infallible>(response) }
                });
                let connection = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(IDLE_TIME)
                    .serve_connection(TokioIo::new(stream), service);
                // A peer that disconnects early asks again.
                let _ = connection.await;
            });
        }
    }

    fn answer<B>(&self, req: &Request<B>) -> Response<Full<Bytes>> {
        let cfg = self.router.configuration();
        let body = cfg.filter(|_| req.uri().path() == CONFIGURATION_PATH);
        let mut response = Response::new(Full::default());
        match body {
            Some(cfg) => *response.body_mut() = Full::new(cfg.encoded.clone()),
            None => *response.status_mut() = StatusCode::NOT_FOUND,
        }
        response
    }
}
