#include "node/control/mesh/traffic_counts.h"

namespace flamingoyoke {
namespace {

struct Key {
  TrafficDirection direction;
  PeerMessageKind kind;
  LinkClass link;
};

auto IndexOf(const Key& key) -> std::size_t {
  return (static_cast<std::size_t>(key.direction) * kEnumSize<PeerMessageKind> +
          static_cast<std::size_t>(key.kind)) *
             kEnumSize<LinkClass> +
         static_cast<std::size_t>(key.link);
}

auto KeyOf(std::size_t index) -> Key {
  const auto kinds = index / kEnumSize<LinkClass>;
  return {
      static_cast<TrafficDirection>(kinds / kEnumSize<PeerMessageKind>),
      static_cast<PeerMessageKind>(kinds % kEnumSize<PeerMessageKind>),
      static_cast<LinkClass>(index % kEnumSize<LinkClass>),
  };
}

auto MakeSample(const Key& key, const std::string& unit, std::uint64_t value)
    -> MetricSample {
  const std::string direction(ToName(key.direction));
  return {
      .name = "flamingoyoke_mesh_" + direction + "_" + unit + "_by_kind_total",
      .help = "Peer messages " + direction +
              " by kind and failure domain of the peer, in " + unit + ".",
      .label_name = "kind",
      .label_value = std::string(ToName(key.kind)),
      .second_label_name = "link",
      .second_label_value = std::string(ToName(key.link)),
      .value = static_cast<double>(value)};
}

}  // namespace

auto TrafficCounts::Add(TrafficDirection direction,
                        PeerMessageKind kind,
                        LinkClass link,
                        std::size_t bytes) -> void {
  auto& count = counts_[IndexOf({direction, kind, link})];
  ++count.messages;
  count.bytes += bytes;
}

auto TrafficCounts::Samples() const -> std::vector<MetricSample> {
  std::vector<MetricSample> samples;
  for (std::size_t i = 0; i < kCounts; ++i) {
    if (counts_[i].messages > 0) {
      samples.push_back(MakeSample(KeyOf(i), "bytes", counts_[i].bytes));
      samples.push_back(MakeSample(KeyOf(i), "messages", counts_[i].messages));
    }
  }
  return samples;
}

auto TrafficCounts::TakeSummary() -> std::string {
  std::string text;
  for (std::size_t i = 0; i < kCounts; ++i) {
    const auto messages = counts_[i].messages - summarized_[i].messages;
    if (messages == 0) {
      continue;
    }
    const auto key = KeyOf(i);
    text += (text.empty() ? "" : ", ") + std::string(ToName(key.direction)) +
            " " + std::string(ToName(key.kind)) + " " +
            std::string(ToName(key.link)) + " " +
            std::to_string(counts_[i].bytes - summarized_[i].bytes) +
            " bytes in " + std::to_string(messages);
  }
  summarized_ = counts_;
  return text;
}

}  // namespace flamingoyoke
