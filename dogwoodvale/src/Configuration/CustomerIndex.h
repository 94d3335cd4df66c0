#ifndef DOGWOODVALE_CONFIGURATION_CUSTOMERINDEX_H
#define DOGWOODVALE_CONFIGURATION_CUSTOMERINDEX_H

#include <cstdint>
#include <span>
#include <string_view>

#include <absl/container/flat_hash_set.h>

#include "Customer.h"

namespace dogwoodvale::internal {

/// Finds customers by name and by key hash. It holds positions only, a tenth
/// of what copies of the names and hashes would take.
class CustomerIndex
{
public:
  CustomerIndex() = default;
  /// \param aCustomers must stay where it is as long as the index is used.
  explicit CustomerIndex(std::span<const Customer> aCustomers);

  /// Whether two customers share a name or a key; lookups then find the first.
  bool HasDuplicates() const { return this->hasDuplicates; }

  const Customer* FindByName(std::string_view aName) const;
  const Customer* FindByKey(std::string_view aKeyHash) const;

private:
  /// A customer's name, or one of its keys.
  struct Position
  {
    std::uint32_t customer = 0;
    std::uint32_t key = 0;
  };

  template<bool kOfKey>
  struct Text
  {
    const Customer* base = nullptr;

    std::string_view operator()(Position aPosition) const
    {
      const Customer& customer = this->base[aPosition.customer];
      if constexpr (kOfKey) {
        return customer.keyHashes[aPosition.key];
      } else {
        return customer.name.Value();
      }
    }
    std::string_view operator()(std::string_view aText) const { return aText; }
  };

  template<bool kOfKey>
  struct Hash
  {
    using is_transparent = void;
    Text<kOfKey> text;

    template<class Key>
    std::size_t operator()(const Key& aKey) const
    {
      return std::hash<std::string_view>{}(this->text(aKey));
    }
  };

  template<bool kOfKey>
  struct Equal
  {
    using is_transparent = void;
    Text<kOfKey> text;

    template<class Left, class Right>
    bool operator()(const Left& aLeft, const Right& aRight) const
    {
      return this->text(aLeft) == this->text(aRight);
    }
  };

  template<bool kOfKey>
  using Set = absl::flat_hash_set<Position, Hash<kOfKey>, Equal<kOfKey>>;

  const Customer* base = nullptr;
  bool hasDuplicates = false;
  Set<false> names;
  Set<true> keys;
};

} // namespace dogwoodvale::internal

#endif
