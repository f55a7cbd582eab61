//! The questions of `coriandercove init`.

use std::net::{IpAddr, SocketAddr};

use coriandercove_base::Layer;
use coriandercove_config::answers::{
    AccountAnswer, AddressSpread, Answers, CallAnswer, EntryAnswer, ModelAnswer, NetworkAnswer,
    PlatformAnswer, ServiceAnswer, SiteAnswer, TEMPLATE, TargetGroup, TeamAnswer, parse,
};
use coriandercove_config::{
    ClaimSettings, LayerCompute, Limits, NAME_FORM, is_name, url::check_url,
};

use crate::error::CliError;
use crate::prompt::Prompt;

/// Ports of the generated processes.
const CALLERS_PORT: u16 = 8080;
const PEER_PORT: u16 = 7400;
/// Port that engines and services listen on, unless the answers say otherwise.
const TARGET_PORT: u16 = 8000;

/// Asks all questions. The result still has to pass the check.
pub(crate) fn ask(p: &mut Prompt<'_>) -> Result<Answers, CliError> {
    let trade = TeamAnswer {
        name: p.ask("Name of the team", "", required)?,
        description: p.ask("What the team does", "", text)?,
    };
    let site = SiteAnswer {
        name: p.ask("Name of the site", "main", name)?,
        region: p.ask("Region of the site", "south", name)?,
        zones: p
            .ask("Zones, separated by commas", "zone-1", names)?
            .iter()
            .map(|z| z.as_str().into())
            .collect(),
    };
    let store = p.ask(
        "URLs of the store, separated by commas",
        "http://127.0.0.1:7300",
        urls,
    )?;
    let entries = entries(p, &site)?;
    let mut targets = Vec::new();
    let models = model(p, &site, &mut targets)?;
    let services = services(p, &site, &mut targets)?;
    let accounts = accounts(p)?;
    Ok(Answers {
        trade,
        sites: vec![site],
        network: NetworkAnswer::default(),
        platform: PlatformAnswer {
            store,
            vm_list: None,
        },
        entries,
        accounts,
        models,
        services,
        targets,
        limits: Limits::default(),
        claims: ClaimSettings::default(),
    })
}

fn entries(p: &mut Prompt<'_>, site: &SiteAnswer) -> Result<Vec<EntryAnswer>, CliError> {
    let mut out = Vec::new();
    for (i, zone) in site.zones.iter().enumerate() {
        let question = format!("IP address of the entry VM in {zone}");
        let ip = p.ask(&question, &format!("10.0.{}.10", i + 1), ip)?;
        out.push(EntryAnswer {
            node: format!("entry-{}", i + 1).into(),
            zone: zone.clone(),
            callers: SocketAddr::new(ip, CALLERS_PORT),
            peer: SocketAddr::new(ip, PEER_PORT),
            operations: SocketAddr::new(ip, PEER_PORT + 1),
        });
    }
    Ok(out)
}

/// Asks for one model; more are added to the file.
fn model(
    p: &mut Prompt<'_>,
    site: &SiteAnswer,
    targets: &mut Vec<TargetGroup>,
) -> Result<Vec<ModelAnswer>, CliError> {
    let model = p.ask("Name of the model, or `none`", "drafts", name)?;
    if model == "none" {
        return Ok(Vec::new());
    }
    let accelerator = p.ask("Kind of accelerator", "l4", name)?;
    let answer = ModelAnswer {
        model: model.as_str().into(),
        version: p.ask("Version of the weights", "v1", name)?,
        drafts: p.ask("What the model drafts", "", text)?,
        layers: p.ask("Number of layers", "32", number::<Layer>)?,
        hidden_size: p.ask("Values in the activation of one token", "4096", number)?,
        max_tokens: p.ask(
            "Longest prompt and answer together, in tokens",
            "8192",
            number,
        )?,
        compute: vec![LayerCompute {
            accelerator: accelerator.clone(),
            decode_us: p.ask(
                "Time of one layer for an iteration, in microseconds",
                "400",
                number,
            )?,
            prefill_ns: p.ask(
                "Time of one layer for a prompt token, in nanoseconds",
                "20000",
                number,
            )?,
        }],
        ..default_model()?
    };
    let checks = p.ask(
        "Do the engines refuse orders with an old fencing number? yes or no",
        "no",
        yes,
    )?;
    for (i, zone) in site.zones.iter().enumerate() {
        let mut group = group(p, &model, zone, i, 20)?;
        group.checks_orders = checks;
        group.accelerator = Some(accelerator.clone());
        group.model = Some(model.as_str().into());
        targets.push(group);
    }
    Ok(vec![answer])
}

/// Defaults of the deadlines, from the example.
fn default_model() -> Result<ModelAnswer, CliError> {
    let mut models = parse("example", TEMPLATE)?.answers.models;
    Ok(models.swap_remove(0))
}

