#include "CustomerIndex.h"

namespace dogwoodvale::internal {

CustomerIndex::CustomerIndex(std::span<const Customer> aCustomers)
  : base(aCustomers.data())
  , names(0, { { this->base } }, { { this->base } })
  , keys(0, { { this->base } }, { { this->base } })
{
  this->names.reserve(aCustomers.size());
  this->keys.reserve(aCustomers.size());
  for (std::uint32_t i = 0; i < aCustomers.size(); ++i) {
    if (!this->names.insert({ i, 0 }).second) {
      this->hasDuplicates = true;
    }
    for (std::uint32_t j = 0; j < aCustomers[i].keyHashes.size(); ++j) {
      if (!this->keys.insert({ i, j }).second) {
        this->hasDuplicates = true;
      }
    }
  }
}

const Customer*
CustomerIndex::FindByName(std::string_view aName) const
{
  const auto found = this->names.find(aName);
  return found == this->names.end() ? nullptr : &this->base[found->customer];
}

const Customer*
CustomerIndex::FindByKey(std::string_view aKeyHash) const
{
  const auto found = this->keys.find(aKeyHash);
  return found == this->keys.end() ? nullptr : &this->base[found->customer];
}

} // namespace dogwoodvale::internal
