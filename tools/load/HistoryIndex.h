#ifndef DOGWOODVALE_TOOLS_LOAD_HISTORYINDEX_H
#define DOGWOODVALE_TOOLS_LOAD_HISTORYINDEX_H

#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "tools/load/Call.h"
#include "tools/load/Execution.h"

namespace dogwoodvale::load {

/// Finds the calls and executions of one nonce, and the services that the
/// executions show.
class HistoryIndex
{
public:
  /// The arguments outlive this.
  HistoryIndex(std::span<const Call> aCalls,
               std::span<const Execution> aExecutions);

  std::span<const Call> Calls() const { return this->calls; }
  std::span<const Execution> Executions() const { return this->executions; }

  /// Indices of the executions of \p aNonce.
  std::span<const std::size_t> ExecutionsOf(std::string_view aNonce) const;
  /// Indices of the calls with \p aNonce.
  std::span<const std::size_t> CallsOf(std::string_view aNonce) const;

  /// When the call was first started on a server; nothing if never.
  std::optional<double> StartedMs(const Call& aCall) const;

  /// A number that the classes of one service share; nothing for a class of
  /// which nothing ran.
  std::optional<std::size_t> ServiceOf(std::string_view aClass) const;
  /// The servers of a service.
  std::vector<std::string_view> ServersOf(std::size_t aService) const;

private:
  using Indices =
    std::unordered_map<std::string_view, std::vector<std::size_t>>;

  void GroupServices();
  std::size_t NumberOf(std::string_view aServer);
  std::size_t Root(std::size_t aNumber) const;

  std::span<const Call> calls;
  std::span<const Execution> executions;
  Indices callsByNonce;
  Indices executionsByNonce;
  /// Servers are numbered; joined ones point to another (disjoint sets).
  std::unordered_map<std::string_view, std::size_t> serverNumbers;
  std::vector<std::size_t> parents;
  std::unordered_map<std::string_view, std::size_t> serverOfClass;
};

} // namespace dogwoodvale::load

#endif
