//! Plans: the changes that an intent would make, with their effects and risks.

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
            AffectedBackend,
            Risk,
            ServiceCapacity,
            affected_backends, //
            risks,
            service_capacities,
        },
        ramp::{
            RampStep,
            ramp_steps, //
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

/// The record that a plan is based on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PlanBase {
    /// The generation that was in force.
    pub generation: Generation,
    /// The generation of the last decision by operators.
    pub decision: Generation,
    /// The version of the record at the platform.
    pub version: u64,
}

/// A proposed change, which takes effect only when it is confirmed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The name by which it is confirmed.
    pub id: PlanId,
    /// The VM that made it.
    pub made_by: VmId,
    /// The change that operators requested.
    pub intent: Intent,
    /// The record that it is based on.
    pub base: PlanBase,
    /// The fields that change.
    pub changes: Vec<Change>,
    /// The backend servers whose work it affects.
    pub touched: Vec<AffectedBackend>,
    /// The capacity of each service before and after.
    pub capacity: Vec<ServiceCapacity>,
    /// The risks of confirming it.
    pub risks: Vec<Risk>,
    /// The steps that follow when a data centre returns.
    pub ramp: Vec<RampStep>,
}

impl Plan {
    /// Plans `intent` on `record`, which has `version` at the platform.
    ///
    /// # Errors
    ///
    /// Fails if the intent cannot be applied to that record.
    pub fn new(
        id: PlanId,
        made_by: VmId,
        intent: Intent,
        record: &Record,
        version: u64,
        usage: &Usage,
    ) -> Result<Plan, IntentError> {
        let old = &record.cfg;
        let new = intent.apply_to(old)?;
        let capacity = service_capacities(old, &new);
        let ramp = match &intent {
            Intent::Return { .. } => ramp_steps(),
            _ => Vec::new(),
        };
        Ok(Plan {
            id,
            made_by,
            base: PlanBase {
                generation: record.generation(),
                decision: record.decision,
                version,
            },
            changes: changes(old, &new),
            touched: affected_backends(old, &new, usage),
            risks: risks(old, &new, &capacity, usage),
            capacity,
            ramp,
            intent,
        })
    }
}
