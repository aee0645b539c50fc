#include "node/control/mesh/key_authenticator.h"

#include <zmq.h>

#include <algorithm>
#include <iterator>
#include <string_view>
#include <vector>
#include <zmq_addon.hpp>

namespace flamingoyoke {
namespace {

// Frame indexes of a ZAP request that uses the CURVE mechanism.
constexpr std::size_t kRequestIdFrame = 1;
constexpr std::size_t kMechanismFrame = 5;
constexpr std::size_t kClientKeyFrame = 6;

}  // namespace

KeyAuthenticator::KeyAuthenticator(zmq::context_t& context,
                                   EventLoop& loop,
                                   const MeshConfig& config)
    : socket_(context, zmq::socket_type::rep) {
  zmq_z85_decode(accepted_key_.data(), config.public_key.c_str());
  socket_.set(zmq::sockopt::linger, 0);
  socket_.bind("inproc://zeromq.zap.01");
  watch_ = loop.WatchReadable(socket_.get(zmq::sockopt::fd),
                              [this] { HandleRequests(); });
}

auto KeyAuthenticator::HandleRequests() -> void {
  // The descriptor is edge-triggered, so all pending requests must be handled.
  while ((socket_.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0) {
    if (!HandleRequest()) {
      return;
    }
  }
}

auto KeyAuthenticator::HandleRequest() -> bool {
  std::vector<zmq::message_t> request;
  if (!zmq::recv_multipart(socket_, std::back_inserter(request),
                           zmq::recv_flags::dontwait)) {
    return false;
  }
  const auto is_accepted =
      request.size() > kClientKeyFrame &&
      request[kMechanismFrame].to_string_view() == "CURVE" &&
      request[kClientKeyFrame].size() == accepted_key_.size() &&
      std::equal(accepted_key_.begin(), accepted_key_.end(),
                 request[kClientKeyFrame].data<std::uint8_t>());
  refused_count_ += is_accepted ? 0 : 1;
  const auto request_id = request.size() > kRequestIdFrame
                              ? request[kRequestIdFrame].to_string()
                              : std::string();
  const std::array<std::string_view, 6> reply = {
      "1.0",
      request_id,
      is_accepted ? "200" : "400",
      is_accepted ? "OK" : "unknown key",
      is_accepted ? "fleet" : "",
      ""};
  for (std::size_t i = 0; i < reply.size(); ++i) {
    const auto flags =
        i + 1 < reply.size() ? zmq::send_flags::sndmore : zmq::send_flags::none;
    socket_.send(zmq::buffer(reply[i]), flags);
  }
  return true;
}

}  // namespace flamingoyoke
