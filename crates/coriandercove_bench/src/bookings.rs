//! Sends bookings with and without idempotency keys, and checks their effects on the service.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use coriandercove_base::rng::seeded;
use coriandercove_standin::service::Effect;
use rand::Rng as _;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::load::{Endpoints, arrival_interval};

/// Time after which a caller abandons a booking; its outcome is then unknown to the caller.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// How a booking ended.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum BookingEnd {
    /// The service answered.
    Answered,
    /// Refused with outcome `not_run` for this reason.
    NotRun(String),
    /// Refused with outcome `unknown` for this reason.
    Unknown(String),
    /// No complete answer arrived.
    Lost,
}

/// A booking that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Booking {
    /// Unique name, sent as the body; identifies the effects of the booking.
    pub name: String,
    /// Idempotency key; `None` for a booking without one.
    pub key: Option<String>,
    /// How the booking ended, as its caller saw it.
    pub end: BookingEnd,
}

/// Result of the comparison of bookings and effects. All counts but `bookings` must be 0.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EffectCheck {
    /// Number of bookings sent.
    pub bookings: usize,
    /// Number of bookings with more than one effect.
    pub twice: usize,
    /// Number of bookings refused as `not_run` that have an effect.
    pub not_run_with_effect: usize,
    /// Number of answered bookings without an effect.
    pub answered_without_effect: usize,
}

impl EffectCheck {
    /// Whether no count of errors is above 0.
    pub const fn is_sound(&self) -> bool {
        self.twice == 0 && self.not_run_with_effect == 0 && self.answered_without_effect == 0
    }
}

/// Compares the bookings with the effects of the service.
pub fn check_effects(bookings: &[Booking], effects: &[Effect]) -> EffectCheck {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for effect in effects {
        *counts.entry(&effect.body).or_default() += 1;
    }
    let mut check = EffectCheck {
        bookings: bookings.len(),
        ..EffectCheck::default()
    };
    for booking in bookings {
        let n = counts.get(booking.name.as_str()).copied().unwrap_or(0);
        let not_run = matches!(booking.end, BookingEnd::NotRun(_));
        check.twice += usize::from(n > 1);
        check.not_run_with_effect += usize::from(n > 0 && not_run);
        let answered = booking.end == BookingEnd::Answered;
        check.answered_without_effect += usize::from(n == 0 && answered);
    }
    check
}

/// Counts the bookings by whether they had a key and how they ended.
pub fn counts_by_end(bookings: &[Booking]) -> Value {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for booking in bookings {
        let kind = if booking.key.is_some() {
            "keyed"
        } else {
            "keyless"
        };
        let end = match &booking.end {
            BookingEnd::Answered => "answered".to_owned(),
            BookingEnd::NotRun(reason) => format!("not_run/{reason}"),
            BookingEnd::Unknown(reason) => format!("unknown/{reason}"),
            BookingEnd::Lost => "lost".to_owned(),
        };
        *counts.entry(format!("{kind}/{end}")).or_default() += 1;
    }
    json!(counts)
}

/// Body of a refusal.
#[derive(Deserialize)]
struct Refusal {
    reason: String,
    outcome: String,
}

/// Sends bookings with Poisson arrivals of `rate` per second for the given time, every second one
/// with a key, and waits until all have ended.
pub fn run(endpoints: &Endpoints, rate: f64, time: Duration, seed: u64) -> Vec<Booking> {
    actix_rt::System::new().block_on(async {
        let client = awc::Client::builder()
            .connector(awc::Connector::new().limit(0))
            .timeout(CALL_TIMEOUT)
            .finish();
        let mut rng = seeded(seed);
        let run: u64 = rng.random();
        let done = Rc::new(RefCell::new(Vec::new()));
        let (epoch, mut at) = (Instant::now(), Duration::ZERO);
        let mut tasks = Vec::new();
        for n in 0.. {
            at += arrival_interval(rate, &mut rng);
            if at >= time {
                break;
            }
            tokio::time::sleep_until((epoch + at).into()).await;
            let name = format!("booking {run:016x} {n}");
            let key = (n % 2 == 0).then(|| format!("key-{run:016x}-{n}"));
            let url = endpoints.urls[n % endpoints.urls.len()].clone();
            let auth = endpoints.keys[0].clone();
            let (client, done) = (client.clone(), Rc::clone(&done));
            tasks.push(actix_rt::spawn(async move {
                let end = book(&client, &url, &auth, &name, key.as_deref()).await;
                done.borrow_mut().push(Booking { name, key, end });
            }));
        }
        for task in tasks {
            // The panic of a task has already been printed by it.
            let _ = task.await;
        }
        done.take()
    })
}

/// Sends one booking and waits for its end.
async fn book(
    client: &awc::Client,
    url: &str,
    auth: &str,
    name: &str,
    key: Option<&str>,
) -> BookingEnd {
    let mut req = client
        .post(format!("{url}/services/workshop/bookings"))
        .bearer_auth(auth);
    if let Some(key) = key {
        req = req.insert_header(("idempotency-key", key));
    }
    let Ok(mut answer) = req.send_body(name.to_owned()).await else {
        return BookingEnd::Lost;
    };
    if answer.status().is_success() {
        return BookingEnd::Answered;
    }
    let Ok(body) = answer.body().await else {
        return BookingEnd::Lost;
    };
    match serde_json::from_slice::<Refusal>(&body) {
        Ok(r) if r.outcome == "not_run" => BookingEnd::NotRun(r.reason),
        Ok(r) => BookingEnd::Unknown(r.reason),
        Err(_) => BookingEnd::Unknown(format!("status_{}", answer.status().as_u16())),
    }
}

#[cfg(test)]
mod tests;
