#ifndef DOGWOODVALE_PEER_MESSAGE_H
#define DOGWOODVALE_PEER_MESSAGE_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "dogwoodvale/Core"
#include "dogwoodvale/Routing"

namespace dogwoodvale {

/// First message in each direction of a connection's control stream. A peer
/// with another version or a wrong secret gets nothing.
struct Hello
{
  std::uint32_t protocolVersion = 0;
  std::string secret;
  std::string role;
  std::string instance;
  std::string dataCentre;
  Incarnation incarnation = 0;
  Epoch epoch = 0;
  /// Hash of the configuration of that epoch.
  std::string rootHash;
};

/// Sent on the control stream in both directions: on a change of state, and as
/// the heartbeat of an idle connection.
struct Notice
{
  Epoch epoch = 0;
  std::string rootHash;
  /// Go-away: no new work here.
  bool draining = false;
  /// False while the backend server can not be reached; may come back.
  bool backendUp = true;
  /// Age of the newest contact with the store that the sender knows of.
  std::uint32_t storeContactAgeMillis = 0;
  /// How long the sender may be silent on this connection while no stream is
  /// open; 0 means no longer than while one is.
  std::uint32_t idlePeriodMillis = 0;
  /// Set by sidecars.
  LoadReport load;
};

struct HeaderField
{
  std::string name;
  std::string value;
  bool operator==(const HeaderField&) const = default;
};

/// How the backend server's answer is read.
enum class AnswerKind : std::uint8_t
{
  /// Server-sent events of a model engine, one token or more each.
  Tokens,
  /// A plain service's response, passed through.
  Opaque,
};

/// Opens a request stream: the one attempt \c id, whole.
struct RunRequest
{
  RequestId id;
  std::string service;
  std::string className;
  std::string customer;
  std::uint8_t tier = 0;
  double classWeight = 1;
  double customerWeight = 1;
  bool idempotent = false;
  AnswerKind answerKind = AnswerKind::Tokens;
  /// Remaining time, in microseconds, from when this message was sent.
  std::int64_t targetMicros = 0;
  std::int64_t budgetMicros = 0;
  std::int64_t maxWaitMicros = 0;
  std::uint32_t classQueueBound = 0;
  std::uint32_t promptTokens = 0;
  std::uint32_t maxTokens = 0;
  /// How often a sidecar may still refuse it early; see ShouldRefuseEarly.
  std::uint32_t refusalsLeft = 0;
  /// How often it was preempted before.
  std::uint32_t preemptions = 0;
  std::string method;
  std::string path;
  std::vector<HeaderField> headers;
  std::string body;
  /// The sender's epoch, so that a newer configuration is noticed at once.
  Epoch epoch = 0;
};

/// The backend server has been asked: from here on the request may have run.
struct Started
{
  std::uint32_t queueWaitMicros = 0;
};

/// A part of the answer. For AnswerKind::Opaque the first part carries the
/// status and headers, the rest bytes of the body.
struct Chunk
{
  /// From 0, without gaps.
  std::uint64_t sequence = 0;
  std::uint32_t tokens = 0;
  std::string text;
  std::uint16_t status = 0;
  std::vector<HeaderField> headers;
};

/// The answer is whole if \c count chunks came and their checksum fits.
struct Finished
{
  std::uint64_t count = 0;
  std::uint64_t checksum = 0;
  std::string finishReason;
  std::uint32_t promptTokens = 0;
  std::uint32_t completionTokens = 0;
  LoadReport load;
};

/// The attempt ended without a whole answer.
struct Failed
{
  ErrorCode code = ErrorCode::Internal;
  Disposition disposition = Disposition::MayHaveRun;
  std::string detail;
  std::uint32_t retryAfterMillis = 0;
  /// Refused early: another server is likely to be free.
  bool early = false;
  /// Preempted: what was delivered stays valid, go on from there.
  bool resumable = false;
  LoadReport load;
};

/// Asks what became of an attempt; bars it for good if it was not started.
struct Probe
{
  RequestId id;
  Incarnation sidecar = 0;
};

struct ProbeReply
{
  Disposition disposition = Disposition::MayHaveRun;
};

/// Asks for the pages of the configuration of at least \c epoch. Pages are
/// content-addressed; \c have lists the hashes that the asker holds.
struct FetchConfiguration
{
  Epoch epoch = 0;
  std::vector<std::string> have;
};

struct ConfigurationPage
{
  std::string hash;
  std::string content;
};

struct ConfigurationReply
{
  Epoch epoch = 0;
  std::string root;
  std::vector<ConfigurationPage> pages;
};

/// Opens a stream on which the receiver may ask for the configuration that the
/// sender has in force. Only the connecting side can open streams, so that a
/// listening side that is behind is told in this way.
struct ConfigurationOffer
{
  Epoch epoch = 0;
  std::string rootHash;
};

/// Asks a process for its /statusz document; for the tool and for relays.
struct StatusQuery
{
  std::string detail;
};

struct StatusReply
{
  std::string json;
};

using Message = std::variant<Hello,
                             Notice,
                             RunRequest,
                             Started,
                             Chunk,
                             Finished,
                             Failed,
                             Probe,
                             ProbeReply,
                             FetchConfiguration,
                             ConfigurationReply,
                             StatusQuery,
                             StatusReply,
                             ConfigurationOffer>;

/// Bounds on what is taken off the wire.
inline constexpr std::size_t kMaxMessageBytes = 8U << 20U;

/// One length-prefixed frame that holds \p aMessage.
std::string
EncodeMessage(const Message& aMessage);

/// Appends what EncodeMessage gives to \p aOut.
void
AppendMessage(const Message& aMessage, std::string& aOut);

/// Cuts a byte stream into messages; bounded in memory.
class MessageReader
{
public:
  /// \param aLimit the longest message that is taken, in bytes.
  explicit MessageReader(std::size_t aLimit = kMaxMessageBytes)
    : limit(aLimit)
  {
  }

  /// Takes bytes as they come; appends whole messages to \p aOut.
  /// \return an error for a frame that is over-long, of unknown kind or
  /// malformed; the stream must then be reset.
  absl::Status Feed(std::string_view aBytes, std::vector<Message>& aOut);

  /// Bytes held of a message that has not come whole.
  std::size_t PartialBytes() const { return this->buffer.size(); }

private:
  absl::Status TakeFrames(std::string_view& aBytes, std::vector<Message>& aOut);
  std::size_t limit;
  std::string buffer;
};

} // namespace dogwoodvale

#endif
