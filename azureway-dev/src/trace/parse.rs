//! Parses the text format of traces.

use std::str::FromStr;

use anyhow::{Context, Error, Result, bail};

use super::{Incident, PeerRequest, Record, Trace, TraceRequest, WorkKind};

impl FromStr for Trace {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let mut trace = Self::default();
        for (number, line) in (1..).zip(text.lines()) {
            let words: Vec<&str> = line.split_whitespace().collect();
            let result = read_line(&mut trace, &words);
            result.with_context(|| format!("line {number}: {line:?}"))?;
        }
        Ok(trace)
    }
}

fn read_line(trace: &mut Trace, words: &[&str]) -> Result<()> {
    let header = &mut trace.header;
    match words {
        [] | ["#", ..] => {}
        ["seed", seed] => header.seed = seed.parse()?,
        ["zones", zones @ ..] => header.zones = to_strings(zones),
        ["regions", regions @ ..] => header.regions = to_strings(regions),
        ["engines", engines] => header.engines = engines.parse()?,
        ["accounts", accounts @ ..] => header.accounts = to_strings(accounts),
        ["blocks", blocks] => header.cache_blocks = blocks.parse()?,
        ["link", link] => header.link_latency = link.parse()?,
        ["level", name, tokens] => trace.levels.insert(name, tokens.parse()?),
        [at, rest @ ..] => {
            let record = read_record(trace, rest)?;
            push_record(trace, at.parse()?, record)?;
        }
    }
    Ok(())
}

fn push_record(trace: &mut Trace, at: u64, record: Record) -> Result<()> {
    if trace.records.last().is_some_and(|(last, _)| *last > at) {
        bail!("the records are not in the order of time");
    }
    trace.records.push((at, record));
    Ok(())
}

fn read_record(trace: &Trace, words: &[&str]) -> Result<Record> {
    match words {
        ["ask", request @ ..] => Ok(Record::Request(read_request(trace, request)?)),
        ["other", server, request @ ..] => Ok(Record::PeerRequest(PeerRequest {
            server: (*server).to_owned(),
            request: read_request(trace, request)?,
        })),
        _ => {
            let incident = Incident::parse(words).context("unknown type of record")?;
            Ok(Record::Incident(incident))
        }
    }
}

fn read_request(trace: &Trace, words: &[&str]) -> Result<TraceRequest> {
    let &[
        account,
        kind,
        worth,
        ttft_limit,
        output,
        levels,
        unique_tokens,
        ref flags @ ..,
    ] = words
    else {
        bail!("a request needs at least seven words");
    };
    let levels = to_strings(&levels.split('/').collect::<Vec<_>>());
    if let Some(level) = levels.iter().find(|l| !trace.levels.contains(l)) {
        bail!("the prompt level {level:?} is not defined");
    }
    Ok(TraceRequest {
        account: account.to_owned(),
        kind: WorkKind::parse(kind).context("unknown kind of request")?,
        worth: worth.parse()?,
        ttft_limit: ttft_limit.parse()?,
        output: output.parse()?,
        levels,
        unique_tokens: unique_tokens.parse()?,
        poison: flags.contains(&"poison"),
    })
}

fn to_strings(words: &[&str]) -> Vec<String> {
    words.iter().map(|w| (*w).to_owned()).collect()
}
