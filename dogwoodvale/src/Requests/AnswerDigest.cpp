#include "AnswerDigest.h"

#include <array>

#include <xxhash.h>

namespace dogwoodvale {

void
AnswerDigest::FreeState::operator()(XXH3_state_s* aState) const
{
  XXH3_freeState(aState);
}

AnswerDigest::AnswerDigest(const RequestId& aId)
  : state(XXH3_createState())
{
  const std::array<std::uint64_t, 2> id = { aId.entry, aId.sequence };
  XXH3_64bits_reset(this->state.get());
  XXH3_64bits_update(this->state.get(), id.data(), sizeof(id));
}

AnswerDigest::~AnswerDigest() = default;
AnswerDigest::AnswerDigest(AnswerDigest&&) noexcept = default;
AnswerDigest&
AnswerDigest::operator=(AnswerDigest&&) noexcept = default;

void
AnswerDigest::Add(std::string_view aChunk)
{
  XXH3_64bits_update(this->state.get(), aChunk.data(), aChunk.size());
  ++this->count;
}

std::uint64_t
AnswerDigest::Value() const
{
  return XXH3_64bits_digest(this->state.get());
}

} // namespace dogwoodvale
