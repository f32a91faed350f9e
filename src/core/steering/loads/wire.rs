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
        capability::service_time::{
            RECENT_WIRE_VALUES,
            ServiceTime, //
        },
        peers::TagLoad,
        tag::Tag, //
    };

    /// Distance of the tag, flows, waiting, state, samples, mean service time. The state
    /// is one byte while nothing is stalled: stalled, recent responses and whether it
    /// answers.
    type Row = (u32, u32, u32, u64, u16, u16);

    pub fn serialize<S: Serializer>(loads: &[TagLoad], to: S) -> Result<S::Ok, S::Error> {
        let mut sorted: Vec<&TagLoad> = loads.iter().collect();
        sorted.sort_unstable_by_key(|l| l.tag);
        let mut previous = 0;
        let row = |load: &TagLoad| {
            let tag = load.tag.to_wire();
            let distance = tag - std::mem::replace(&mut previous, tag);
            let recent = load.service_time.recent_to_wire();
            let state = u64::from(load.stalled) * RECENT_WIRE_VALUES + recent;
            (
                distance,
                load.flows,
                load.waiting,
                state * 2 + u64::from(load.is_answering),
                load.service_time.samples,
                load.service_time.mean_ms,
            )
        };
        let rows: Vec<Row> = sorted.into_iter().map(row).collect();
        rows.serialize(to)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<TagLoad>, D::Error> {
        let rows: Vec<Row> = Vec::deserialize(from)?;
        let mut previous = 0_u32;
        let mut loads = Vec::with_capacity(rows.len());
        for (distance, flows, waiting, state, samples, mean_ms) in rows {
            let tag = previous.checked_add(distance).and_then(Tag::from_wire);
            let tag = tag.ok_or_else(|| D::Error::custom("tag out of range"))?;
            previous = tag.to_wire();
            loads.push(TagLoad {
                tag,
                flows,
                waiting,
                stalled: u32::try_from(state / 2 / RECENT_WIRE_VALUES).map_err(D::Error::custom)?,
                is_answering: state % 2 == 1,
                service_time: ServiceTime {
                    samples,
                    mean_ms,
                    ..ServiceTime::default()
                }
                .with_recent(state / 2 % RECENT_WIRE_VALUES),
            });
        }
        Ok(loads)
    }
}

/// Demand by service, with each name sent once, in the order of service, origin and
/// destination.
pub(super) mod services {
    use serde::{
        Deserialize,
        Deserializer,
        Serialize,
        Serializer,
        de::Error, //
    };

    use super::super::{
        demand::key,
        message::ServiceDemand, //
    };
    use crate::core::names::{
        DataCentreId,
        ServiceId, //
    };

    /// Distance of the cell from the previous one, outstanding requests, flows. Cells
    /// are numbered by service, origin and destination.
    type Row = (u32, u32, u32);

    #[derive(Serialize, Deserialize)]
    struct Table {
        services: Vec<ServiceId>,
        data_centres: Vec<DataCentreId>,
        rows: Vec<Row>,
    }

    impl Table {
        fn cell(&self, demand: &ServiceDemand) -> u32 {
            let position = |id| self.data_centres.binary_search(id).unwrap_or(0);
            let service = self.services.binary_search(&demand.service).unwrap_or(0);
            let origin = service * self.data_centres.len() + position(&demand.origin);
            let cell = origin * self.data_centres.len() + position(&demand.destination);
            u32::try_from(cell).unwrap_or(u32::MAX)
        }

        fn demand(&self, cell: u32, outstanding: u32, flows: u32) -> Option<ServiceDemand> {
            let (cell, width) = (cell as usize, self.data_centres.len());
            let origin = cell.checked_div(width)?;
            Some(ServiceDemand {
                service: self.services.get(origin / width)?.clone(),
                origin: self.data_centres[origin % width].clone(),
                destination: self.data_centres[cell % width].clone(),
                outstanding,
                flows,
            })
        }
    }

    pub fn serialize<S: Serializer>(demand: &[ServiceDemand], to: S) -> Result<S::Ok, S::Error> {
        let mut sorted: Vec<&ServiceDemand> = demand.iter().collect();
        sorted.sort_unstable_by(|a, b| key(a).cmp(&key(b)));
        let data_centres = sorted.iter().flat_map(|d| [&d.origin, &d.destination]);
        let mut table = Table {
            services: sorted_names(sorted.iter().map(|d| &d.service)),
            data_centres: sorted_names(data_centres),
            rows: Vec::new(),
        };
        let mut previous = 0;
        let row = |demand: &ServiceDemand| {
            let cell = table.cell(demand);
            let distance = cell - std::mem::replace(&mut previous, cell);
            (distance, demand.outstanding, demand.flows)
        };
        table.rows = sorted.into_iter().map(row).collect();
        table.serialize(to)
    }

    fn sorted_names<'a, T: Clone + Ord + 'a>(names: impl Iterator<Item = &'a T>) -> Vec<T> {
        let mut names: Vec<&T> = names.collect();
        names.sort_unstable();
        names.dedup();
        names.into_iter().cloned().collect()
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<ServiceDemand>, D::Error> {
        let table = Table::deserialize(from)?;
        let mut cell = 0_u32;
        let mut demand = Vec::with_capacity(table.rows.len());
        for (distance, outstanding, flows) in &table.rows {
            let next = cell.checked_add(*distance);
            let row = next.and_then(|at| table.demand(at, *outstanding, *flows));
            demand.push(row.ok_or_else(|| D::Error::custom("name out of range"))?);
            cell += distance;
        }
        Ok(demand)
    }
}
