#ifndef DOGWOODVALE_TEST_SUPPORT_NARROWLINK_H
#define DOGWOODVALE_TEST_SUPPORT_NARROWLINK_H

#include <list>
#include <memory>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include "../RawSockets.h"
#include "dogwoodvale/Core"

namespace dogwoodvale::test {

/// TCP relay to one address that limits the rate of the answers, over all
/// connections together.
class NarrowLink
{
public:
  NarrowLink(EventLoop& aLoop,
             const SocketAddress& aTarget,
             std::size_t aBytesPerSecond)
    : base(aLoop.Base())
    , target(aTarget)
  {
    constexpr int kTicksPerSecond = 50;
    const timeval tick{ 0, 1'000'000 / kTicksPerSecond };
    const std::size_t share = aBytesPerSecond / kTicksPerSecond;
    this->rate.reset(ev_token_bucket_cfg_new(
      share, share, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, &tick));
    this->group.reset(
      bufferevent_rate_limit_group_new(this->base, this->rate.get()));
    sockaddr_in any = Loopback(0);
    this->listener.reset(evconnlistener_new_bind(
      this->base,
      [](
        evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aSelf) {
        static_cast<NarrowLink*>(aSelf)->Accept(aSocket);
      },
      this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      -1,
      reinterpret_cast<sockaddr*>(&any),
      sizeof(any)));
  }

  SocketAddress Address() const
  {
    sockaddr_in own{};
    socklen_t size = sizeof(own);
    getsockname(evconnlistener_get_fd(this->listener.get()),
                reinterpret_cast<sockaddr*>(&own),
                &size);
    return { "127.0.0.1", ntohs(own.sin_port) };
  }

  /// Resets (RST) all connections; new ones are relayed.
  void Reset()
  {
    for (const auto& relay : this->relays) {
      relay->SetAbrupt();
    }
    this->relays.clear();
  }
  /// While set, no answer is relayed and no connection is closed.
  void SetSilent(bool aSilent)
  {
    this->silent = aSilent;
    for (const auto& relay : this->relays) {
      relay->SetSilent(aSilent);
    }
  }
  /// Bytes of answers relayed so far.
  std::size_t Relayed() const { return this->relayed; }

private:
  struct Free
  {
    void operator()(ev_token_bucket_cfg* aOne) const
    {
      ev_token_bucket_cfg_free(aOne);
    }
    void operator()(bufferevent_rate_limit_group* aOne) const
    {
      bufferevent_rate_limit_group_free(aOne);
    }
    void operator()(evconnlistener* aOne) const { evconnlistener_free(aOne); }
    void operator()(bufferevent* aOne) const { bufferevent_free(aOne); }
  };

  /// A client connection (near) and its connection to the target (far).
  class Relay
  {
  public:
    Relay(NarrowLink& aLink, evutil_socket_t aSocket)
      : link(aLink)
      , near(bufferevent_socket_new(aLink.base, aSocket, BEV_OPT_CLOSE_ON_FREE))
      , far(bufferevent_socket_new(aLink.base, -1, BEV_OPT_CLOSE_ON_FREE))
    {
      for (bufferevent* side : { this->near.get(), this->far.get() }) {
        bufferevent_setcb(side, &Relay::OnRead, nullptr, &Relay::OnEvent, this);
        bufferevent_enable(side, EV_READ | EV_WRITE);
      }
      bufferevent_add_to_rate_limit_group(this->far.get(), aLink.group.get());
      sockaddr_in target = Loopback(aLink.target.port);
      bufferevent_socket_connect(
        this->far.get(), reinterpret_cast<sockaddr*>(&target), sizeof(target));
      this->SetSilent(aLink.silent);
    }
    ~Relay() { bufferevent_remove_from_rate_limit_group(this->far.get()); }
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    void SetSilent(bool aSilent)
    {
      if (aSilent) {
        bufferevent_disable(this->far.get(), EV_READ);
      } else {
        bufferevent_enable(this->far.get(), EV_READ);
      }
    }
    /// Makes the near connection close by a reset.
    void SetAbrupt()
    {
      const linger now{ 1, 0 };
      setsockopt(bufferevent_getfd(this->near.get()),
                 SOL_SOCKET,
                 SO_LINGER,
                 &now,
                 sizeof(now));
    }

  private:
    static void OnRead(bufferevent* aFrom, void* aSelf)
    {
      auto* self = static_cast<Relay*>(aSelf);
      const bool isAnswer = aFrom == self->far.get();
      evbuffer* input = bufferevent_get_input(aFrom);
      if (isAnswer) {
        self->link.relayed += evbuffer_get_length(input);
      }
      bufferevent_write_buffer(isAnswer ? self->near.get() : self->far.get(),
                               input);
    }
    static void OnEvent(bufferevent* aSide, short aWhat, void* aSelf)
    {
      if ((aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
      }
      auto* self = static_cast<Relay*>(aSelf);
      bufferevent* other =
        aSide == self->far.get() ? self->near.get() : self->far.get();
      if (evbuffer_get_length(bufferevent_get_output(other)) == 0) {
        self->End();
        return;
      }
      // Data received before the end is flushed first.
      bufferevent_disable(aSide, EV_READ | EV_WRITE);
      bufferevent_setcb(other, nullptr, &Relay::OnDrained, OnEvent, self);
    }
    static void OnDrained(bufferevent* /*aSide*/, void* aSelf)
    {
      static_cast<Relay*>(aSelf)->End();
    }
    void End()
    {
      this->link.relays.remove_if(
        [this](const auto& aOne) { return aOne.get() == this; });
    }

    NarrowLink& link;
    std::unique_ptr<bufferevent, Free> near;
    std::unique_ptr<bufferevent, Free> far;
  };

  void Accept(evutil_socket_t aSocket)
  {
    this->relays.push_back(std::make_unique<Relay>(*this, aSocket));
  }

  event_base* base;
  SocketAddress target;
  bool silent = false;
  std::size_t relayed = 0;
  std::unique_ptr<ev_token_bucket_cfg, Free> rate;
  std::unique_ptr<bufferevent_rate_limit_group, Free> group;
  std::unique_ptr<evconnlistener, Free> listener;
  std::list<std::unique_ptr<Relay>> relays;
};

} // namespace dogwoodvale::test

#endif
