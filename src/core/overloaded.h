#ifndef FLAMINGOYOKE_CORE_OVERLOADED_H_
#define FLAMINGOYOKE_CORE_OVERLOADED_H_

namespace flamingoyoke {

// Combines lambdas into one visitor for std::visit.
template <typename... Ts>
struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <typename... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CORE_OVERLOADED_H_
