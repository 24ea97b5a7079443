#include "core/coordination/ledger.h"

namespace amaranthlane::coordination {

LedgerEntry& PromiseLedger::Note(const Beat& beat, TimePoint now) {
  LedgerEntry& entry = this->entries[beat.vm];
  if (entry.incarnation != beat.incarnation) {
    entry = {};
    entry.incarnation = beat.incarnation;
  }
  entry.address = beat.address;
  entry.relay_address = beat.relay_address;
  entry.data_centre = beat.data_centre;
  entry.last_beat = now;
  entry.version = beat.version;
  entry.busy = {beat.busy.begin(), beat.busy.end()};
  entry.suspects = {beat.suspects.begin(), beat.suspects.end()};
  entry.reaches = {beat.reaches.begin(), beat.reaches.end()};
  entry.released = beat.released;
  entry.leaving = beat.leaving;
  return entry;
}

bool PromiseLedger::Released(const GroupName& group, std::uint64_t version, const VmName& self, TimePoint now) const {
  return this->Holdouts(group, version, self, now).empty();
}

std::vector<VmName> PromiseLedger::Holdouts(const GroupName& group, std::uint64_t version, const VmName& self,
                                            TimePoint now) const {
  std::vector<VmName> holdouts;
  for (const auto& [vm, entry] : this->entries) {
    const bool released = entry.version >= version && entry.busy.count(group) == 0;
    if (vm != self && !released && entry.promised_until > now) {
      holdouts.push_back(vm);
    }
  }
  return holdouts;
}

std::vector<gateways::FleetVm> PromiseLedger::AliveSince(TimePoint since) const {
  std::vector<gateways::FleetVm> alive;
  for (const auto& [vm, entry] : this->entries) {
    if (entry.last_beat >= since && !entry.leaving) {
      alive.push_back({vm, entry.relay_address, entry.data_centre});
    }
  }
  return alive;
}

const std::map<VmName, LedgerEntry>& PromiseLedger::Entries() const { return this->entries; }

}  // namespace amaranthlane::coordination
