#ifndef AMARANTHLANE_FUZZ_MUTATOR_H_
#define AMARANTHLANE_FUZZ_MUTATOR_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace amaranthlane::fuzz {

// Generates almost valid inputs from valid ones. The seed determines the sequence.
class Mutator {
 public:
  Mutator(std::vector<std::string> samples, std::uint64_t seed);

  std::string Next();

 private:
  std::size_t RandomBelow(std::size_t count);
  std::string InsertDeepValue(std::string text);
  std::string MutateText(std::string text);
  // A whole sample after bytes that a reader may take for the end of the message before it.
  std::string InnerMessage();
  // Replaces, removes or adds values at any depth; the result is still JSON.
  std::string MutateJson(nlohmann::json document);
  nlohmann::json& PickPart(nlohmann::json& document);
  nlohmann::json PickValue();

  std::vector<std::string> samples;
  std::mt19937_64 generator;
};

}  // namespace amaranthlane::fuzz

#endif  // AMARANTHLANE_FUZZ_MUTATOR_H_
