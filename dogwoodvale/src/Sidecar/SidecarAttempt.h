#ifndef DOGWOODVALE_SIDECAR_SIDECARATTEMPT_H
#define DOGWOODVALE_SIDECAR_SIDECARATTEMPT_H

#include <memory>
#include <optional>
#include <string>

#include "TokenStream.h"
#include "dogwoodvale/Http"
#include "dogwoodvale/Requests"

namespace dogwoodvale {

class SidecarAttempt;

/// How an attempt ended, for counting.
enum class AttemptEnd : std::uint8_t
{
  Completed,
  /// The backend server failed or its answer was cut.
  BackendFailed,
  /// The entry withdrew it, or was lost.
  Withdrawn,
  Preempted,
  /// Never started: refused, evicted, handed back or barred.
  NotRun,
};

/// Decides for the attempts of one sidecar.
class SidecarAttemptHost
{
public:
  virtual ~SidecarAttemptHost() = default;
  /// Queue it, refuse it, or start it.
  virtual void OnRun(SidecarAttempt& aAttempt) = 0;
  /// A stream that opened with something else; gives the reply.
  virtual std::optional<Message> OnQuery(const Message& aQuery) = 0;
  /// The entry offers its configuration on this stream; it stays open.
  virtual void OnOffer(SidecarAttempt& aAttempt,
                       const ConfigurationOffer& aOffer) = 0;
  /// The answer to SidecarAttempt::Ask, or why there is none.
  virtual void OnOfferEnd(SidecarAttempt& aAttempt,
                          absl::StatusOr<ConfigurationReply> aReply) = 0;
  virtual void OnFirstToken(SidecarAttempt& aAttempt, Duration aSinceStart) = 0;
  virtual void OnTokens(SidecarAttempt& aAttempt,
                        std::uint32_t aTokens,
                        Duration aInterval) = 0;
  /// The load as told to \p aEntry.
  virtual LoadReport CurrentLoad(const InstanceName& aEntry) const = 0;
  /// Nothing more comes of it; the host destroys it later, not in this call.
  virtual void OnEnded(SidecarAttempt& aAttempt, AttemptEnd aEnd) = 0;
};

/// One stream that an entry opened, and the call to the backend server that
/// it asks for.
class SidecarAttempt final
  : public PeerStreamHandler
  , public BackendCallHandler
{
public:
  SidecarAttempt(SidecarAttemptHost& aHost,
                 InstanceName aEntry,
                 std::unique_ptr<PeerStream> aStream);
  ~SidecarAttempt() override;

  /// Who opened it.
  const InstanceName& Entry() const { return this->entry; }
  const RunRequest& Request() const { return this->request; }
  TimePoint Arrived() const { return this->arrived; }
  /// When its budget is spent.
  TimePoint Deadline() const;
  bool IsRunning() const { return this->call != nullptr; }
  bool HasEnded() const { return this->ended; }
  TimePoint StartedAt() const { return this->started; }
  std::uint32_t Tokens() const { return this->tokens; }
  /// Whether the backend server has begun to answer.
  bool HasFirstToken() const { return this->nextSequence > 0; }
  /// It failed because no connection to the backend server came about.
  bool WasUnreached() const { return this->unreached; }

  /// Calls the backend server. \pre the host's record says that it may start.
  void Start(BackendClient& aBackend, TimePoint aNow);
  /// Ends it without calling the backend server.
  /// \param aEarly another server is likely to be free.
  void Refuse(const RequestError& aError, bool aEarly = false);
  /// On an offered stream: asks for the configuration.
  void Ask(const FetchConfiguration& aRequest);
  /// Stops it in favour of a higher tier; what was sent stays valid.
  void Preempt();

  void OnMessage(Message aMessage) override;
  void OnEnd() override;
  void OnLost(const absl::Status& aReason) override;
  void OnWritable() override;

  void OnHead(int aStatus, std::span<const HeaderField> aHeaders) override;
  void OnBody(std::string_view aBytes) override;
  void OnComplete(AnswerEnd aEnd) override;
  void OnFailed(const absl::Status& aReason, bool aWritten) override;

private:
  void SendChunk(Chunk aChunk);
  void SendTokens(const TokenBatch& aBatch);
  void Complete();
  void Fail(Failed aFailure, AttemptEnd aEnd);
  void End(AttemptEnd aEnd);
  void EndOffer(absl::StatusOr<ConfigurationReply> aReply);
  /// Model answers other than 200 are passed on as they are.
  bool IsTokenAnswer() const;

  SidecarAttemptHost& host;
  InstanceName entry;
  std::unique_ptr<PeerStream> stream;
  std::unique_ptr<BackendCall> call;
  RunRequest request;
  bool opened = false;
  bool offered = false;
  bool ended = false;
  bool paused = false;
  bool unreached = false;
  TimePoint arrived;
  TimePoint started;
  TimePoint lastToken;
  int status = 0;
  TokenStream tokenStream;
  std::optional<AnswerDigest> digest;
  std::uint64_t nextSequence = 0;
  std::uint32_t tokens = 0;
};

} // namespace dogwoodvale

#endif
