#include "dogwoodvale/Peer"

#include <array>
#include <cmath>
#include <limits>
#include <utility>

#include <msgpack.hpp>

#include "MessageFields.h"

namespace dogwoodvale {

namespace {

using internal::FieldsOf;
using internal::HighestOf;

constexpr std::size_t kPrefixBytes = 4;
constexpr std::size_t kMaxElements = 4096;
constexpr std::size_t kMaxDepth = 5;
constexpr std::size_t kUncountedBytes = 64U << 10U;
constexpr std::size_t kMaxValues = 64U << 10U;
constexpr int kBitsPerByte = 8;

/// What msgpack's packer writes to.
class StringSink
{
public:
  explicit StringSink(std::string& aOut)
    : out(aOut)
  {
  }
  // The library asks for this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void write(const char* aData, std::size_t aSize)
  {
    this->out.append(aData, aSize);
  }

private:
  std::string& out;
};

using Packer = msgpack::packer<StringSink>;

template<class T>
void
PackValue(Packer& aPacker, const T& aValue);

template<class T>
void
PackValue(Packer& aPacker, const std::vector<T>& aValues)
{
  aPacker.pack_array(static_cast<std::uint32_t>(aValues.size()));
  for (const T& value : aValues) {
    PackValue(aPacker, value);
  }
}

template<class T>
void
PackFields(Packer& aPacker, const T& aValue)
{
  std::apply(
    [&aPacker](const auto&... aFields) { (PackValue(aPacker, aFields), ...); },
    FieldsOf(aValue));
}

template<class T>
constexpr std::uint32_t
FieldCount()
{
  return std::tuple_size_v<decltype(FieldsOf(std::declval<T&>()))>;
}

template<class T>
void
PackValue(Packer& aPacker, const T& aValue)
{
  if constexpr (std::is_enum_v<T>) {
    aPacker.pack(static_cast<std::uint64_t>(aValue));
  } else if constexpr (std::is_arithmetic_v<T> ||
                       std::is_same_v<T, std::string>) {
    aPacker.pack(aValue);
  } else {
    aPacker.pack_array(FieldCount<T>());
    PackFields(aPacker, aValue);
  }
}

template<class T>
bool
TakeValue(const msgpack::object& aObject, T& aOut);

template<class T>
bool
TakeInteger(const msgpack::object& aObject, T& aOut)
{
  if (aObject.type == msgpack::type::POSITIVE_INTEGER) {
    if (!std::in_range<T>(aObject.via.u64)) {
      return false;
    }
    aOut = static_cast<T>(aObject.via.u64);
    return true;
  }
  if (aObject.type == msgpack::type::NEGATIVE_INTEGER &&
      std::in_range<T>(aObject.via.i64)) {
    aOut = static_cast<T>(aObject.via.i64);
    return true;
  }
  return false;
}

bool
TakeDouble(const msgpack::object& aObject, double& aOut)
{
  switch (aObject.type) {
    case msgpack::type::FLOAT32:
    case msgpack::type::FLOAT64:
      aOut = aObject.via.f64;
      // A weight that is not a number would poison every sum it enters.
      return std::isfinite(aOut);
    case msgpack::type::POSITIVE_INTEGER:
      aOut = static_cast<double>(aObject.via.u64);
      return true;
    case msgpack::type::NEGATIVE_INTEGER:
      aOut = static_cast<double>(aObject.via.i64);
      return true;
    default:
      return false;
  }
}

bool
TakeBool(const msgpack::object& aObject, bool& aOut)
{
  aOut = aObject.type == msgpack::type::BOOLEAN && aObject.via.boolean;
  return aObject.type == msgpack::type::BOOLEAN;
}

bool
TakeString(const msgpack::object& aObject, std::string& aOut)
{
  if (aObject.type != msgpack::type::STR) {
    return false;
  }
  aOut.assign(aObject.via.str.ptr, aObject.via.str.size);
  return true;
}

template<class T>
bool
TakeEnum(const msgpack::object& aObject, T& aOut)
{
  if (aObject.type != msgpack::type::POSITIVE_INTEGER ||
      aObject.via.u64 > HighestOf(T{})) {
    return false;
  }
  aOut = static_cast<T>(aObject.via.u64);
  return true;
}

template<class T>
bool
TakeVector(const msgpack::object& aObject, std::vector<T>& aOut)
{
  if (aObject.type != msgpack::type::ARRAY) {
    return false;
  }
  aOut.resize(aObject.via.array.size);
  for (std::size_t i = 0; i < aOut.size(); ++i) {
    if (!TakeValue(aObject.via.array.ptr[i], aOut[i])) {
      return false;
    }
  }
  return true;
}

/// Takes fields from the element \p aFirst on. Missing trailing fields keep
/// their defaults and unknown trailing ones are skipped, so that processes of
/// two releases understand each other.
template<class T>
bool
TakeFields(const msgpack::object_array& aArray, std::uint32_t aFirst, T& aOut)
{
  std::uint32_t next = aFirst;
  const auto take = [&aArray, &next](auto& aField) {
    return next >= aArray.size || TakeValue(aArray.ptr[next++], aField);
  };
  return std::apply(
    [&take](auto&... aFields) { return (take(aFields) && ...); },
    FieldsOf(aOut));
}

template<class T>
bool
TakeValue(const msgpack::object& aObject, T& aOut)
{
  if constexpr (std::is_enum_v<T>) {
    return TakeEnum(aObject, aOut);
  } else if constexpr (std::is_same_v<T, bool>) {
    return TakeBool(aObject, aOut);
  } else if constexpr (std::is_integral_v<T>) {
    return TakeInteger(aObject, aOut);
  } else if constexpr (std::is_same_v<T, double>) {
    return TakeDouble(aObject, aOut);
  } else if constexpr (std::is_same_v<T, std::string>) {
    return TakeString(aObject, aOut);
  } else if constexpr (requires { aOut.push_back(aOut.front()); }) {
    return TakeVector(aObject, aOut);
  } else {
    return aObject.type == msgpack::type::ARRAY &&
           TakeFields(aObject.via.array, 0, aOut);
  }
}

template<std::size_t kIndex>
bool
TakeAs(const msgpack::object_array& aArray, Message& aOut)
{
  return TakeFields(aArray, 1, aOut.emplace<kIndex>());
}

bool
TakeMessage(const msgpack::object_array& aArray,
            std::uint64_t aKind,
            Message& aOut)
{
  using Take = bool (*)(const msgpack::object_array&, Message&);
  static constexpr auto kTakers =
    []<std::size_t... kIndices>(std::index_sequence<kIndices...>)
  {
    return std::array<Take, sizeof...(kIndices)>{ &TakeAs<kIndices>... };
  }
  (std::make_index_sequence<std::variant_size_v<Message>>{});
  return kTakers[aKind](aArray, aOut);
}

/// Counts the values of a frame without building them.
class ValueCounter : public msgpack::null_visitor
{
public:
  // Names that the library asks for.
  // NOLINTBEGIN(readability-identifier-naming)
  bool start_array(std::uint32_t aCount) { return this->Add(aCount); }
  bool start_map(std::uint32_t aCount) { return this->Add(2ULL * aCount); }
  // NOLINTEND(readability-identifier-naming)

private:
  bool Add(std::uint64_t aCount)
  {
    this->count += aCount;
    return this->count <= kMaxValues;
  }
  std::uint64_t count = 0;
};

/// A byte on the wire can become a value of 24 bytes here, so that a frame at
/// its bound could take 200 MB. Small frames cannot, and need no counting.
bool
HasTooManyValues(std::string_view aBody)
{
  if (aBody.size() <= kUncountedBytes) {
    return false;
  }
  ValueCounter counter;
  std::size_t offset = 0;
  return !msgpack::parse(aBody.data(), aBody.size(), offset, counter);
}

absl::Status
Malformed(std::string_view aWhat)
{
  return MakeError(
    absl::StatusCode::kInvalidArgument, "malformed message: {}", aWhat);
}

absl::Status
DecodeObject(const msgpack::object& aObject, Message& aOut)
{
  if (aObject.type != msgpack::type::ARRAY || aObject.via.array.size == 0) {
    return Malformed("not a list");
  }
  std::uint64_t kind = 0;
  if (!TakeInteger(aObject.via.array.ptr[0], kind) ||
      kind >= std::variant_size_v<Message>) {
    return Malformed("unknown kind");
  }
  if (!TakeMessage(aObject.via.array, kind, aOut)) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "malformed message: kind {} has a wrong field",
                     kind);
  }
  return absl::OkStatus();
}

