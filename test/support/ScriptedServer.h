#ifndef DOGWOODVALE_TEST_SUPPORT_SCRIPTEDSERVER_H
#define DOGWOODVALE_TEST_SUPPORT_SCRIPTEDSERVER_H

#include <functional>
#include <string>
#include <vector>

#include <event2/buffer.h>
#include <event2/http.h>

#include "dogwoodvale/Core"

namespace dogwoodvale::test {

/// An HTTP server whose every answer the test decides.
class ScriptedServer
{
public:
  struct Reply
  {
    int code = 200;
    std::string body;
    /// The request is taken and never answered.
    bool isLost = false;
    /// Head and body are sent; the answer stays open for SendMore().
    bool isStream = false;
  };
  using Script =
    std::function<Reply(const std::string& aPath, const std::string& aBody)>;

  explicit ScriptedServer(EventLoop& aLoop)
    : server(evhttp_new(aLoop.Base()))
  {
    evhttp_set_gencb(this->server, &ScriptedServer::OnRequest, this);
    evhttp_bound_socket* bound =
      evhttp_bind_socket_with_handle(this->server, "127.0.0.1", 0);
    sockaddr_in name{};
    socklen_t length = sizeof name;
    getsockname(evhttp_bound_socket_get_fd(bound),
                reinterpret_cast<sockaddr*>(&name),
                &length);
    this->address = { "127.0.0.1", ntohs(name.sin_port) };
  }
  ~ScriptedServer()
  {
    // Frees those whose reader has left, too.
    this->EndStreams();
    evhttp_free(this->server);
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  SocketAddress Address() const { return this->address; }
  void SetScript(Script aScript) { this->script = std::move(aScript); }
  const std::vector<std::string>& Paths() const { return this->paths; }

  /// Adds a part to every open stream.
  void SendMore(const std::string& aBytes)
  {
    for (evhttp_request* stream : this->streams) {
      SendPart(stream, aBytes);
    }
  }
  void EndStreams()
  {
    for (evhttp_request* stream : this->streams) {
      evhttp_send_reply_end(stream);
    }
    this->streams.clear();
  }

private:
  static void SendPart(evhttp_request* aRequest, const std::string& aBytes)
  {
    evbuffer* part = evbuffer_new();
    evbuffer_add(part, aBytes.data(), aBytes.size());
    evhttp_send_reply_chunk(aRequest, part);
    evbuffer_free(part);
  }

  static void OnRequest(evhttp_request* aRequest, void* aSelf)
  {
    auto* self = static_cast<ScriptedServer*>(aSelf);
    evbuffer* input = evhttp_request_get_input_buffer(aRequest);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, body.data(), body.size());
    self->paths.emplace_back(evhttp_request_get_uri(aRequest));
    const Reply reply = self->script(self->paths.back(), body);
    if (reply.isLost) {
      return;
    }
    if (reply.isStream) {
      evhttp_send_reply_start(aRequest, reply.code, "OK");
      self->streams.push_back(aRequest);
      SendPart(aRequest, reply.body);
      return;
    }
    evbuffer* out = evbuffer_new();
    evbuffer_add(out, reply.body.data(), reply.body.size());
    evhttp_send_reply(aRequest, reply.code, "OK", out);
    evbuffer_free(out);
  }

  evhttp* server;
  SocketAddress address;
  Script script;
  std::vector<std::string> paths;
  std::vector<evhttp_request*> streams;
};

/// A port of this machine on which nobody listens.
inline SocketAddress
DeadAddress()
{
  auto loop = EventLoop::Create();
  return ScriptedServer(**loop).Address();
}

} // namespace dogwoodvale::test

#endif
