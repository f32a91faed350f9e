//! Checks the history of configurations against what the platform and the VMs
//! recorded.

use std::collections::BTreeMap;

use dragonflytrack::core::{
    intent::{
        AdminReply,
        CONFIGURATION_KEY,
        Record, //
    },
    notice::Notice,
};
use dragonflytrack_testkit::{
    Fleet,
    platform::Write, //
};

/// The answer that an operator got to a confirmation.
#[derive(Clone, Debug)]
pub struct ConfirmReply {
    /// The plan.
    pub plan: String,
    /// The answer; `None` if there was none.
    pub reply: Option<AdminReply>,
}

/// Returns the replaced version, the version and the record of each write to
/// the record, in the order in which the platform accepted them.
pub fn records(writes: &[Write]) -> Vec<(u64, u64, Record)> {
    let on_record = writes.iter().filter(|w| w.key == CONFIGURATION_KEY);
    on_record
        .map(|w| {
            let decoded = Record::from_value(&w.object.value).unwrap();
            (w.base, w.object.version, decoded.record)
        })
        .collect()
}

/// Checks that the accepted records form a chain: each replaces the one before
/// it and has a greater generation. `first` is the version that the first of
/// them replaces.
///
/// # Errors
///
/// Describes the first record that breaks the chain.
pub fn check_chain(first: u64, writes: &[Write]) -> Result<(), String> {
    let mut version = first;
    let mut generation = 0;
    for (base, next, record) in records(writes) {
        if base != version {
            return Err(format!("version {next} replaces {base}, not {version}"));
        }
        if record.generation().0 <= generation {
            return Err(format!(
                "generation {} after {generation}",
                record.generation()
            ));
        }
        version = next;
        generation = record.generation().0;
    }
    Ok(())
}

/// Checks the answers to operators against the accepted records: a plan takes
/// effect at most once, a refused plan never does, and a confirmed plan created
/// the generation in the answer.
///
/// # Errors
///
/// Describes the first wrong answer.
pub fn check_answers(writes: &[Write], confirm_replies: &[ConfirmReply]) -> Result<(), String> {
    let mut created: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for (_, _, record) in records(writes) {
        let newest = record.confirmed.last();
        let newest = newest.filter(|c| c.generation == record.generation());
        if let Some(confirmed) = newest {
            let plan = confirmed.plan.to_string();
            created
                .entry(plan)
                .or_default()
                .push(confirmed.generation.0);
        }
    }
    if let Some((plan, twice)) = created.iter().find(|(_, g)| g.len() > 1) {
        return Err(format!("plan {plan} took effect in generations {twice:?}"));
    }
    for ConfirmReply { plan, reply } in confirm_replies {
        let generation = created.get(plan).map(|g| g[0]);
        let Some(reply) = reply else {
            continue;
        };
        let is_correct = match reply.status {
            200 => generation.is_some() && reply.body["generation"].as_u64() == generation,
            409 | 422 => generation.is_none(),
            _ => true,
        };
        if !is_correct {
            return Err(format!("plan {plan}, made {generation:?}: {reply:?}"));
        }
    }
    Ok(())
}

/// Checks that no run of a VM reverted to a lower generation.
///
/// # Errors
///
/// Describes the first VM that did.
pub fn check_never_reverts(fleet: &Fleet) -> Result<(), String> {
    for noted in &fleet.notices {
        if noted.notice != Notice::ConfigurationApplied {
            continue;
        }
        let numbers = noted.detail.split(' ').filter_map(|w| w.parse().ok());
        let [new, old] = numbers.collect::<Vec<u64>>()[..] else {
            return Err(format!("cannot read {:?}", noted.detail));
        };
        if new <= old {
            return Err(format!("vm{} at {}: {}", noted.vm, noted.at, noted.detail));
        }
    }
    Ok(())
}