absl::Status
DecodeBody(std::string_view aBody, Message& aOut)
{
  const msgpack::unpack_limit limit(
    kMaxElements, 0, kMaxMessageBytes, kMaxMessageBytes, 0, kMaxDepth);
  const auto reference = [](msgpack::type::object_type, std::size_t, void*) {
    return true;
  };
  try {
    if (HasTooManyValues(aBody)) {
      return Malformed("too many values");
    }
    std::size_t offset = 0;
    const msgpack::object_handle handle = msgpack::unpack(
      aBody.data(), aBody.size(), offset, reference, nullptr, limit);
    if (offset != aBody.size()) {
      return Malformed("bytes are left over");
    }
    return DecodeObject(handle.get(), aOut);
  } catch (const std::exception& error) {
    return Malformed(error.what());
  }
}

std::size_t
ReadPrefix(std::string_view aBytes)
{
  std::size_t size = 0;
  for (std::size_t i = 0; i < kPrefixBytes; ++i) {
    size = size << kBitsPerByte | static_cast<unsigned char>(aBytes[i]);
  }
  return size;
}

} // namespace

void
AppendMessage(const Message& aMessage, std::string& aOut)
{
  const std::size_t start = aOut.size();
  aOut.append(kPrefixBytes, '\0');
  StringSink sink(aOut);
  Packer packer(sink);
  std::visit(
    [&](const auto& aValue) {
      using Value = std::remove_cvref_t<decltype(aValue)>;
      packer.pack_array(FieldCount<Value>() + 1);
      packer.pack(static_cast<std::uint64_t>(aMessage.index()));
      PackFields(packer, aValue);
    },
    aMessage);
  std::size_t size = aOut.size() - start - kPrefixBytes;
  for (std::size_t i = kPrefixBytes; i-- > 0;) {
    aOut[start + i] = static_cast<char>(size & 0xffU);
    size >>= kBitsPerByte;
  }
}

