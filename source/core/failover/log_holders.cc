#include "core/failover/log_holders.h"

#include <algorithm>
#include <utility>

namespace amaranthlane::failover {

using coordination::LogHolder;

void LogHolders::OnDirectory(const EndpointDirectory& update,
                             const std::map<GroupName, std::uint64_t>& new_synchronous_replicas, TimePoint now) {
  this->directory = update;
  this->synchronous_replicas = new_synchronous_replicas;
  this->Update(now);
}

void LogHolders::AddPresent() {
  for (const auto& [name, entry] : this->directory) {
    const auto synchronous = this->synchronous_replicas.find(entry.group);
    if (synchronous == this->synchronous_replicas.end() || synchronous->second == 0) {
      continue;
    }
    this->holders[entry.group][{name, entry.incarnation}].log = {name, entry.incarnation, entry.address,
                                                                 entry.draining};
  }
}

void LogHolders::OnRecord(const coordination::CoordinationRecord& record, TimePoint now) {
  for (const auto& [group, state] : record.groups) {
    // Logs that were ahead of the new primary's are rolled back.
    if (std::exchange(this->terms[group], state.term) != state.term && this->holders.count(group) > 0) {
      for (auto& [key, holder] : this->holders.at(group)) {
        holder.newest = {};
      }
    }
  }
  for (const auto& [group, logs] : record.logs) {
    for (const LogHolder& log : logs) {
      Holder& holder = this->holders[group][{log.endpoint, log.incarnation}];
      const bool draining = holder.log.draining || log.draining;
      holder.log = log;
      holder.log.draining = draining;
      holder.recorded_in = record.store_era;
    }
  }
  for (auto& [group, known] : this->holders) {
    const auto recorded = record.logs.find(group);
    std::erase_if(known, [&](const auto& entry) {
      const auto& [key, holder] = entry;
      const bool named =
          recorded != record.logs.end() &&
          std::any_of(recorded->second.begin(), recorded->second.end(), [&key = key](const LogHolder& log) {
            return log.endpoint == key.first && log.incarnation == key.second;
          });
      // What an earlier era named may be missing because its record is lost.
      return !named && holder.recorded_in == record.store_era;
    });
  }
  this->Update(now);
}

bool LogHolders::IsPresent(const GroupName& group, const LogHolder& log) const {
  const auto entry = this->directory.find(log.endpoint);
  return entry != this->directory.end() && entry->second.group == group && entry->second.incarnation == log.incarnation;
}

bool LogHolders::IsTransferred(const GroupName& group, const LogHolder& log) const {
  return log.draining && std::any_of(this->directory.begin(), this->directory.end(), [&](const auto& present) {
           return present.second.group == group && present.first != log.endpoint &&
                  present.second.address == log.address;
         });
}

bool LogHolders::IsSucceeded(const GroupName& group, const LogHolder& log) const {
  const std::map<Key, Holder>& known = this->holders.at(group);
  const auto later_start = known.upper_bound({log.endpoint, log.incarnation});
  return (later_start != known.end() && later_start->first.first == log.endpoint) ||
         std::any_of(this->directory.begin(), this->directory.end(), [&](const auto& present) {
           return present.first == log.endpoint || present.second.address == log.address;
         });
}

void LogHolders::Update(TimePoint now) {
  this->AddPresent();
  std::erase_if(this->holders, [this](const auto& group) {
    const auto synchronous = this->synchronous_replicas.find(group.first);
    return synchronous != this->synchronous_replicas.end() && synchronous->second == 0;
  });
  for (auto& [group, known] : this->holders) {
    std::erase_if(known, [&, &group = group](const auto& entry) {
      const LogHolder& log = entry.second.log;
      return !this->IsPresent(group, log) && this->IsTransferred(group, log);
    });
    for (auto& [key, holder] : known) {
      holder.departed = !this->IsPresent(group, holder.log);
      holder.listed_since = holder.departed ? kNever : std::min(holder.listed_since, now);
      if (!holder.departed) {
        holder.ended_at = kNever;
      } else if (this->IsSucceeded(group, holder.log)) {
        holder.ended_at = std::min(holder.ended_at, now);
      }
    }
  }
}

void LogHolders::OnProcessEnded(const EndpointName& endpoint, TimePoint now) {
  for (auto& [group, known] : this->holders) {
    for (auto& [key, holder] : known) {
      if (key.first == endpoint && holder.departed) {
        holder.ended_at = std::min(holder.ended_at, now);
      }
    }
  }
}

bool LogHolders::SpeaksFor(const EndpointName& endpoint, const GroupName& group, const Holder& holder) const {
  return holder.log.endpoint == endpoint && (!holder.departed || !this->IsSucceeded(group, holder.log));
}

void LogHolders::OnPosition(const EndpointName& endpoint, const LogPosition& position) {
  for (auto& [group, known] : this->holders) {
    for (auto& [key, holder] : known) {
      if (this->SpeaksFor(endpoint, group, holder)) {
        holder.ended_at = kNever;
        holder.newest = std::max(holder.newest, position);
      }
    }
  }
}

bool LogHolders::ShowsLog(const EndpointName& endpoint, const LogPosition& position, TimePoint queried_at) const {
  return std::all_of(this->holders.begin(), this->holders.end(), [&](const auto& known) {
    return std::all_of(known.second.begin(), known.second.end(), [&](const auto& entry) {
      const Holder& holder = entry.second;
      return !this->SpeaksFor(endpoint, known.first, holder) ||
             (position >= holder.newest && (holder.departed || queried_at >= holder.listed_since));
    });
  });
}

void LogHolders::OnPositionReached(const GroupName& group, TimePoint queried_at) {
  const auto known = this->holders.find(group);
  if (known != this->holders.end()) {
    std::erase_if(known->second, [&](const auto& holder) { return holder.second.ended_at <= queried_at; });
  }
}

std::vector<LogHolder> LogHolders::Departed(const GroupName& group) const {
  std::vector<LogHolder> departed;
  const auto known = this->holders.find(group);
  if (known != this->holders.end()) {
    for (const auto& [key, holder] : known->second) {
      if (holder.departed) {
        departed.push_back(holder.log);
      }
    }
  }
  return departed;
}

std::vector<LogHolder> LogHolders::Askable(const GroupName& group) const {
  std::vector<LogHolder> askable = this->Departed(group);
  std::erase_if(askable, [&](const LogHolder& log) { return this->IsSucceeded(group, log); });
  return askable;
}

bool LogHolders::AwaitsPosition(const GroupName& group) const {
  const auto known = this->holders.find(group);
  return known != this->holders.end() && std::any_of(known->second.begin(), known->second.end(),
                                                     [](const auto& entry) { return entry.second.ended_at != kNever; });
}

std::size_t LogHolders::DepartedCount() const {
  std::size_t count = 0;
  for (const auto& [group, known] : this->holders) {
    count += static_cast<std::size_t>(
        std::count_if(known.begin(), known.end(), [](const auto& entry) { return entry.second.departed; }));
  }
  return count;
}

coordination::LogHoldersByGroup LogHolders::All() const {
  coordination::LogHoldersByGroup all;
  for (const auto& [group, known] : this->holders) {
    for (const auto& [key, holder] : known) {
      all[group].push_back(holder.log);
    }
  }
  return all;
}

}  // namespace amaranthlane::failover
