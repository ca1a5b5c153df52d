//! Reads a contract from TOML and keeps the place of every value.
//!
//! The reader walks the parsed document itself instead of deserializing it, so that it goes on after
//! a finding and reports all of them together.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;

use serde_spanned::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use super::Access;
use super::Contract;
use super::Pool;
use super::Profile;
use super::Queue;
use super::Service;
use super::Team;
use super::check::Spans;
use super::check::check_contract;
use crate::diagnostic::Diagnostics;
use crate::diagnostic::SourceLocation;
use crate::host::HostSpec;

/// Requests that wait at one node when a queue names no bound.
const WAITING_MAX_DEFAULT: u64 = 1_000;
/// Time that a request waits when a queue names no bound, in milliseconds.
const WAIT_MAX_DEFAULT_MS: u64 = 10_000;
/// Largest count that a contract may name.
const COUNT_MAX: u64 = 10_000_000;
/// Longest name, in bytes.
const NAME_MAX_BYTES: usize = 64;

/// Contract in `text`, or all findings; `source` names the text in their places.
pub fn parse_contract(source: &str, text: &str) -> Result<Contract, Diagnostics> {
    let (document, errors) = DeTable::parse_recoverable(text);
    let mut reader = Reader { source, text, diagnostics: Diagnostics::default() };
    for error in errors {
        let span = error.span().unwrap_or(0..0);
        reader.find(&span, error.message().to_owned(), "write valid TOML");
    }
    let mut spans = Spans::default();
    let contract = reader.contract(&document, &mut spans);
    check_contract(&contract, &spans, &mut |span, message, hint| {
        reader.find(span, message, hint);
    });
    reader.diagnostics.into_result(contract)
}

struct Reader<'a> {
    source: &'a str,
    text: &'a str,
    diagnostics: Diagnostics,
}

/// A table of the document with its own span.
struct Section<'a> {
    table: &'a DeTable<'a>,
    span: Range<usize>,
}