std::string
EncodeMessage(const Message& aMessage)
{
  std::string out;
  AppendMessage(aMessage, out);
  return out;
}

absl::Status
MessageReader::TakeFrames(std::string_view& aBytes, std::vector<Message>& aOut)
{
  while (aBytes.size() >= kPrefixBytes) {
    const std::size_t size = ReadPrefix(aBytes);
    if (size > this->limit) {
      return MakeError(absl::StatusCode::kResourceExhausted,
                       "message of {} bytes is over the bound of {}",
                       size,
                       this->limit);
    }
    if (aBytes.size() - kPrefixBytes < size) {
      break;
    }
    Message message;
    absl::Status status =
      DecodeBody(aBytes.substr(kPrefixBytes, size), message);
    if (!status.ok()) {
      return status;
    }
    aOut.push_back(std::move(message));
    aBytes.remove_prefix(kPrefixBytes + size);
  }
  return absl::OkStatus();
}

absl::Status
MessageReader::Feed(std::string_view aBytes, std::vector<Message>& aOut)
{
  // Most messages come whole, and are then decoded where they lie.
  if (this->buffer.empty()) {
    absl::Status status = this->TakeFrames(aBytes, aOut);
    this->buffer.assign(aBytes);
    return status;
  }
  this->buffer.append(aBytes);
  std::string_view rest = this->buffer;
  absl::Status status = this->TakeFrames(rest, aOut);
  this->buffer.erase(0, this->buffer.size() - rest.size());
  if (this->buffer.empty()) {
    this->buffer.shrink_to_fit();
  }
  return status;
}

} // namespace dogwoodvale
