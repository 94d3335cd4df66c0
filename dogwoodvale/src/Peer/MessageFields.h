#ifndef DOGWOODVALE_PEER_MESSAGEFIELDS_H
#define DOGWOODVALE_PEER_MESSAGEFIELDS_H

#include <concepts>
#include <tuple>
#include <type_traits>

#include "Message.h"

namespace dogwoodvale::internal {

template<class M, class Type>
concept MaybeConst = std::same_as<std::remove_const_t<M>, Type>;

/// The members of a message in the order in which they travel. A new member
/// goes to the end, so that an older peer skips it and a newer one defaults it.
template<MaybeConst<LoadReport> M>
auto
FieldsOf(M& aValue)
{
  return std::tie(aValue.running,
                  aValue.queued,
                  aValue.limit,
                  aValue.queuedTokens,
                  aValue.firstTokenMicros,
                  aValue.stepMicros,
                  aValue.queuedByTier,
                  aValue.fromReader);
}

template<MaybeConst<HeaderField> M>
auto
FieldsOf(M& aValue)
{
  return std::tie(aValue.name, aValue.value);
}

template<MaybeConst<RequestId> M>
auto
FieldsOf(M& aValue)
{
  return std::tie(aValue.entry, aValue.sequence);
}

template<MaybeConst<ConfigurationPage> M>
auto
FieldsOf(M& aValue)
{
  return std::tie(aValue.hash, aValue.content);
}

template<MaybeConst<Hello> M>
auto
FieldsOf(M& aValue)
{
  return std::tie(aValue.protocolVersion,
                  aValue.secret,
                  aValue.role,
                  aValue.instance,
                  aValue.dataCentre,
                  aValue.incarnation,
                  aValue.epoch,
                  aValue.rootHash);
}

template<MaybeConst<Notice> M>
auto
FieldsOf(M& aValue)
{
  return std::tie(aValue.epoch,
                  aValue.rootHash,
                  aValue.draining,
                  aValue.storeContactAgeMillis,
                  aValue.load,
                  aValue.backendUp,
                  aValue.idlePeriodMillis);
}

template<MaybeConst<RunRequest> M>
auto
FieldsOf(M& aValue)
{
  return std::tie(aValue.id,
                  aValue.service,
                  aValue.className,
                  aValue.customer,
                  aValue.tier,
                  aValue.classWeight,
                  aValue.customerWeight,
                  aValue.idempotent,
                  aValue.answerKind,
                  aValue.targetMicros,
                  aValue.budgetMicros,
                  aValue.maxWaitMicros,
                  aValue.classQueueBound,
                  aValue.promptTokens,
                  aValue.maxTokens,
                  aValue.method,
                  aValue.path,
                  aValue.headers,
                  aValue.body,
                  aValue.epoch,
                  aValue.preemptions,
                  aValue.refusalsLeft);
}

template<MaybeConst<Started> M>
auto
FieldsOf(M& aValue)
{
  return std::tie(aValue.queueWaitMicros);
}

template<MaybeConst<Chunk> M>
auto
FieldsOf(M& aValue)
{
  return std::tie(
    aValue.sequence, aValue.tokens, aValue.text, aValue.status, aValue.headers);
}

template<MaybeConst<Finished> M>
auto
FieldsOf(M& aValue)
{
  return std::tie(aValue.count,
                  aValue.checksum,
                  aValue.finishReason,
                  aValue.promptTokens,
                  aValue.completionTokens,
                  aValue.load);
}

template<MaybeConst<Failed> M>
auto
FieldsOf(M& aValue)
{
  return std::tie(aValue.code,
                  aValue.disposition,
                  aValue.detail,
                  aValue.retryAfterMillis,
                  aValue.resumable,
                  aValue.load,
                  aValue.early);
}

template<MaybeConst<Probe> M>
auto
FieldsOf(M& aValue)
{
  return std::tie(aValue.id, aValue.sidecar);
}

template<MaybeConst<ProbeReply> M>
auto
FieldsOf(M& aValue)
{
  return std::tie(aValue.disposition);
}

template<MaybeConst<FetchConfiguration> M>
auto
FieldsOf(M& aValue)
{
  return std::tie(aValue.epoch, aValue.have);
}

template<MaybeConst<ConfigurationReply> M>
auto
FieldsOf(M& aValue)
{
  return std::tie(aValue.epoch, aValue.root, aValue.pages);
}

template<MaybeConst<StatusQuery> M>
auto
FieldsOf(M& aValue)
{
  return std::tie(aValue.detail);
}

template<MaybeConst<StatusReply> M>
auto
FieldsOf(M& aValue)
{
  return std::tie(aValue.json);
}

template<MaybeConst<ConfigurationOffer> M>
auto
FieldsOf(M& aValue)
{
  return std::tie(aValue.epoch, aValue.rootHash);
}

/// The highest value of an enumeration that travels.
inline constexpr std::uint64_t
HighestOf(AnswerKind /*aKind*/)
{
  return static_cast<std::uint64_t>(AnswerKind::Opaque);
}

inline constexpr std::uint64_t
HighestOf(Disposition /*aKind*/)
{
  return static_cast<std::uint64_t>(Disposition::MayHaveRun);
}

inline constexpr std::uint64_t
HighestOf(ErrorCode /*aKind*/)
{
  return kErrorCodeCount - 1;
}

} // namespace dogwoodvale::internal

#endif
