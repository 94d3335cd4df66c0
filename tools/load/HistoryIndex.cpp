#include "tools/load/HistoryIndex.h"

#include <algorithm>

namespace dogwoodvale::load {

namespace {

std::span<const std::size_t>
Find(const std::unordered_map<std::string_view, std::vector<std::size_t>>& aIn,
     std::string_view aNonce)
{
  const auto found = aIn.find(aNonce);
  if (found == aIn.end()) {
    return {};
  }
  return found->second;
}

} // namespace

HistoryIndex::HistoryIndex(std::span<const Call> aCalls,
                           std::span<const Execution> aExecutions)
  : calls(aCalls)
  , executions(aExecutions)
{
  for (std::size_t index = 0; index < aCalls.size(); ++index) {
    this->callsByNonce[aCalls[index].nonce].push_back(index);
  }
  for (std::size_t index = 0; index < aExecutions.size(); ++index) {
    this->executionsByNonce[aExecutions[index].nonce].push_back(index);
  }
  this->GroupServices();
}

std::span<const std::size_t>
HistoryIndex::ExecutionsOf(std::string_view aNonce) const
{
  return Find(this->executionsByNonce, aNonce);
}

std::span<const std::size_t>
HistoryIndex::CallsOf(std::string_view aNonce) const
{
  return Find(this->callsByNonce, aNonce);
}

std::optional<double>
HistoryIndex::StartedMs(const Call& aCall) const
{
  std::optional<double> first;
  for (const std::size_t index : this->ExecutionsOf(aCall.nonce)) {
    const double started = this->executions[index].startedMs;
    first = std::min(first.value_or(started), started);
  }
  return first;
}

std::size_t
HistoryIndex::NumberOf(std::string_view aServer)
{
  const auto [found, isNew] =
    this->serverNumbers.try_emplace(aServer, this->parents.size());
  if (isNew) {
    this->parents.push_back(found->second);
  }
  return found->second;
}

std::size_t
HistoryIndex::Root(std::size_t aNumber) const
{
  while (this->parents[aNumber] != aNumber) {
    aNumber = this->parents[aNumber];
  }
  return aNumber;
}

void
HistoryIndex::GroupServices()
{
  for (const Execution& execution : this->executions) {
    const std::size_t server = this->NumberOf(execution.server);
    for (const std::size_t call : this->CallsOf(execution.nonce)) {
      const auto [found, isNew] =
        this->serverOfClass.try_emplace(this->calls[call].className, server);
      this->parents[this->Root(server)] = this->Root(found->second);
    }
  }
}

std::optional<std::size_t>
HistoryIndex::ServiceOf(std::string_view aClass) const
{
  const auto found = this->serverOfClass.find(aClass);
  if (found == this->serverOfClass.end()) {
    return std::nullopt;
  }
  return this->Root(found->second);
}

std::vector<std::string_view>
HistoryIndex::ServersOf(std::size_t aService) const
{
  std::vector<std::string_view> found;
  for (const auto& [name, number] : this->serverNumbers) {
    if (this->Root(number) == aService) {
      found.push_back(name);
    }
  }
  return found;
}

} // namespace dogwoodvale::load
