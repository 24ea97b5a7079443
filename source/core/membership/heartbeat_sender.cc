#include "core/membership/heartbeat_sender.h"

#include <xxhash.h>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <utility>
#include <vector>

namespace amaranthlane::membership {

namespace {

bool IsReachable(const VmRow& row) { return !row.address.empty() && row.liveness != Liveness::kDead; }

// The row after `cursor`, wrapping around at the end. There must be at least one row.
std::map<VmName, VmRow>::iterator NextRow(MembershipTables& tables, const VmName& cursor) {
  const auto next = tables.vms.upper_bound(cursor);
  return next == tables.vms.end() ? tables.vms.begin() : next;
}

DigestEntry MakeEntry(const VmRow& row, bool with_address) {
  DigestEntry entry;
  entry.vm = row.vm;
  entry.incarnation = row.incarnation;
  entry.counter = row.counter;
  entry.state = row.state;
  if (row.liveness == Liveness::kDead) {
    entry.state = VmState::kDead;
  }
  if (with_address) {
    entry.data_centre = row.data_centre;
    entry.region = row.region;
    entry.address = row.address;
  }
  return entry;
}

// Adds the entries that changed recently, with addresses.
void AddUrgentEntries(MembershipTables& tables, std::vector<DigestEntry>& digest) {
  for (std::size_t step = 0; step < tables.vms.size(); ++step) {
    if (digest.size() >= tables.settings.max_digest_entries) {
      return;
    }
    VmRow& row = NextRow(tables, tables.urgent_cursor)->second;
    tables.urgent_cursor = row.vm;
    if (row.urgent_sends > 0 && row.counter > 0) {
      --row.urgent_sends;
      digest.push_back(MakeEntry(row, /*with_address=*/true));
    }
  }
}

void AddRotatingEntries(MembershipTables& tables, std::vector<DigestEntry>& digest) {
  for (std::size_t step = 0; step < tables.vms.size(); ++step) {
    if (digest.size() >= tables.settings.max_digest_entries) {
      return;
    }
    const VmRow& row = NextRow(tables, tables.digest_cursor)->second;
    tables.digest_cursor = row.vm;
    if (row.liveness == Liveness::kLive) {
      digest.push_back(MakeEntry(row, /*with_address=*/false));
    }
  }
}

void Send(MembershipTables& tables, const VmName& vm, const std::string& address, Heartbeat heartbeat) {
  tables.actions.emplace_back(SendHeartbeat{vm, address, std::move(heartbeat)});
}

// Sends to each seed until a VM with its address is known.
void SendToSeeds(MembershipTables& tables) {
  std::set<std::string> known = {tables.self.address};
  for (const auto& [name, row] : tables.vms) {
    known.insert(row.address);
  }
  for (const std::string& address : tables.seeds) {
    if (!known.contains(address)) {
      Send(tables, "", address, {.sender = OwnEntry(tables, /*with_address=*/true), .digest = {}});
    }
  }
}

void SendToAll(MembershipTables& tables) {
  for (const auto& [name, row] : tables.vms) {
    // Includes dead VMs, so that VMs find each other again after a network outage.
    if (!row.address.empty()) {
      Heartbeat heartbeat{.sender = OwnEntry(tables, /*with_address=*/true), .digest = {}};
      AddUrgentEntries(tables, heartbeat.digest);
      Send(tables, name, row.address, std::move(heartbeat));
    }
  }
}

void SendToHeartbeatPeers(MembershipTables& tables) {
  for (const VmName& vm : tables.send_to) {
    const auto found = tables.vms.find(vm);
    if (found != tables.vms.end() && !found->second.address.empty()) {
      Send(tables, vm, found->second.address, {.sender = OwnEntry(tables, /*with_address=*/false), .digest = {}});
    }
  }
}

std::vector<VmName> HashedPeers(const MembershipTables& tables) {
  const XXH64_hash_t seed = XXH3_64bits(tables.self.vm.data(), tables.self.vm.size());
  std::vector<std::pair<std::uint64_t, VmName>> order;
  for (const auto& [name, row] : tables.vms) {
    if (IsReachable(row)) {
      order.emplace_back(XXH3_64bits_withSeed(name.data(), name.size(), seed), name);
    }
  }
  const std::size_t count = std::min(order.size(), tables.settings.hashed_peers);
  const auto middle = order.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(order.begin(), middle, order.end(), std::greater<>());
  std::vector<VmName> peers;
  for (auto entry = order.begin(); entry != middle; ++entry) {
    peers.push_back(std::move(entry->second));
  }
  return peers;
}

// Adds the next peers in rotation, dead ones included, so that both sides of a network partition find each other when
// it ends.
void AddRotatingPeers(MembershipTables& tables, std::vector<VmName>& peers) {
  for (std::size_t step = 0; step < tables.settings.rotating_peers; ++step) {
    const VmRow& row = NextRow(tables, tables.peer_cursor)->second;
    tables.peer_cursor = row.vm;
    const bool chosen = std::find(peers.begin(), peers.end(), row.vm) != peers.end();
    if (!chosen && !row.address.empty()) {
      peers.push_back(row.vm);
    }
  }
}

void SendGossip(MembershipTables& tables) {
  std::vector<VmName> peers = HashedPeers(tables);
  AddRotatingPeers(tables, peers);
  for (const VmName& vm : peers) {
    Heartbeat heartbeat{.sender = OwnEntry(tables, /*with_address=*/true), .digest = {}};
    AddUrgentEntries(tables, heartbeat.digest);
    AddRotatingEntries(tables, heartbeat.digest);
    Send(tables, vm, tables.vms.at(vm).address, std::move(heartbeat));
  }
}

}  // namespace

DigestEntry OwnEntry(const MembershipTables& tables, bool with_address) {
  DigestEntry entry;
  entry.vm = tables.self.vm;
  entry.incarnation = tables.self.incarnation;
  entry.counter = tables.counter;
  entry.state = tables.state;
  if (with_address) {
    entry.data_centre = tables.self.data_centre;
    entry.region = tables.self.region;
    entry.address = tables.self.address;
  }
  return entry;
}

void SendDueHeartbeats(MembershipTables& tables, TimePoint now) {
  if (now < tables.next_heartbeat) {
    return;
  }
  tables.next_heartbeat = now + tables.settings.heartbeat_interval;
  ++tables.counter;
  SendToSeeds(tables);
  if (tables.IsFullMesh()) {
    SendToAll(tables);
    return;
  }
  SendToHeartbeatPeers(tables);
  if (now >= tables.next_gossip) {
    tables.next_gossip = now + tables.settings.gossip_interval;
    SendGossip(tables);
  }
}

}  // namespace amaranthlane::membership
