#include "Http2Callbacks.h"

#include <array>

#include "Http2Session.h"

namespace dogwoodvale::internal {

namespace {

Http2Session&
Self(void* aSession)
{
  return *static_cast<Http2Session*>(aSession);
}

int
Result(bool aGoOn)
{
  return aGoOn ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
}

int
OnFrameReceived(nghttp2_session* /*aNghttp2*/,
                const nghttp2_frame* aFrame,
                void* aSession)
{
  const nghttp2_frame_hd& head = aFrame->hd;
  Http2Session& self = Self(aSession);
  switch (head.type) {
    case NGHTTP2_HEADERS:
      if (aFrame->headers.cat == NGHTTP2_HCAT_REQUEST &&
          !self.OnRequest(head.stream_id)) {
        return Result(false);
      }
      break;
    case NGHTTP2_DATA:
      if (head.length == 0 && (head.flags & NGHTTP2_FLAG_END_STREAM) == 0 &&
          !self.OnControlFrame()) {
        return Result(false);
      }
      break;
    case NGHTTP2_RST_STREAM:
    case NGHTTP2_WINDOW_UPDATE:
      return 0;
    case NGHTTP2_GOAWAY:
      return Result(self.OnGoAway());
    default:
      return Result(self.OnControlFrame());
  }
  if ((head.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
    return Result(self.OnRemoteEnd(head.stream_id));
  }
  return 0;
}

int
OnDataChunk(nghttp2_session* /*aNghttp2*/,
            std::uint8_t /*aFlags*/,
            std::int32_t aId,
            const std::uint8_t* aData,
            std::size_t aSize,
            void* aSession)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  return Result(Self(aSession).OnData(aId, bytes));
}

int
OnStreamClose(nghttp2_session* /*aNghttp2*/,
              std::int32_t aId,
              std::uint32_t aError,
              void* aSession)
{
  return Result(Self(aSession).OnStreamClose(aId, aError));
}

int
OnBeforeFrameSend(nghttp2_session* /*aNghttp2*/,
                  const nghttp2_frame* aFrame,
                  void* aSession)
{
  if (aFrame->hd.type == NGHTTP2_HEADERS) {
    Self(aSession).OnBeforeFrame(aFrame->hd.stream_id);
  }
  return 0;
}

int
OnFrameSent(nghttp2_session* /*aNghttp2*/,
            const nghttp2_frame* aFrame,
            void* aSession)
{
  const nghttp2_frame_hd& head = aFrame->hd;
  if (head.type == NGHTTP2_GOAWAY) {
    Self(aSession).OnGoAwaySent();
  } else if (head.type == NGHTTP2_DATA &&
             (head.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
    Self(aSession).OnEndSent(head.stream_id);
  }
  return 0;
}

ssize_t
Provide(nghttp2_session* /*aNghttp2*/,
        std::int32_t aId,
        std::uint8_t* aTo,
        std::size_t aSize,
        std::uint32_t* aFlags,
        nghttp2_data_source* /*aSource*/,
        void* aSession)
{
  return Self(aSession).Provide(aId, { aTo, aSize }, *aFlags);
}

nghttp2_session_callbacks*
MakeCallbacks()
{
  nghttp2_session_callbacks* table = nullptr;
  nghttp2_session_callbacks_new(&table);
  nghttp2_session_callbacks_set_on_frame_recv_callback(table, &OnFrameReceived);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(table,
                                                            &OnDataChunk);
  nghttp2_session_callbacks_set_on_stream_close_callback(table, &OnStreamClose);
  nghttp2_session_callbacks_set_before_frame_send_callback(table,
                                                           &OnBeforeFrameSend);
  nghttp2_session_callbacks_set_on_frame_send_callback(table, &OnFrameSent);
  return table;
}

nghttp2_data_provider
DataProvider()
{
  nghttp2_data_provider provider{};
  provider.read_callback = &Provide;
  return provider;
}

nghttp2_nv
Field(std::string_view aName, std::string_view aValue)
{
  // nghttp2 copies both and writes to neither, in spite of its type.
  const auto bytes = [](std::string_view aText) {
    return const_cast<std::uint8_t*>(
      reinterpret_cast<const std::uint8_t*>(aText.data()));
  };
  return { bytes(aName),
           bytes(aValue),
           aName.size(),
           aValue.size(),
           NGHTTP2_NV_FLAG_NONE };
}

} // namespace

const nghttp2_session_callbacks*
Http2Callbacks()
{
  static const nghttp2_session_callbacks* const kTable = MakeCallbacks();
  return kTable;
}

std::int32_t
SubmitRequest(nghttp2_session& aNghttp2, std::string_view aPath)
{
  const std::array<nghttp2_nv, 4> fields{ Field(":method", "POST"),
                                          Field(":scheme", "http"),
                                          Field(":authority", "peer"),
                                          Field(":path", aPath) };
  const nghttp2_data_provider provider = DataProvider();
  return nghttp2_submit_request(
    &aNghttp2, nullptr, fields.data(), fields.size(), &provider, nullptr);
}

void
SubmitResponse(nghttp2_session& aNghttp2, std::int32_t aId)
{
  const nghttp2_nv status = Field(":status", "200");
  const nghttp2_data_provider provider = DataProvider();
  nghttp2_submit_response(&aNghttp2, aId, &status, 1, &provider);
}

} // namespace dogwoodvale::internal
