//! The interactive questions of `coriandercove init`.

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

/// Port on which generated entries listen for callers.
const CALLERS_PORT: u16 = 8080;
/// Port on which generated processes listen for peers; the operations port is the next one.
const PEER_PORT: u16 = 7400;
/// Port on which the engines and services of the generated groups listen.
const TARGET_PORT: u16 = 8000;

/// Asks all questions. The answers are valid one by one; the caller still has to check them as a
/// whole.
pub(crate) fn ask(p: &mut Prompt<'_>) -> Result<Answers, CliError> {
    let trade = TeamAnswer {
        name: p.ask("Name of the team", "", parse_required)?,
        description: p.ask("What the team does", "", parse_text)?,
    };
    let site = SiteAnswer {
        name: p.ask("Name of the site", "main", parse_name)?,
        region: p.ask("Region of the site", "south", parse_name)?,
        zones: p
            .ask("Zones, separated by commas", "zone-1", parse_names)?
            .iter()
            .map(|z| z.as_str().into())
            .collect(),
    };
    let store = p.ask(
        "URLs of the store, separated by commas",
        "http://127.0.0.1:7300",
        parse_urls,
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
        let ip = p.ask(&question, &format!("10.0.{}.10", i + 1), parse_ip)?;
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

/// Asks for at most one model; operators add further models to the answers file. Adds the groups of
/// engines of the model to `targets`.
fn model(
    p: &mut Prompt<'_>,
    site: &SiteAnswer,
    targets: &mut Vec<TargetGroup>,
) -> Result<Vec<ModelAnswer>, CliError> {
    let model = p.ask("Name of the model, or `none`", "drafts", parse_name)?;
    if model == "none" {
        return Ok(Vec::new());
    }
    let accelerator = p.ask("Kind of accelerator", "l4", parse_name)?;
    let answer = ModelAnswer {
        model: model.as_str().into(),
        version: p.ask("Version of the weights", "v1", parse_name)?,
        drafts: p.ask("What the model is used for", "", parse_text)?,
        layers: p.ask("Number of layers", "32", parse_number::<Layer>)?,
        hidden_size: p.ask(
            "Hidden size (number of values in the activation of one token)",
            "4096",
            parse_number,
        )?,
        max_tokens: p.ask(
            "Longest prompt and answer together, in tokens",
            "8192",
            parse_number,
        )?,
        compute: vec![LayerCompute {
            accelerator: accelerator.clone(),
            decode_us: p.ask(
                "Compute time of one layer for a decode iteration, in microseconds",
                "400",
                parse_number,
            )?,
            prefill_ns: p.ask(
                "Compute time of one layer for a prompt token, in nanoseconds",
                "20000",
                parse_number,
            )?,
        }],
        ..default_model()?
    };
    let checks = p.ask(
        "Do the engines refuse orders with an outdated fencing token? yes or no",
        "no",
        parse_yes_no,
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

/// Returns the first model of the example, whose values apply to all fields that are not asked for,
/// such as deadlines.
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
        parse_names,
    )?;
    let mut out = Vec::new();
    for (n, service) in wanted.iter().filter(|s| *s != "none").enumerate() {
        let once = format!("Calls of {service} that must not repeat, such as POST /orders");
        let again = format!("Calls of {service} that may be retried");
        out.push(ServiceAnswer {
            name: service.clone(),
            must_not_repeat: p.ask(&once, "POST /**", parse_calls)?,
            repeatable: p.ask(&again, "GET /**", parse_calls)?,
            timeout: std::time::Duration::from_secs(10),
            concurrency: 64,
        });
        let question = format!(
            "Do the targets of {service} refuse orders with an outdated fencing token? yes or no"
        );
        let checks = p.ask(&question, "no", parse_yes_no)?;
        for (i, zone) in site.zones.iter().enumerate() {
            let mut group = group(p, service, zone, i, 200 + n)?;
            group.checks_orders = checks;
            group.service = Some(service.clone());
            targets.push(group);
        }
    }
    Ok(out)
}

/// Asks for the replicas of one model or service in one zone.
fn group(
    p: &mut Prompt<'_>,
    what: &str,
    zone: &str,
    zone_index: usize,
    host: usize,
) -> Result<TargetGroup, CliError> {
    let replicas = p.ask(&format!("Replicas of {what} in {zone}"), "1", parse_number)?;
    let question = format!("IP address of the first replica of {what} in {zone}");
    let ip = p.ask(
        &question,
        &format!("10.0.{}.{host}", zone_index + 1),
        parse_ip,
    )?;
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
    let wanted = p.ask(
        "Client accounts, separated by commas",
        "workshop",
        parse_names,
    )?;
    let mut out = Vec::new();
    for name in wanted {
        let callers = p.ask(&format!("Who sends the requests of {name}"), "", parse_text)?;
        let weight = p.ask(
            &format!("Share of {name} relative to other accounts"),
            "1",
            parse_number,
        )?;
        let quota = p.ask(
            &format!("Quota of {name} in tokens per second"),
            "1000",
            parse_number,
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

/// Accepts any text.
fn parse_text(text: &str) -> Result<String, String> {
    Ok(text.to_owned())
}

/// Accepts any text that is not empty.
fn parse_required(text: &str) -> Result<String, String> {
    match text {
        "" => Err("an answer is required".to_owned()),
        text => Ok(text.to_owned()),
    }
}

fn parse_name(text: &str) -> Result<String, String> {
    if is_name(text) {
        Ok(text.to_owned())
    } else {
        Err(format!(
            "`{text}` is not a valid name; allowed are {NAME_FORM}"
        ))
    }
}

/// Parses a list of items separated by commas.
fn parse_list<T>(text: &str, parse: impl Fn(&str) -> Result<T, String>) -> Result<Vec<T>, String> {
    let items = text.split(',').map(str::trim).filter(|t| !t.is_empty());
    items.map(parse).collect()
}

fn parse_names(text: &str) -> Result<Vec<String>, String> {
    parse_list(text, parse_name)
}

fn parse_urls(text: &str) -> Result<Vec<String>, String> {
    parse_list(text, |url| match check_url(url) {
        Ok(()) => Ok(url.to_owned()),
        Err((problem, allowed)) => Err(format!("{problem}; allowed: {allowed}")),
    })
}

/// Parses calls of a service, each a method and a path pattern such as `POST /orders`.
fn parse_calls(text: &str) -> Result<Vec<CallAnswer>, String> {
    parse_list(text, |call| match call.split_once(' ') {
        Some((_, path)) if path.trim().starts_with('/') => Ok(CallAnswer {
            call: call.to_owned(),
            timeout: None,
        }),
        _ => Err(format!(
            "`{call}` is not a method and a path, such as POST /orders"
        )),
    })
}

fn parse_ip(text: &str) -> Result<IpAddr, String> {
    text.parse()
        .map_err(|_| format!("`{text}` is not an IP address, such as 10.0.0.5"))
}

fn parse_number<T: std::str::FromStr>(text: &str) -> Result<T, String> {
    text.parse()
        .map_err(|_| format!("`{text}` is not a whole number in the allowed range"))
}

fn parse_yes_no(text: &str) -> Result<bool, String> {
    match text {
        "yes" | "y" => Ok(true),
        "no" | "n" => Ok(false),
        _ => Err(format!("`{text}` is neither `yes` nor `no`")),
    }
}

#[cfg(test)]
mod tests;
