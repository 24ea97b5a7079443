#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <variant>

#include "common/error.h"
#include "common/json.h"
#include "proxy/node.h"

// A node's part in rate limits: the permits that its operations need, and, on members, those that it allocates.
namespace amaranthlane::proxy {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr std::chrono::milliseconds kMemberUpdateInterval{100};
// Organisations beyond this number share their metrics, so that the memory for metrics is bounded.
constexpr std::size_t kMaxCountedOrganisations = 100;
// The number of changed organisations that are logged for one version of the configuration.
constexpr std::size_t kMaxLoggedOrganisations = 20;
constexpr char kOtherOrganisations[] = "other";

template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

void Node::LogConfigurationProblems(const Configuration& update) {
  for (const std::string& problem : update.problems) {
    logging::Write(logging::Level::kWarning, "left out an invalid part of the configuration",
                   {{"version", update.version}, {"why", problem}});
  }
}

void Node::ApplyRateLimits(const Configuration& update) {
  quotas::RateLimits limits;
  for (const auto& [name, organisation] : update.access.Organisations()) {
    if (organisation.rate_limit) {
      limits.emplace(name, *organisation.rate_limit);
    }
  }
  this->permit_allocator.SetLimits(limits, BootClock::now());
  // Operations may need permits before the next tick.
  this->UpdatePermitMembers();
}

void Node::LogAccessChanges(const access::AccessTable& former, const Configuration& update) {
  std::size_t lines = 0;
  for (const auto& [name, organisation] : former.Organisations()) {
    const auto found = update.access.Organisations().find(name);
    const access::Organisation current =
        found == update.access.Organisations().end() ? access::Organisation{} : found->second;
    const auto removed_keys =
        std::count_if(organisation.keys.begin(), organisation.keys.end(),
                      [&current](const access::KeyDigest& key) { return current.keys.count(key) == 0; });
    const bool limit_changed = organisation.rate_limit != current.rate_limit;
    if ((removed_keys > 0 || limit_changed) && ++lines <= kMaxLoggedOrganisations) {
      const quotas::RateLimit limit = current.rate_limit.value_or(quotas::RateLimit{});
      logging::Write(logging::Level::kInfo, "organisation changed",
                     {{"organisation", name},
                      {"version", update.version},
                      {"removed_keys", removed_keys},
                      {"limited", current.rate_limit.has_value()},
                      {"operations_per_second", limit.operations_per_second},
                      {"burst", limit.burst}});
    }
  }
}

void Node::TickQuotas(TimePoint now) {
  if (this->configuration && this->configuration->access.RequiresKeys()) {
    this->permit_allocator.SetShareCount(this->coordination.AllocationShareCount(now), now);
    if (now >= this->next_permit_member_update) {
      this->next_permit_member_update = now + kMemberUpdateInterval;
      this->UpdatePermitMembers();
    }
  }
  quotas::Actions actions;
  this->permit_requester.Tick(now, actions);
  this->PerformQuotas(actions);
}

void Node::UpdatePermitMembers() {
  const coordination::CoordinationRecord* record = this->coordination.Record();
  std::vector<VmName> near;
  std::vector<VmName> far;
  this->permit_member_addresses.clear();
  for (const coordination::Member& member : record == nullptr ? std::vector<coordination::Member>{} : record->members) {
    const auto known = std::find_if(this->fleet.begin(), this->fleet.end(),
                                    [&member](const gateways::FleetVm& vm) { return vm.vm == member.vm; });
    const bool is_near = known != this->fleet.end() && known->data_centre == this->settings.data_centre;
    (is_near ? near : far).push_back(member.vm);
    this->permit_member_addresses[member.vm] = member.address;
  }
  this->permit_requester.SetMembers(std::move(near), std::move(far));
}

quotas::OperationId Node::AcquirePermit(const OrganisationName& organisation, PermitCallback callback) {
  if (!this->configuration || this->configuration->access.FindRateLimit(organisation) == nullptr) {
    return 0;
  }
  quotas::Actions actions;
  const quotas::OperationId id = this->permit_requester.Acquire(organisation, BootClock::now(), actions);
  const bool admitted = std::any_of(actions.begin(), actions.end(), [](const quotas::Action& action) {
    return std::holds_alternative<quotas::AdmitOperation>(action);
  });
  if (admitted) {
    this->CountOperation(organisation, "admitted");
    return 0;
  }
  this->pending_operations.emplace(id, PendingOperation{organisation, std::move(callback)});
  this->PerformQuotas(actions);
  return id;
}

void Node::CancelPermit(quotas::OperationId id) {
  if (this->pending_operations.erase(id) > 0) {
    this->permit_requester.Cancel(id);
  }
}

void Node::PerformQuotas(const quotas::Actions& actions) {
  // The callbacks run later, as a session that has just asked for a permit isn't ready for them.
  const Overloaded perform = {
      [this](const quotas::SendPermitRequest& action) { this->SendPermitRequest(action); },
      [this](const quotas::AdmitOperation& action) {
        auto ended = this->pending_operations.extract(action.id);
        if (!ended.empty()) {
          this->CountOperation(ended.mapped().organisation, "admitted");
          boost::asio::post(this->loop, [callback = std::move(ended.mapped().callback)] { callback(nullptr); });
        }
      },
      [this](const quotas::RefuseOperation& action) {
        auto ended = this->pending_operations.extract(action.id);
        if (!ended.empty()) {
          this->CountOperation(ended.mapped().organisation, "refused");
          boost::asio::post(this->loop, [callback = std::move(ended.mapped().callback),
                                         refusal = Refusal{action.reason, action.retry_after}] { callback(&refusal); });
        }
      }};
  for (const quotas::Action& action : actions) {
    std::visit(perform, action);
  }
}

void Node::SendPermitRequest(const quotas::SendPermitRequest& action) {
  const TimePoint now = BootClock::now();
  if (action.member == this->settings.vm) {
    this->permit_allocator.SetShareCount(this->coordination.AllocationShareCount(now), now);
    quotas::Actions actions;
    this->permit_requester.OnReply(action.member, this->permit_allocator.Allocate(action.request, now), now, actions);
    this->PerformQuotas(actions);
    return;
  }
  net::HttpRequest request;
  request.method = "POST";
  request.target = quotas::kPermitTarget;
  request.body = ToJson(action.request).dump();
  this->PeerPool(this->permit_member_addresses.at(action.member))
      .Call(std::move(request), now + quotas::kPermitReplyTimeout,
            [this, member = action.member](const net::CallResult& result) {
              const TimePoint answered_at = BootClock::now();
              quotas::Actions actions;
              if (result.status == net::CallStatus::kAnswered && result.response.status == kNotFound) {
                this->permit_requester.OnUnsupported(member, answered_at, actions);
              } else if (result.status != net::CallStatus::kAnswered || result.response.status != kOk) {
                this->permit_requester.OnFailure(member, answered_at, actions);
              } else {
                try {
                  const quotas::PermitReply reply =
                      quotas::ParsePermitReply(json::Parse(result.response.body, "permit reply"));
                  this->permit_requester.OnReply(member, reply, answered_at, actions);
                } catch (const ParseError& failure) {
                  logging::Write(logging::Level::kWarning, "malformed permit reply from a member",
                                 {{"vm", member}, {"why", failure.what()}});
                  this->permit_requester.OnFailure(member, answered_at, actions);
                }
              }
              this->PerformQuotas(actions);
            });
}

nlohmann::json Node::AnswerPermitRequest(const nlohmann::json& document, TimePoint now) {
  const quotas::PermitRequest request = quotas::ParsePermitRequest(document);
  this->permit_allocator.SetShareCount(this->coordination.AllocationShareCount(now), now);
  return ToJson(this->permit_allocator.Allocate(request, now));
}

void Node::CountOperation(const OrganisationName& organisation, const char* outcome) {
  const bool counted = this->counted_organisations.size() < kMaxCountedOrganisations ||
                       this->counted_organisations.count(organisation) > 0;
  if (counted) {
    this->counted_organisations.insert(organisation);
  }
  this->registry
      .GetCounter("amaranthlane_quota_operations_total", "Operations of organisations with a rate limit, by outcome.",
                  {{"organisation", counted ? organisation : kOtherOrganisations}, {"outcome", outcome}})
      .value++;
}

}  // namespace amaranthlane::proxy