impl Reader<'_> {
    fn find(&mut self, span: &Range<usize>, message: impl Into<String>, hint: impl Into<String>) {
        let location = SourceLocation::in_text(self.source, self.text, span);
        self.diagnostics.push(location, message, hint);
    }

    fn contract(&mut self, document: &Spanned<DeTable<'_>>, spans: &mut Spans) -> Contract {
        let root = Section { table: document.get_ref(), span: 0..0 };
        let known = ["customer", "hosts", "pools", "profile", "queues", "services", "teams"];
        self.reject_unknown(&root, &known);
        let mut contract = Contract {
            customer: self.name(&root, "customer"),
            profile: self.profile(&root),
            services: Vec::new(),
            queues: Vec::new(),
            teams: Vec::new(),
            pools: Vec::new(),
            hosts: Vec::new(),
        };
        for section in self.sections(&root, "services") {
            contract.services.push(self.service(&section));
            spans.services.push(section.span);
        }
        for section in self.sections(&root, "queues") {
            contract.queues.push(self.queue(&section));
            spans.queues.push(section.span);
        }
        for section in self.sections(&root, "teams") {
            contract.teams.push(self.team(&section));
            spans.teams.push(section.span);
        }
        for section in self.sections(&root, "pools") {
            contract.pools.push(self.pool(&section));
            spans.pools.push(section.span);
        }
        for section in self.sections(&root, "hosts") {
            contract.hosts.push(self.host(&section));
            spans.hosts.push(section.span);
        }
        sort_with(&mut contract.services, &mut spans.services, |service| &service.name);
        sort_with(&mut contract.queues, &mut spans.queues, |queue| &queue.name);
        sort_with(&mut contract.teams, &mut spans.teams, |team| &team.name);
        sort_with(&mut contract.pools, &mut spans.pools, |pool| &pool.name);
        sort_with(&mut contract.hosts, &mut spans.hosts, |host| &host.id);
        contract
    }

    fn service(&mut self, section: &Section<'_>) -> Service {
        self.reject_unknown(section, &["name", "unavailable_max"]);
        Service {
            name: self.name(section, "name"),
            unavailable_max: self.count(section, "unavailable_max", None) as u32,
        }
    }

    fn queue(&mut self, section: &Section<'_>) -> Queue {
        let known = ["name", "service", "open", "open_team", "teams", "waiting_max", "wait_max_ms"];
        self.reject_unknown(section, &known);
        let open = self.flag(section, "open");
        let mut teams = self.names(section, "teams");
        teams.sort();
        if open && !teams.is_empty() {
            self.find(
                &section.span,
                "a queue that is open to all lists teams",
                "remove `teams`, or set `open = false`",
            );
        }
        Queue {
            name: self.name(section, "name"),
            service: self.name(section, "service"),
            access: if open { Access::Open } else { Access::Teams(teams) },
            open_team: self.optional_name(section, "open_team"),
            waiting_max: self.count(section, "waiting_max", Some(WAITING_MAX_DEFAULT)) as u32,
            wait_max_ms: self.count(section, "wait_max_ms", Some(WAIT_MAX_DEFAULT_MS)),
        }
    }

    fn team(&mut self, section: &Section<'_>) -> Team {
        self.reject_unknown(section, &["name", "share_weight", "running_max"]);
        Team {
            name: self.name(section, "name"),
            share_weight: self.count(section, "share_weight", Some(1)) as u32,
            running_max: self.count(section, "running_max", None) as u32,
        }
    }

    fn pool(&mut self, section: &Section<'_>) -> Pool {
        self.reject_unknown(section, &["name", "service"]);
        Pool { name: self.name(section, "name"), service: self.optional_name(section, "service") }
    }

    fn host(&mut self, section: &Section<'_>) -> HostSpec {
        let known = [
            "name",
            "pool",
            "address",
            "zone",
            "rack",
            "slots",
            "connections_max",
            "processors",
            "memory_mib",
            "accelerators",
        ];
        self.reject_unknown(section, &known);
        HostSpec {
            id: self.name(section, "name"),
            pool: self.name(section, "pool"),
            address: self.address(section, "address"),
            zone: self.name(section, "zone"),
            rack: self.name(section, "rack"),
            slots: self.count(section, "slots", None) as u32,
            connections_max: self.count(section, "connections_max", None) as u32,
            processors: self.count(section, "processors", None) as u32,
            memory_mib: self.count(section, "memory_mib", None),
            accelerators: self.count(section, "accelerators", Some(0)) as u32,
        }
    }

    fn profile(&mut self, section: &Section<'_>) -> Profile {
        let Some((text, span)) = self.string(section, "profile", true) else {
            return Profile::Share;
        };
        match text.as_str() {
            "share" => Profile::Share,
            "buffer" => Profile::Buffer,
            _ => {
                self.find(&span, format!("unknown profile `{text}`"), "write `share` or `buffer`");
                Profile::Share
            }
        }
    }

    fn sections<'s>(&mut self, parent: &Section<'s>, field: &str) -> Vec<Section<'s>> {
        let Some(value) = parent.table.get(field) else {
            return Vec::new();
        };
        let DeValue::Array(items) = value.get_ref() else {
            self.find(
                &value.span(),
                format!("`{field}` is not a list of tables"),
                format!("write each entry under its own `[[{field}]]`"),
            );
            return Vec::new();
        };
        let mut sections = Vec::new();
        for item in items.iter() {
            match item.get_ref() {
                DeValue::Table(table) => sections.push(Section { table, span: item.span() }),
                _ => self.find(
                    &item.span(),
                    format!("an entry of `{field}` is not a table"),
                    format!("write each entry under its own `[[{field}]]`"),
                ),
            }
        }
        sections
    }

    fn reject_unknown(&mut self, section: &Section<'_>, known: &[&str]) {
        for (field, _) in section.table.iter() {
            if !known.contains(&field.get_ref().as_ref()) {
                self.find(
                    &field.span(),
                    format!("unknown field `{}`", field.get_ref()),
                    format!("use one of: {}", known.join(", ")),
                );
            }
        }
    }

    fn string(
        &mut self,
        section: &Section<'_>,
        field: &str,
        required: bool,
    ) -> Option<(String, Range<usize>)> {
        let Some(value) = section.table.get(field) else {
            if required {
                self.find(
                    &section.span,
                    format!("`{field}` is missing"),
                    format!("add `{field} = \"...\"`"),
                );
            }
            return None;
        };
        let span = value.span();
        match value.get_ref() {
            DeValue::String(text) => Some((text.to_string(), span)),
            _ => {
                self.find(&span, format!("`{field}` is not a string"), "put it in quotes");
                None
            }
        }
    }

    fn name(&mut self, section: &Section<'_>, field: &str) -> Arc<str> {
        match self.string(section, field, true) {
            Some((text, span)) => self.checked_name(&text, &span),
            None => Arc::from(""),
        }
    }

    fn optional_name(&mut self, section: &Section<'_>, field: &str) -> Option<Arc<str>> {
        let (text, span) = self.string(section, field, false)?;
        Some(self.checked_name(&text, &span))
    }

    fn names(&mut self, section: &Section<'_>, field: &str) -> Vec<Arc<str>> {
        let Some(value) = section.table.get(field) else {
            return Vec::new();
        };
        let DeValue::Array(items) = value.get_ref() else {
            self.find(&value.span(), format!("`{field}` is not a list"), "write [\"a\", \"b\"]");
            return Vec::new();
        };
        let mut names = Vec::new();
        for item in items.iter() {
            match item.get_ref() {
                DeValue::String(text) => names.push(self.checked_name(text, &item.span())),
                _ => self.find(
                    &item.span(),
                    format!("an entry of `{field}` is not a string"),
                    "put it in quotes",
                ),
            }
        }
        names
    }

    fn checked_name(&mut self, text: &str, span: &Range<usize>) -> Arc<str> {
        let valid = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if text.is_empty() || text.len() > NAME_MAX_BYTES || !text.chars().all(valid) {
            self.find(
                span,
                format!("`{text}` is not a valid name"),
                format!("use 1 to {NAME_MAX_BYTES} letters, digits, `-`, `_` or `.`"),
            );
        }
        Arc::from(text)
    }

    fn flag(&mut self, section: &Section<'_>, field: &str) -> bool {
        let Some(value) = section.table.get(field) else {
            return false;
        };
        match value.get_ref() {
            DeValue::Boolean(flag) => *flag,
            _ => {
                let span = value.span();
                self.find(&span, format!("`{field}` is not a boolean"), "write true or false");
                false
            }
        }
    }

    fn count(&mut self, section: &Section<'_>, field: &str, default: Option<u64>) -> u64 {
        let Some(value) = section.table.get(field) else {
            if default.is_none() {
                self.find(
                    &section.span,
                    format!("`{field}` is missing"),
                    format!("add `{field} = N`"),
                );
            }
            return default.unwrap_or(0);
        };
        let count = match value.get_ref() {
            DeValue::Integer(integer) => {
                u64::from_str_radix(integer.as_str(), integer.radix()).ok()
            }
            _ => None,
        };
        match count {
            Some(count) if count <= COUNT_MAX => count,
            _ => {
                self.find(
                    &value.span(),
                    format!("`{field}` is not a count"),
                    format!("write a whole number from 0 to {COUNT_MAX}"),
                );
                0
            }
        }
    }

    fn address(&mut self, section: &Section<'_>, field: &str) -> SocketAddr {
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        let Some((text, span)) = self.string(section, field, true) else {
            return unspecified;
        };
        match text.parse() {
            Ok(address) => address,
            Err(_) => {
                self.find(
                    &span,
                    format!("`{text}` is not an address"),
                    "write an IP number and a port, as in \"10.0.0.7:8080\"",
                );
                unspecified
            }
        }
    }
}

/// Sorts items by name and keeps their spans beside them.
fn sort_with<T>(items: &mut Vec<T>, spans: &mut Vec<Range<usize>>, name: impl Fn(&T) -> &str) {
    let mut pairs: Vec<_> = items.drain(..).zip(spans.drain(..)).collect();
    pairs.sort_by(|a, b| name(&a.0).cmp(name(&b.0)));
    for (item, span) in pairs {
        items.push(item);
        spans.push(span);
    }
}
