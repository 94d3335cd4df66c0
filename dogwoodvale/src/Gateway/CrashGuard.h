#ifndef DOGWOODVALE_GATEWAY_CRASHGUARD_H
#define DOGWOODVALE_GATEWAY_CRASHGUARD_H

#include "BackendPool.h"
#include "PeerDigest.h"
#include "QuarantineKeeper.h"
#include "dogwoodvale/Quarantine"

namespace dogwoodvale {

/// Keeps requests that crash backend servers from them: finds out which servers
/// ended, tells and hears it from the other gateways, and says which request
/// may be sent. What is to be believed is CrashLedger's to decide.
///
/// Guards against one caller's request that ends each server that begins it and
/// is sent again and again, under new ids, at any gateway: all that the servers
/// run breaks off with them, and within seconds most of a service is away. With
/// four gateways and twelve engines that come back after 0.4 s, 25 engines
/// ended in 2 s and 79 to 88 of 100 notes of others were served afterwards;
/// with this, 4 or 5 end and all 100 are served (three runs of CrashingRequest
/// each).
class CrashGuard
{
public:
  struct Options
  {
    /// Switched off, nothing is counted and nothing kept from servers.
    bool isOn = true;
    Duration quarantine = seconds(600);
  };

  CrashGuard(EventLoop& aLoop,
             BackendPool& aPool,
             StoreClient& aStore,
             Options aOptions);

  /// Reads the quarantines that the store keeps.
  void Start();

  bool IsQuarantined(RequestFingerprint aRequest) const;
  bool IsSuspect(RequestFingerprint aRequest) const;
  Duration QuarantineLeft(RequestFingerprint aRequest) const;
  /// Whether a suspect has to wait: a copy of it is under way, here or at a
  /// gateway that has said so, or evidence against it is about to be heard.
  /// \param aIsNew it has not been sent yet; what was goes on to the next
  /// server without waiting for the verdict on the last.
  bool HasToWait(RequestFingerprint aRequest, bool aIsNew) const;

  void OnSent(RequestFingerprint aRequest);
  void OnDone(RequestFingerprint aRequest);
  /// A server has run it to a good end.
  void OnAnswered(RequestFingerprint aRequest);
  void OnBroken(const InstanceName& aInstance,
                RequestFingerprint aRequest,
                const BrokenAttempt& aBroken);
  /// Another incarnation has the server's address.
  void OnReplaced(const InstanceName& aInstance);
  /// The pool has a new list.
  void OnInstances();

  void Tell(PeerDigest& aDigest) const;
  void Hear(const PeerDigest& aDigest);
  void Tend();

  const CrashLedger& Ledger() const { return this->ledger; }
  std::uint64_t ServersEnded() const { return this->ended; }

  /// A process that ends closes its connections one by one and its listener
  /// among them; asked in that moment it might still seem to take some.
  static constexpr Duration kAskAfter = milliseconds(50);

private:
  /// Takes a verdict that the store keeps.
  void TakeKept(const QuarantineVerdict& aVerdict);
  void Ask();
  void OnEnded(const InstanceName& aInstance, const char* aHow);
  void Judge(TimePoint aNow);
  /// Logs a change of the request's newest verdict. \return that.
  QuarantineVerdict LogVerdict(RequestFingerprint aRequest,
                               std::string_view aFrom,
                               TimePoint aNow) const;

  BackendPool& pool;
  Options options;
  CrashLedger ledger;
  BrokenRuns broken;
  CopiesUnderWay copies;
  QuarantineKeeper keeper;
  /// Servers to be asked whether they still take connections.
  std::vector<InstanceName> toAsk;
  std::uint64_t ended = 0;
  Timer askTimer;
};

} // namespace dogwoodvale

#endif
