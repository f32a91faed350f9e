//! Plans: what an intent would change, and what it puts at risk.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::core::{
    intent::{
        change::{
            Intent,
            IntentError, //
        },
        diff::{
            Change,
            changes, //
        },
        impact::{
            Risk,
            ServiceCapacity,
            Touched,
            capacity_left,
            risks,
            touched, //
        },
        ramp::{
            RampStep,
            steps, //
        },
        record::Record,
        usage::Usage,
    },
    names::{
        Generation,
        PlanId,
        VmId, //
    },
};

/// What a plan rests on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Base {
    /// The generation that was in force.
    pub generation: Generation,
    /// The generation of the last decision by operators.
    pub decision: Generation,
    /// The version of the record at the platform.
    pub version: u64,
}

/// The answer to an intent. Nothing happens before it is confirmed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The name by which it is confirmed.
    pub id: PlanId,
    /// The VM that made it.
    pub made_by: VmId,
    /// What operators asked for.
    pub intent: Intent,
    /// What it rests on.
    pub base: Base,
    /// What changes.
    pub changes: Vec<Change>,
    /// The work that it touches.
    pub touched: Vec<Touched>,
    /// What is left of each service's capacity.
    pub capacity: Vec<ServiceCapacity>,
    /// What is at risk.
    pub risks: Vec<Risk>,
    /// The steps that follow when a data centre returns.
    pub ramp: Vec<RampStep>,
}

impl Plan {
    /// Plans `intent` on `record`, which has `version` at the platform.
    ///
    /// # Errors
    ///
    /// Fails if the intent makes no sense on that record.
    pub fn open(
        id: PlanId,
        made_by: VmId,
        intent: Intent,
        record: &Record,
        version: u64,
        usage: &Usage,
    ) -> Result<Plan, IntentError> {
        let old = &record.cfg;
        let new = intent.apply_to(old)?;
        let capacity = capacity_left(old, &new);
        let ramp = match &intent {
            Intent::Return { .. } => steps(),
            _ => Vec::new(),
        };
        Ok(Plan {
            id,
            made_by,
            base: Base {
                generation: record.generation(),
                decision: record.decision,
                version,
            },
            changes: changes(old, &new),
            touched: touched(old, &new, usage),
            risks: risks(old, &new, &capacity, usage),
            capacity,
            ramp,
            intent,
        })
    }
}
