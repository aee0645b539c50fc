#include "node/control/platform/vm_list_reader.h"

#include <nlohmann/json.hpp>
#include <string>

namespace flamingoyoke {
namespace {

auto ParseVm(const nlohmann::json& vm) -> Member {
  return {.id = VmId(vm.at("id").get<std::string>()),
          .failure_domain =
              FailureDomainId(vm.at("failure_domain").get<std::string>()),
          .region = RegionId(vm.value("region", std::string())),
          .address = vm.at("address").get<std::string>(),
          .mesh_address = vm.at("mesh_address").get<std::string>(),
          .leaving = vm.value("state", std::string("live")) == "leaving"};
}

}  // namespace

auto ParseVmList(std::string_view json) -> Result<std::vector<Member>> {
  try {
    const auto list = nlohmann::json::parse(json);
    std::vector<Member> members;
    for (const auto& vm : list.at("vms")) {
      members.push_back(ParseVm(vm));
    }
    return members;
  } catch (const nlohmann::json::exception& error) {
    return Fail(ErrorKind::kPlatformUnavailable,
                std::string("malformed VM list: ") + error.what());
  }
}

}  // namespace flamingoyoke
