//! Runs an entry process from its start to its stop.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::{Logger, info, o, warn};
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};

use coriandercove_base::rng;
use coriandercove_base::telemetry::lines::LogWriter;
use coriandercove_base::timer::TimerService;

use crate::configuration_exchange::ConfigurationExchange;
use crate::peers::Peers;
use crate::placer::Placer;
use crate::pressure;
use crate::protocol::{Directory, Protocol, Topic};
use crate::server::{Server, serve_status};
use crate::settings::{Settings, SettingsError};
use crate::state::Router;
use crate::stopping::Stop;
use crate::sync::follow;
use crate::verdict_sync::{VerdictStore, VerdictSync};

/// Interval at which open connections are checked during a stop.
const STOP_POLL: Duration = Duration::from_millis(50);

/// Interval of the log lines that report omitted lines.
const OMITTED_PERIOD: Duration = Duration::from_secs(5);

/// Maximum wait at the stop for the reader of standard output; below the time that a stop leaves for the exit.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

/// Why an entry cannot start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address cannot be bound.
    #[snafu(display("cannot bind {address} for {purpose}: {source}"))]
    Bind {
        /// What the address is used for.
        purpose: &'static str,
        /// Address from the settings.
        address: SocketAddr,
        /// Cause, as the operating system reports it.
        source: std::io::Error,
    },
    /// A signal handler cannot be installed.
    #[snafu(display("cannot install a signal handler: {source}"))]
    Signals {
        /// Cause, as the operating system reports it.
        source: std::io::Error,
    },
}

async fn listen(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .context(BindSnafu { purpose, address })
}

fn on_signal(kind: SignalKind) -> Result<Signal, StartError> {
    signal(kind).context(SignalsSnafu)
}

/// Reads the settings again; called at each SIGHUP.
pub type SettingsSource = Box<dyn Fn() -> Result<Settings, SettingsError>>;

/// Runs an entry until SIGTERM or SIGINT. SIGHUP reads the settings again by `source`.
///
/// # Errors
/// [`StartError`] if an address cannot be bound or signals cannot be handled.
pub async fn run(
    settings: Settings,
    source: SettingsSource,
    protocol: Rc<dyn Protocol>,
    directory: Rc<dyn Directory>,
    verdicts: Rc<dyn VerdictStore>,
    log: Logger,
    lines: LogWriter,
) -> Result<(), StartError> {
    let mut last = settings.clone();
    let callers = listen("callers", settings.callers).await?;
    let readiness = listen("readiness", settings.readiness).await?;
    let address = settings.peers;
    let socket = UdpSocket::bind(address).await.context(BindSnafu {
        purpose: "peers",
        address,
    })?;
    // The datagrams of peers and their questions have the same port.
    let questions = listen("peers", address).await?;
    let mut term = on_signal(SignalKind::terminate())?;
    let mut interrupt = on_signal(SignalKind::interrupt())?;
    let mut hangup = on_signal(SignalKind::hangup())?;
    let log = log.new(o!("node" => settings.node.to_string()));
    info!(log, "start"; "zone" => &*settings.zone,
        "callers" => %settings.callers, "store" => %settings.store);
    let router = Rc::new(Router::new(settings, protocol, log, rng::from_os()));
    let timers = TimerService::start();
    for topic in [Topic::Configuration, Topic::Targets] {
        actix_rt::spawn(follow(Rc::clone(&router), Rc::clone(&directory), topic));
    }
    let _exchanging = ConfigurationExchange::start(
        Rc::clone(&router),
        Rc::clone(&directory),
        questions,
        &timers,
    );
    let (peers, _sending) = Peers::start(Rc::clone(&router), socket, &timers);
    let _judging = VerdictSync::start(Rc::clone(&router), Rc::clone(&peers), verdicts, &timers);
    actix_rt::spawn(pressure::measure_while_contended(
        Rc::clone(&router),
        timers.clone(),
    ));
    let _placing = Placer::start(Rc::clone(&router), peers, &timers);
    let _omitted = {
        let (router, lines) = (Rc::clone(&router), lines.clone());
        timers.subscribe(OMITTED_PERIOD, move || report_omitted(&router, &lines))
    };
    let server = Server::new(Rc::clone(&router));
    actix_rt::spawn(Rc::clone(&server).accept(callers));
    actix_rt::spawn(serve_status(
        Rc::clone(&router),
        router.settings.readiness,
        readiness,
    ));
    if let Some(address) = router.settings.metrics {
        let listener = listen("metrics", address).await?;
        actix_rt::spawn(serve_status(Rc::clone(&router), address, listener));
    }
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&router, &mut last, &source, &lines),
        }
    }
    stop(&router, &server).await;
    // If the reader of standard output does not read in time, the last lines are lost; there is no
    // other place to report this.
    let _ = lines.flush(FLUSH_LIMIT);
    Ok(())
}

fn report_omitted(router: &Router, lines: &LogWriter) {
    let omitted = lines.take_omitted();
    if omitted > 0 {
        router.metrics.omitted_lines.inc_by(omitted);
        warn!(router.log, "lines left out"; "lines" => omitted);
    }
}

/// Reads the settings again and applies those that a running process follows. Invalid settings
/// change nothing.
fn reload(router: &Router, last: &mut Settings, source: &SettingsSource, lines: &LogWriter) {
    let read = source().map_err(|e| e.to_string());
    let compared = read.and_then(|new| {
        let changes = last.changes(&new).map_err(|e| e.to_string())?;
        Ok((new, changes))
    });
    match compared {
        Ok((new, changes)) => {
            info!(router.log, "reload"; "changed" => changes.live.join(","),
                "at_next_start" => changes.at_next_start.join(","));
            router.apply_settings(new.live());
            lines.set_limits(new.log);
            *last = new;
        }
        Err(cause) => {
            warn!(router.log, "reload refused, the settings so far stay"; "cause" => cause);
        }
    }
}

/// Stops an entry: it is no longer ready, serves callers until the load balancer has noticed, and ends
/// when all are answered or with its grace.
pub async fn stop(router: &Router, server: &Server) {
    let stop = Stop::new(router.now(), router.live.get().grace);
    router.stop.set(Some(stop));
    info!(router.log, "stopping"; "connections" => server.open_connections(),
        "requests" => router.metrics.in_flight.get());
    tokio::time::sleep(stop.closes_at.saturating_sub(router.now())).await;
    server.close_gracefully();
    while !server.is_drained() && router.now() < stop.ends_at {
        if router.now() >= stop.gives_up_at {
            router.giving_up.notify_waiters();
        }
        tokio::time::sleep(STOP_POLL).await;
    }
    if server.open_connections() > 0 {
        warn!(router.log, "stopped with open connections";
            "connections" => server.open_connections(),
            "requests" => router.metrics.in_flight.get());
    } else {
        info!(router.log, "stopped");
    }
}
