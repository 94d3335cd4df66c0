#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "dogwoodvale/Peer"
#include "dogwoodvale/src/Peer/MessageFields.h"

using namespace dogwoodvale;

namespace {

/// Converts to any member, so that members can be counted.
struct AnyMember
{
  template<class T>
  operator T() const; // NOLINT: implicit by purpose
};

template<class T, class... Members>
constexpr std::size_t
CountMembers()
{
  if constexpr (requires { T{ Members{}..., AnyMember{} }; }) {
    return CountMembers<T, Members..., AnyMember>();
  } else {
    return sizeof...(Members);
  }
}

/// A member that FieldsOf leaves out would arrive as its default, unnoticed.
template<class T>
constexpr bool kTravelsWhole =
  CountMembers<T>() ==
  std::tuple_size_v<decltype(internal::FieldsOf(std::declval<T&>()))>;

static_assert([]<std::size_t... kIndices>(std::index_sequence<kIndices...>) {
  return (kTravelsWhole<std::variant_alternative_t<kIndices, Message>> && ...);
}(std::make_index_sequence<std::variant_size_v<Message>>{}));
static_assert(kTravelsWhole<LoadReport> && kTravelsWhole<HeaderField> &&
              kTravelsWhole<RequestId> && kTravelsWhole<ConfigurationPage>);

template<class T>
T
Draw();

template<class T>
T
DrawStruct()
{
  T value;
  std::apply(
    [](auto&... aFields) {
      ((aFields = Draw<std::remove_reference_t<decltype(aFields)>>()), ...);
    },
    internal::FieldsOf(value));
  return value;
}

template<class T>
struct Drawer
{
  static T Get()
  {
    if constexpr (std::is_enum_v<T>) {
      return static_cast<T>(*rc::gen::inRange<int>(
        0, static_cast<int>(internal::HighestOf(T{})) + 1));
    } else if constexpr (std::is_same_v<T, double>) {
      return *rc::gen::inRange(-1000, 1000) / 8.0;
    } else if constexpr (std::is_arithmetic_v<T>) {
      return *rc::gen::arbitrary<T>();
    } else if constexpr (std::is_same_v<T, std::string>) {
      return *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    } else {
      return DrawStruct<T>();
    }
  }
};

template<class T>
struct Drawer<std::vector<T>>
{
  static std::vector<T> Get()
  {
    std::vector<T> values(*rc::gen::inRange<std::size_t>(0, 5));
    for (T& value : values) {
      value = Draw<T>();
    }
    return values;
  }
};

template<class T>
T
Draw()
{
  return Drawer<T>::Get();
}

Message
DrawMessage()
{
  static constexpr auto kDrawers =
    []<std::size_t... kIndices>(std::index_sequence<kIndices...>)
  {
    return std::array<Message (*)(), sizeof...(kIndices)>{ +[]() -> Message {
      return Draw<std::variant_alternative_t<kIndices, Message>>();
    }... };
  }
  (std::make_index_sequence<std::variant_size_v<Message>>{});
  return kDrawers[*rc::gen::inRange<std::size_t>(0, kDrawers.size())]();
}

template<class T>
bool
IsSame(const std::vector<T>& aLeft, const std::vector<T>& aRight);

template<class T>
bool
IsSame(const T& aLeft, const T& aRight)
{
  if constexpr (requires { internal::FieldsOf(aLeft); }) {
    const auto left = internal::FieldsOf(aLeft);
    const auto right = internal::FieldsOf(aRight);
    return [&]<std::size_t... kIndices>(std::index_sequence<kIndices...>)
    {
      return (IsSame(std::get<kIndices>(left), std::get<kIndices>(right)) &&
              ...);
    }
    (std::make_index_sequence<std::tuple_size_v<decltype(left)>>{});
  } else {
    return aLeft == aRight;
  }
}

template<class T>
bool
IsSame(const std::vector<T>& aLeft, const std::vector<T>& aRight)
{
  return std::equal(
    aLeft.begin(),
    aLeft.end(),
    aRight.begin(),
    aRight.end(),
    [](const T& aOne, const T& aOther) { return IsSame(aOne, aOther); });
}

bool
IsSameMessage(const Message& aLeft, const Message& aRight)
{
  return aLeft.index() == aRight.index() &&
         std::visit(
           [&](const auto& aValue) {
             return IsSame(
               aValue, std::get<std::remove_cvref_t<decltype(aValue)>>(aRight));
           },
           aLeft);
}

std::string
Frame(std::string_view aBody)
{
  std::string frame(4, '\0');
  for (int i = 0; i < 4; ++i) {
    frame[3 - i] = static_cast<char>(aBody.size() >> (8 * i) & 0xffU);
  }
  return frame.append(aBody);
}

absl::Status
Decode(std::string_view aBytes, std::vector<Message>& aOut)
{
  return MessageReader().Feed(aBytes, aOut);
}

} // namespace

