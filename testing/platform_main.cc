// The platform's stand-in as a program.

#include <fstream>

#include <nlohmann/json.hpp>

#include "table/codec.h"
#include "table/text.h"
#include "testing/platform_standin.h"
#include "testing/program.h"

namespace {

using namespace quartzhoist;

void LoadTable(testing::MemoryTable& store, const std::string& file) {
  std::ifstream in(file);
  if (!in)
    throw std::runtime_error("cannot open " + file);
  platform::Transaction transaction{.writer = "seed"};
  for (const auto& [id, row] : table::ReadText(in, file))
    transaction.writes.push_back({table::RowKey(id), table::EncodeRow(row)});
  store.Commit(transaction);
}

// The file holds a JSON object: a box's name to the box's row.
void LoadBoxes(testing::PlatformStandin& standin, const std::string& file) {
  std::ifstream in(file);
  const nlohmann::json boxes = nlohmann::json::parse(in);
  platform::Transaction transaction{.writer = "seed"};
  for (const auto& [name, box] : boxes.items()) {
    transaction.writes.push_back({table::BoxKey(name), box.dump()});
    standin.List({.name = name, .zone = box.value("zone", "")});
  }
  standin.table().Commit(transaction);
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("quartzhoist-platform", "The platform's stand-in");
  options.add_options()("port", "0: any",
                        cxxopts::value<int>()->default_value("0"))(
      "table", "The operators' table, as text", cxxopts::value<std::string>())(
      "boxes", "The worker boxes, as JSON", cxxopts::value<std::string>())(
      "ready-ms", "Time to ready an empty box",
      cxxopts::value<int>()->default_value("1000"))(
      "limit-seconds", "Ends after this",
      cxxopts::value<int>()->default_value("600"));
  return testing::RunProgram(
      std::move(options), argc, argv, [](const cxxopts::ParseResult& given) {
        base::Loop loop;
        testing::PlatformStandin standin(
            loop, {.port = static_cast<std::uint16_t>(given["port"].as<int>()),
                   .ready_after =
                       std::chrono::milliseconds(given["ready-ms"].as<int>())});
        if (given.count("table") > 0)
          LoadTable(standin.table(), given["table"].as<std::string>());
        if (given.count("boxes") > 0)
          LoadBoxes(standin, given["boxes"].as<std::string>());
        testing::AnnouncePort(standin.port());
        testing::RunUntilStopped(loop, given["limit-seconds"].as<int>());
        return 0;
      });
}
