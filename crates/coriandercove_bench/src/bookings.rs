//! Bookings with and without idempotency keys, and the check of their effects.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use coriandercove_base::rng::seeded;
use coriandercove_standin::service::Effect;
use rand::Rng as _;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::load::{Aim, interval};

/// Time after which a caller gives a booking up; its outcome is then unknown to the caller.
const PATIENCE: Duration = Duration::from_secs(15);

/// How a booking ended.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum BookingEnd {
    /// The service answered.
    Answered,
    /// Refused with outcome `not_run` for this reason.
    NotRun(String),
    /// Refused with outcome `unknown` for this reason.
    Unknown(String),
    /// No answer came.
    Lost,
}

/// One booking.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Booking {
    /// Name that the body carries; unique.
    pub name: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// How it ended.
    pub end: BookingEnd,
}

/// What the effects show. All but `bookings` must be 0.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Bookings made.
    pub bookings: usize,
    /// Bookings with more than one effect.
    pub twice: usize,
    /// Bookings refused as `not_run` that have an effect.
    pub not_run_with_effect: usize,
    /// Answered bookings without an effect.
    pub answered_without_effect: usize,
}

impl Verdict {
    /// Whether the effects are as they must be.
    pub const fn is_sound(&self) -> bool {
        self.twice == 0 && self.not_run_with_effect == 0 && self.answered_without_effect == 0
    }
}

/// Compares the bookings with the effects of the service.
pub fn check(bookings: &[Booking], effects: &[Effect]) -> Verdict {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for effect in effects {
        *counts.entry(&effect.body).or_default() += 1;
    }
    let mut verdict = Verdict {
        bookings: bookings.len(),
        ..Verdict::default()
    };
    for booking in bookings {
        let n = counts.get(booking.name.as_str()).copied().unwrap_or(0);
        let not_run = matches!(booking.end, BookingEnd::NotRun(_));
        verdict.twice += usize::from(n > 1);
        verdict.not_run_with_effect += usize::from(n > 0 && not_run);
        let answered = booking.end == BookingEnd::Answered;
        verdict.answered_without_effect += usize::from(n == 0 && answered);
    }
    verdict
}

/// Bookings by whether they had a key and how they ended.
pub fn counts(bookings: &[Booking]) -> Value {
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

#[derive(Deserialize)]
struct Refused {
    reason: String,
    outcome: String,
}

/// Sends bookings at Poisson arrivals for a time, every second one with a key, and waits for
/// their ends.
pub fn run(aim: &Aim, rate: f64, time: Duration, seed: u64) -> Vec<Booking> {
    actix_rt::System::new().block_on(async {
        let client = awc::Client::builder()
            .connector(awc::Connector::new().limit(0))
            .timeout(PATIENCE)
            .finish();
        let mut rng = seeded(seed);
        let run: u64 = rng.random();
        let done = Rc::new(RefCell::new(Vec::new()));
        let (epoch, mut at) = (Instant::now(), Duration::ZERO);
        let mut tasks = Vec::new();
        for n in 0.. {
            at += interval(rate, &mut rng);
            if at >= time {
                break;
            }
            tokio::time::sleep_until((epoch + at).into()).await;
            let name = format!("booking {run:016x} {n}");
            let key = (n % 2 == 0).then(|| format!("key-{run:016x}-{n}"));
            let url = aim.urls[n % aim.urls.len()].clone();
            let auth = aim.keys[0].clone();
            let (client, done) = (client.clone(), Rc::clone(&done));
            tasks.push(actix_rt::spawn(async move {
                let end = book(&client, &url, &auth, &name, key.as_deref()).await;
                done.borrow_mut().push(Booking { name, key, end });
            }));
        }
        for task in tasks {
            // A panic was printed by its task.
            let _ = task.await;
        }
        done.take()
    })
}

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
    match serde_json::from_slice::<Refused>(&body) {
        Ok(r) if r.outcome == "not_run" => BookingEnd::NotRun(r.reason),
        Ok(r) => BookingEnd::Unknown(r.reason),
        Err(_) => BookingEnd::Unknown(format!("status_{}", answer.status().as_u16())),
    }
}

#[cfg(test)]
mod tests;