fn services(
    p: &mut Prompt<'_>,
    site: &SiteAnswer,
    targets: &mut Vec<TargetGroup>,
) -> Result<Vec<ServiceAnswer>, CliError> {
    let wanted = p.ask(
        "Plain services, separated by commas, or `none`",
        "none",
        names,
    )?;
    let mut out = Vec::new();
    for (n, service) in wanted.iter().filter(|s| *s != "none").enumerate() {
        let once = format!("Calls of {service} that must not repeat, such as POST /orders");
        let again = format!("Calls of {service} that may be retried");
        out.push(ServiceAnswer {
            name: service.clone(),
            must_not_repeat: p.ask(&once, "POST /**", calls)?,
            repeatable: p.ask(&again, "GET /**", calls)?,
            timeout: std::time::Duration::from_secs(10),
            concurrency: 64,
        });
        let question =
            format!("Do the targets of {service} check who gives them orders? yes or no");
        let checks = p.ask(&question, "no", yes)?;
        for (i, zone) in site.zones.iter().enumerate() {
            let mut group = group(p, service, zone, i, 200 + n)?;
            group.checks_orders = checks;
            group.service = Some(service.clone());
            targets.push(group);
        }
    }
    Ok(out)
}

/// Asks for the replicas of one zone.
fn group(
    p: &mut Prompt<'_>,
    what: &str,
    zone: &str,
    zone_index: usize,
    host: usize,
) -> Result<TargetGroup, CliError> {
    let replicas = p.ask(&format!("Replicas of {what} in {zone}"), "1", number)?;
    let question = format!("IP address of the first replica of {what} in {zone}");
    let ip = p.ask(&question, &format!("10.0.{}.{host}", zone_index + 1), ip)?;
    Ok(TargetGroup {
        name: format!("{what}-{zone}"),
        zone: zone.into(),
        replicas,
        peer: SocketAddr::new(ip, PEER_PORT),
        spread: AddressSpread::Ip,
        target_port: Some(TARGET_PORT),
        checks_orders: false,
        accelerator: None,
        model: None,
        version: None,
        first_layer: None,
        end_layer: None,
        service: None,
    })
}

fn accounts(p: &mut Prompt<'_>) -> Result<Vec<AccountAnswer>, CliError> {
    let wanted = p.ask("Client accounts, separated by commas", "workshop", names)?;
    let mut out = Vec::new();
    for name in wanted {
        let callers = p.ask(&format!("Who calls for {name}"), "", text)?;
        let weight = p.ask(
            &format!("Share of {name} relative to other accounts"),
            "1",
            number,
        )?;
        let quota = p.ask(
            &format!("Quota of {name} in tokens per second"),
            "1000",
            number,
        )?;
        out.push(AccountAnswer {
            name,
            callers,
            weight,
            quota_tokens_per_second: quota,
            burst_tokens: None,
            concurrency: 64,
            priority: 5,
            keys: Vec::new(),
        });
    }
    Ok(out)
}

fn text(text: &str) -> Result<String, String> {
    Ok(text.to_owned())
}

fn required(text: &str) -> Result<String, String> {
    match text {
        "" => Err("an answer is needed".to_owned()),
        text => Ok(text.to_owned()),
    }
}

fn name(text: &str) -> Result<String, String> {
    if is_name(text) {
        Ok(text.to_owned())
    } else {
        Err(format!(
            "`{text}` is not a valid name; allowed are {NAME_FORM}"
        ))
    }
}

fn list<T>(text: &str, parse: impl Fn(&str) -> Result<T, String>) -> Result<Vec<T>, String> {
    let items = text.split(',').map(str::trim).filter(|t| !t.is_empty());
    items.map(parse).collect()
}

fn names(text: &str) -> Result<Vec<String>, String> {
    list(text, name)
}

fn urls(text: &str) -> Result<Vec<String>, String> {
    list(text, |url| match check_url(url) {
        Ok(()) => Ok(url.to_owned()),
        Err((problem, allowed)) => Err(format!("{problem}; allowed: {allowed}")),
    })
}

fn calls(text: &str) -> Result<Vec<CallAnswer>, String> {
    list(text, |call| match call.split_once(' ') {
        Some((_, path)) if path.trim().starts_with('/') => Ok(CallAnswer {
            call: call.to_owned(),
            timeout: None,
        }),
        _ => Err(format!(
            "`{call}` is not a method and a path, such as POST /orders"
        )),
    })
}

fn ip(text: &str) -> Result<IpAddr, String> {
    text.parse()
        .map_err(|_| format!("`{text}` is not an IP address, such as 10.0.0.5"))
}

fn number<T: std::str::FromStr>(text: &str) -> Result<T, String> {
    text.parse()
        .map_err(|_| format!("`{text}` is not a whole number in the allowed range"))
}

fn yes(text: &str) -> Result<bool, String> {
    match text {
        "yes" | "y" => Ok(true),
        "no" | "n" => Ok(false),
        _ => Err(format!("`{text}` is neither `yes` nor `no`")),
    }
}

#[cfg(test)]
mod tests;
