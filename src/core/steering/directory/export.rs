//! Export of the backend servers for other VMs.

use super::Directory;
use crate::{
    core::steering::{
        directory_entry::Presence,
        exported::Exported,
        store::Position, //
    },
    kernel::clock::Time,
};

impl Directory {
    /// Exports the backend servers that changed after `since`, or all of them
    /// if some of the changes are no longer known, or if the store was restored
    /// before `as_of`, the position of this directory.
    pub fn export(&self, since: Position, as_of: Position, now: Time) -> Exported {
        let is_full = since < self.compacted || since.era < as_of.era || since == Position::NONE;
        let is_wanted = |position: Position| is_full || position > since;
        let mut exported = Exported {
            is_full,
            ..Exported::default()
        };
        for entry in self.entries.values() {
            let is_listed = entry.presence == Presence::Listed;
            if !is_wanted(entry.position) {
                continue;
            }
            if is_listed {
                exported.objects.push(entry.export(now));
            } else if !is_full {
                exported.removed.push(entry.export(now));
            }
        }
        // Older builds keep the first object that they read of each tag.
        let rivals = self.rivals.iter().filter(|o| is_wanted(o.position));
        exported.objects.extend(rivals.cloned());
        exported
    }
}
