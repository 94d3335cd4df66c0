#ifndef DOGWOODVALE_TEST_SUPPORT_VERSIONEDSITE_H
#define DOGWOODVALE_TEST_SUPPORT_VERSIONEDSITE_H

#include <set>

#include "FleetSite.h"

namespace dogwoodvale::test {

/// A site whose engines have several versions of their software, and callers
/// that resume their streams. Each event names the version that wrote it.
class VersionedSite : public FleetSite
{
public:
  static constexpr std::uint64_t kEvents = 12;

  /// \param aVersions the version of each engine.
  /// \param aGap time between two events of a stream.
  explicit VersionedSite(const std::vector<std::string>& aVersions,
                         int aGateways = 1,
                         milliseconds aGap = milliseconds(10))
    : gap(aGap)
  {
    for (const std::string& version : aVersions) {
      this->StartEngine(version);
    }
    this->StartGateways(aGateways);
  }

  standins::SealedEngine& StartEngine(const std::string& aVersion)
  {
    standins::SealedEngineSettings settings;
    settings.softwareVersion = aVersion;
    settings.events = kEvents;
    settings.gap = this->gap;
    this->versions.push_back(aVersion);
    return this->AddEngine(EngineName(this->versions.size()), settings);
  }

  /// The engines of the version leave the list and accept no more work.
  void RemoveEngines(const std::string& aVersion)
  {
    for (std::size_t i = 0; i < this->versions.size(); ++i) {
      if (this->versions[i] == aVersion) {
        this->store->Remove("servers/" + EngineName(i + 1));
        this->engines[i]->SetFault(Fault("refuse"));
      }
    }
  }

  void SetFaultOfAll(const Json::Value& aFault)
  {
    for (const auto& engine : this->engines) {
      engine->SetFault(aFault);
    }
  }

  /// What one caller has of one stream, over all its attempts.
  struct Stream
  {
    Try* first = nullptr;
    Try* last = nullptr;
    /// Events of the attempts before the last one.
    std::string earlier;

    std::string Received() const
    {
      return this->earlier + this->last->socket.received;
    }
    /// Id of the last whole event; 0 if there is none.
    std::uint64_t LastEvent() const
    {
      std::uint64_t newest = 0;
      for (std::uint64_t id = 1; id <= kEvents; ++id) {
        newest = HasEvent(this->Received(), id) ? id : newest;
      }
      return newest;
    }
    bool IsWhole() const { return this->LastEvent() == kEvents; }
    /// The versions that wrote its events.
    std::set<std::string> Versions() const
    {
      constexpr std::string_view kText = "data: piece ";
      std::set<std::string> found;
      const std::string received = this->Received();
      for (std::size_t at = received.find(kText); at != std::string::npos;
           at = received.find(kText, at + 1)) {
        const std::size_t space = received.find(' ', at + kText.size());
        const std::size_t end = received.find('\n', at);
        if (space < end && end != std::string::npos) {
          found.insert(received.substr(space + 1, end - space - 1));
        }
      }
      return found;
    }

    static bool HasEvent(const std::string& aReceived, std::uint64_t aId)
    {
      const std::size_t at =
        aReceived.find(fmt::format("id: {}\ndata: piece {} ", aId, aId));
      return at != std::string::npos &&
             aReceived.find("\n\n", at) != std::string::npos;
    }
  };

  Stream Begin(std::size_t aGateway, const std::string& aBody = "note")
  {
    Stream stream;
    stream.first = &this->Send(aGateway, "/stream/x", aBody);
    stream.last = stream.first;
    return stream;
  }

  /// Disconnects the caller of a stream and lets it resume at a gateway.
  void Resume(Stream& aStream, std::size_t aGateway)
  {
    this->Resume(
      aStream, aGateway, fmt::format("Resumes: {}\r\n", aStream.first->id));
  }

  /// \param aHeader the header that names the attempt of the first event.
  void Resume(Stream& aStream, std::size_t aGateway, const std::string& aHeader)
  {
    aStream.last->socket.Read();
    const std::string received = aStream.Received();
    const std::uint64_t event = aStream.LastEvent();
    aStream.last->socket.Close();
    aStream.last->socket.closed = true;
    Try& again =
      this->Send(aGateway,
                 "/stream/x",
                 "note",
                 fmt::format("Last-Event-Id: {}\r\n{}", event, aHeader));
    aStream.earlier = received;
    aStream.last = &again;
  }

  /// Ends a gateway at once, as a crash would.
  void KillGateway(std::size_t aGateway) { this->gateways[aGateway].reset(); }

  /// Waits until the caller has an event of the stream.
  bool HasBegun(const Stream& aStream) const
  {
    this->Until([&] {
      return aStream.last->socket.IsClosed() || aStream.LastEvent() > 0;
    });
    return aStream.LastEvent() > 0;
  }

private:
  static std::string EngineName(std::size_t aNumber)
  {
    return fmt::format("e{}", aNumber);
  }

  milliseconds gap;
  std::vector<std::string> versions;
};

} // namespace dogwoodvale::test

#endif
