#ifndef DOGWOODVALE_CORE_IDS_H
#define DOGWOODVALE_CORE_IDS_H

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace dogwoodvale {

/// A name of one kind of thing; two kinds do not mix.
///
/// \tparam Tag an incomplete type that tells the kinds apart.
template<class Tag>
class Name
{
public:
  Name() = default;
  explicit Name(std::string aValue)
    : value(std::move(aValue))
  {
  }
  explicit Name(std::string_view aValue)
    : value(aValue)
  {
  }
  explicit Name(const char* aValue)
    : value(aValue)
  {
  }

  const std::string& Value() const { return this->value; }
  bool IsEmpty() const { return this->value.empty(); }

  // clang-tidy 14 takes the zero inside the comparison for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Name&) const = default;

  template<class H>
  friend H AbslHashValue(H aState, const Name& aName)
  {
    return H::combine(std::move(aState), aName.value);
  }

private:
  std::string value;
};

using CustomerName = Name<struct CustomerTag>;
using ClassName = Name<struct ClassTag>;
using ServiceName = Name<struct ServiceTag>;
using ModelName = Name<struct ModelTag>;
using InstanceName = Name<struct InstanceTag>;
using DataCentreName = Name<struct DataCentreTag>;
using RegionName = Name<struct RegionTag>;

/// 0 is the highest service tier; larger numbers are served later.
using Tier = std::uint8_t;
inline constexpr Tier kTierCount = 16;

/// Version of the configuration; only ever rises. 0 means none yet.
using Epoch = std::uint64_t;

/// One run of one process; a restart draws a new one. Never 0.
using Incarnation = std::uint64_t;

/// Names one attempt at a request for ever: the entry's incarnation and a
/// counter within it. Each attempt on a backend server has its own id.
struct RequestId
{
  Incarnation entry = 0;
  std::uint64_t sequence = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const RequestId&) const = default;

  template<class H>
  friend H AbslHashValue(H aState, const RequestId& aId)
  {
    return H::combine(std::move(aState), aId.entry, aId.sequence);
  }
};

/// Hexadecimal form "entry-sequence", for logs and headers.
std::string
ToString(const RequestId& aId);

/// Parses the form that ToString writes; nothing if malformed.
std::optional<RequestId>
ParseRequestId(std::string_view aText);

/// Draws a new random incarnation from the system's source of randomness.
Incarnation
DrawIncarnation();

} // namespace dogwoodvale

template<class Tag>
struct std::hash<dogwoodvale::Name<Tag>>
{
  std::size_t operator()(const dogwoodvale::Name<Tag>& aName) const
  {
    return std::hash<std::string>{}(aName.Value());
  }
};

#endif