TEST_CASE("messages survive any cut of their bytes")
{
  rc::prop("encode, cut, decode", [] {
    std::vector<Message> sent(*rc::gen::inRange<std::size_t>(1, 4));
    std::string bytes;
    for (Message& message : sent) {
      message = DrawMessage();
      AppendMessage(message, bytes);
    }
    MessageReader reader;
    std::vector<Message> got;
    std::string_view rest = bytes;
    while (!rest.empty()) {
      const auto size = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
      RC_ASSERT(reader.Feed(rest.substr(0, size), got).ok());
      rest.remove_prefix(size);
    }
    RC_ASSERT(reader.PartialBytes() == 0U);
    RC_ASSERT(got.size() == sent.size());
    for (std::size_t i = 0; i < got.size(); ++i) {
      RC_ASSERT(IsSameMessage(got[i], sent[i]));
    }
  });
}

TEST_CASE("mutated bytes give messages or an error, never more")
{
  rc::prop("mutate and decode", [] {
    std::string bytes = EncodeMessage(DrawMessage());
    const int count = *rc::gen::inRange(1, 6);
    for (int i = 0; i < count; ++i) {
      bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
        *rc::gen::arbitrary<char>();
    }
    MessageReader reader;
    std::vector<Message> got;
    const absl::Status status = reader.Feed(bytes, got);
    RC_ASSERT(got.size() <= bytes.size());
    RC_ASSERT(reader.PartialBytes() <= bytes.size());
  });
}

TEST_CASE("an over-long frame is refused at its prefix")
{
  std::vector<Message> got;
  REQUIRE(Decode(std::string_view("\x7f\xff\xff\xff", 4), got).code() ==
          absl::StatusCode::kResourceExhausted);
  REQUIRE(got.empty());
}

TEST_CASE("bodies that are no message are refused")
{
  using namespace std::string_view_literals;
  const std::string nextKind{ '\x91',
                              static_cast<char>(std::variant_size_v<Message>) };
  std::vector<Message> got;
  for (const std::string_view bad : {
         ""sv,
         "\x90"sv,                         // an empty list
         std::string_view(nextKind),       // the first kind that does not exist
         "\x91\xcc\xff"sv,                 // unknown kind
         "\x91\xa1x"sv,                    // a kind that is no number
         "\x92\x03\xa1x"sv,                // Started with text for a number
         "\x92\x08\x02"sv,                 // a disposition that does not exist
         "\x92\x03\x01\x01"sv,             // bytes left over
         "\x80"sv,                         // a map
         "\x92\x03\xdd\xff\xff\xff\xff"sv, // a list of 4 G values
         "\x92\x0b\xdb\xff\xff\xff\xff"sv, // a text of 4 GB
         "\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91"sv, // deeper than any
       }) {
    CAPTURE(bad.size());
    REQUIRE_FALSE(Decode(Frame(bad), got).ok());
  }
  REQUIRE(got.empty());
}

TEST_CASE("a frame of countless values is refused before they are built")
{
  // A byte each on the wire, 24 each once built: at the bound on a message
  // that would be 200 MB. Lists of lists keep each within the bound on lists.
  using namespace std::string_view_literals;
  std::string body("\x93\x09\x00\xdc\x04\x00"sv);
  for (int list = 0; list < 1024; ++list) {
    body += "\xdc\x04\0"sv;
    body.append(1024, '\xc0');
  }
  std::vector<Message> got;
  const absl::Status status = Decode(Frame(body), got);
  REQUIRE(MessageOf(status) == "malformed message: too many values");
}

TEST_CASE("peers of two releases understand each other")
{
  using namespace std::string_view_literals;
  std::vector<Message> got;
  // A Chunk with only its first field, and a Started with one too many.
  REQUIRE(
    Decode(Frame("\x92\x04\x07"sv) + Frame("\x93\x03\x09\xc0"sv), got).ok());
  REQUIRE(got.size() == 2);
  REQUIRE(std::get<Chunk>(got[0]).sequence == 7);
  REQUIRE(std::get<Chunk>(got[0]).text.empty());
  REQUIRE(std::get<Started>(got[1]).queueWaitMicros == 9);
}
