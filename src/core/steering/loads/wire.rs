//! Compact encoding of the long parts of load sums. A hub sends them to each VM of
//! its data centre, so every byte of an entry counts 60 times.

/// Loads in the order of their tags, each with the distance from the previous one.
pub(super) mod tag_loads {
    use serde::{
        Deserialize,
        Deserializer,
        Serialize,
        Serializer,
        de::Error, //
    };

    use super::super::super::{
        capability::ServiceTime,
        peers::TagLoad,
        tag::Tag, //
    };

    /// Distance of the tag, flows, waiting, stalled and whether it answers, samples,
    /// mean service time.
    type Row = (u32, u32, u32, u64, u16, u16);

    pub fn serialize<S: Serializer>(loads: &[TagLoad], to: S) -> Result<S::Ok, S::Error> {
        let mut sorted: Vec<&TagLoad> = loads.iter().collect();
        sorted.sort_unstable_by_key(|l| l.tag);
        let mut previous = 0;
        let row = |load: &TagLoad| {
            let tag = load.tag.to_wire();
            let distance = tag - std::mem::replace(&mut previous, tag);
            let stalled = u64::from(load.stalled) * 2 + u64::from(load.is_answering);
            let ServiceTime { samples, mean_ms } = load.service_time;
            (
                distance,
                load.flows,
                load.waiting,
                stalled,
                samples,
                mean_ms,
            )
        };
        let rows: Vec<Row> = sorted.into_iter().map(row).collect();
        rows.serialize(to)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<TagLoad>, D::Error> {
        let rows: Vec<Row> = Vec::deserialize(from)?;
        let mut previous = 0_u32;
        let mut loads = Vec::with_capacity(rows.len());
        for (distance, flows, waiting, stalled, samples, mean_ms) in rows {
            let tag = previous.checked_add(distance).and_then(Tag::from_wire);
            let tag = tag.ok_or_else(|| D::Error::custom("tag out of range"))?;
            previous = tag.to_wire();
            loads.push(TagLoad {
                tag,
                flows,
                waiting,
                stalled: u32::try_from(stalled / 2).map_err(D::Error::custom)?,
                is_answering: stalled % 2 == 1,
                service_time: ServiceTime { samples, mean_ms },
            });
        }
        Ok(loads)
    }
}

/// Demand by service, with each name sent once.
pub(super) mod services {
    use serde::{
        Deserialize,
        Deserializer,
        Serialize,
        Serializer,
        de::Error, //
    };

    use super::super::message::ServiceDemand;
    use crate::core::names::{
        DataCentreId,
        ServiceId, //
    };

    /// Positions of service, origin and destination among the names, outstanding
    /// requests, flows.
    type Row = (u16, u16, u16, u32, u32);

    #[derive(Serialize, Deserialize)]
    struct Table {
        services: Vec<ServiceId>,
        data_centres: Vec<DataCentreId>,
        rows: Vec<Row>,
    }

    pub fn serialize<S: Serializer>(demand: &[ServiceDemand], to: S) -> Result<S::Ok, S::Error> {
        let mut table = Table {
            services: Vec::new(),
            data_centres: Vec::new(),
            rows: Vec::with_capacity(demand.len()),
        };
        for d in demand {
            let service = position(&mut table.services, &d.service);
            let origin = position(&mut table.data_centres, &d.origin);
            let destination = position(&mut table.data_centres, &d.destination);
            let row = (service, origin, destination, d.outstanding, d.flows);
            table.rows.push(row);
        }
        table.serialize(to)
    }

    /// Returns the position of a name, which is added unless it is known.
    fn position<T: Clone + PartialEq>(names: &mut Vec<T>, name: &T) -> u16 {
        let known = names.iter().position(|n| n == name);
        let at = known.unwrap_or_else(|| {
            names.push(name.clone());
            names.len() - 1
        });
        u16::try_from(at).unwrap_or(u16::MAX)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<ServiceDemand>, D::Error> {
        let table = Table::deserialize(from)?;
        let row = |(service, origin, destination, outstanding, flows): &Row| {
            Some(ServiceDemand {
                service: table.services.get(usize::from(*service))?.clone(),
                origin: table.data_centres.get(usize::from(*origin))?.clone(),
                destination: table.data_centres.get(usize::from(*destination))?.clone(),
                outstanding: *outstanding,
                flows: *flows,
            })
        };
        let rows: Option<Vec<ServiceDemand>> = table.rows.iter().map(row).collect();
        rows.ok_or_else(|| D::Error::custom("name out of range"))
    }
}
