#ifndef DOGWOODVALE_TEST_SUPPORT_ANSWERSERVER_H
#define DOGWOODVALE_TEST_SUPPORT_ANSWERSERVER_H

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <optional>
#include <string>
#include <vector>

#include "../RawSockets.h"

namespace dogwoodvale::test {

/// How a server ends the connection of an answer.
enum class ConnectionEnd : std::uint8_t
{
  /// It keeps the connection open.
  Open,
  /// In order, once it has read the request.
  Close,
  Reset,
  /// It sends the repeated bytes until the other end closes.
  Never,
};

/// A server that answers each request with the same bytes, whatever they are.
class AnswerServer
{
public:
  /// \param aPort 0 for any that is free.
  explicit AnswerServer(EventLoop& aLoop, std::uint16_t aPort = 0)
    : listener(RawSocket::Listen(64, aPort))
    , timer(aLoop, [this] { this->Work(); })
  {
    // As in the daemon: a write to a connection that is gone gives an error.
    std::signal(SIGPIPE, SIG_IGN);
    this->timer.StartRepeating(milliseconds(1));
  }

  SocketAddress Address() const { return this->listener.Address(); }
  std::size_t Accepted() const { return this->answers.size(); }
  std::size_t BytesSent() const { return this->bytesSent; }
  std::size_t OpenCount()
  {
    return static_cast<std::size_t>(std::ranges::count_if(
      this->answers, [](Answer& aOne) { return !aOne.socket.IsClosed(); }));
  }

  std::string text;
  ConnectionEnd end = ConnectionEnd::Close;
  /// Of ConnectionEnd::Never.
  std::string repeated;
  /// Bytes of the next answer, and of no other, after which its connection is
  /// reset.
  std::optional<std::size_t> nextCut;
  /// Turns of the timer between the last byte and a reset.
  int turnsBeforeReset = 0;
  /// Answers before the request is read, and ends only what this end sends.
  bool isHasty = false;

private:
  struct Answer
  {
    RawSocket socket;
    std::string text;
    ConnectionEnd end = ConnectionEnd::Close;
    bool isDue = false;
    bool hasEnded = false;
    /// Of the next byte to send, in the text, then in the repeated bytes.
    std::size_t offset = 0;
    int turnsBeforeReset = 0;
  };

  void Work()
  {
    RawSocket accepted;
    while (this->listener.Accept(accepted)) {
      const auto cut = std::exchange(this->nextCut, std::nullopt);
      this->answers.push_back({ std::move(accepted),
                                cut ? this->text.substr(0, *cut) : this->text,
                                cut ? ConnectionEnd::Reset : this->end });
      this->answers.back().turnsBeforeReset = this->turnsBeforeReset;
      accepted = RawSocket();
    }
    for (Answer& answer : this->answers) {
      this->Serve(answer);
    }
  }

  bool IsDue(Answer& aAnswer) const
  {
    if (this->isHasty) {
      return aAnswer.socket.Peek() > 0;
    }
    const std::string& request = aAnswer.socket.Read();
    const std::size_t head = request.find("\r\n\r\n");
    constexpr std::string_view kLength = "Content-Length: ";
    const std::size_t at = request.find(kLength);
    const std::size_t length =
      at < head
        ? std::strtoul(request.c_str() + at + kLength.size(), nullptr, 10)
        : 0;
    return head != std::string::npos && request.size() >= head + 4 + length;
  }

  void Serve(Answer& aAnswer)
  {
    if (aAnswer.hasEnded) {
      return;
    }
    if (!aAnswer.isDue) {
      aAnswer.isDue = this->IsDue(aAnswer);
    } else if (aAnswer.offset < aAnswer.text.size()) {
      aAnswer.offset += this->Send(aAnswer, aAnswer.text, aAnswer.offset);
    } else {
      this->End(aAnswer);
    }
  }

  void End(Answer& aAnswer)
  {
    switch (aAnswer.end) {
      case ConnectionEnd::Open:
        break;
      case ConnectionEnd::Close:
        aAnswer.hasEnded = true;
        if (this->isHasty) {
          aAnswer.socket.EndSending();
        } else {
          aAnswer.socket.Close();
        }
        break;
      case ConnectionEnd::Reset:
        // What the other end has not read by then is lost with the reset.
        if (aAnswer.turnsBeforeReset-- <= 0) {
          aAnswer.hasEnded = true;
          aAnswer.socket.Reset();
        }
        break;
      case ConnectionEnd::Never:
        const std::size_t size = aAnswer.text.size();
        aAnswer.offset +=
          this->Send(aAnswer,
                     this->repeated,
                     (aAnswer.offset - size) % this->repeated.size());
        aAnswer.hasEnded = aAnswer.socket.IsClosed();
        break;
    }
  }

  std::size_t Send(Answer& aAnswer, std::string_view aBytes, std::size_t aFrom)
  {
    const ssize_t sent = aAnswer.socket.Send(aBytes.substr(aFrom));
    const std::size_t taken = sent > 0 ? static_cast<std::size_t>(sent) : 0;
    this->bytesSent += taken;
    return taken;
  }

  RawSocket listener;
  std::vector<Answer> answers;
  std::size_t bytesSent = 0;
  Timer timer;
};

/// \p aText as often as it takes to fill \p aBytes.
inline std::string
Repeat(std::string_view aText, std::size_t aBytes)
{
  std::string text;
  while (text.size() < aBytes) {
    text += aText;
  }
  return text;
}

} // namespace dogwoodvale::test

#endif
