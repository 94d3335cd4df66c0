#ifndef DOGWOODVALE_STANDINS_JOURNAL_H
#define DOGWOODVALE_STANDINS_JOURNAL_H

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>

#include <json/json.h>

#include "dogwoodvale/Core"

namespace dogwoodvale::standins {

/// Milliseconds on the monotonic clock, the form of all times in records.
inline double
ToMs(TimePoint aTime)
{
  return std::chrono::duration<double, std::milli>(aTime.time_since_epoch())
    .count();
}

/// Numbered entries, of which the last 200,000 are kept.
///
/// \tparam T has `Json::Value ToJson() const`.
template<class T>
class Journal
{
public:
  static constexpr std::size_t kKept = 200000;

  /// \return the number of the new entry, counted from 0.
  std::uint64_t Append(T aEntry)
  {
    this->entries.push_back(std::move(aEntry));
    if (this->entries.size() > kKept) {
      this->entries.pop_front();
      ++this->first;
    }
    return this->Next() - 1;
  }

  std::uint64_t Next() const { return this->first + this->entries.size(); }

  /// \return nothing if the entry isn't kept any more.
  T* Find(std::uint64_t aNumber)
  {
    return aNumber >= this->first && aNumber < this->Next()
             ? &this->entries[aNumber - this->first]
             : nullptr;
  }

  /// The entries from number \p aSince on.
  Json::Value ToJson(std::uint64_t aSince) const
  {
    Json::Value list(Json::arrayValue);
    const std::uint64_t skipped =
      aSince > this->first ? aSince - this->first : 0;
    for (std::uint64_t at = skipped; at < this->entries.size(); ++at) {
      list.append(this->entries[at].ToJson());
    }
    return list;
  }

private:
  std::deque<T> entries;
  std::uint64_t first = 0;
};

/// One run of a request, on an engine or a plain service.
struct Execution
{
  std::string id;
  std::string nonce;
  const char* end = "running"; ///< or complete, cancelled, crashed
  TimePoint started;
  TimePoint ended{};

  void End(const char* aEnd, TimePoint aNow)
  {
    this->end = aEnd;
    this->ended = aNow;
  }

  Json::Value ToJson() const
  {
    Json::Value json;
    json["id"] = this->id;
    json["nonce"] = this->nonce;
    json["end"] = this->end;
    json["started_ms"] = ToMs(this->started);
    if (this->ended != TimePoint{}) {
      json["ended_ms"] = ToMs(this->ended);
    }
    return json;
  }
};

} // namespace dogwoodvale::standins

#endif
