// A worker's stand-in as a program.

#include "testing/program.h"
#include "testing/target_standin.h"

int main(int argc, char** argv) {
  using namespace quartzhoist;
  cxxopts::Options options("quartzhoist-target", "A worker's stand-in");
  options.add_options()("port", "0: any",
                        cxxopts::value<int>()->default_value("0"))(
      "slots", "Requests at once", cxxopts::value<int>()->default_value("8"))(
      "work-us", "Time that a request takes",
      cxxopts::value<int>()->default_value("0"))(
      "fail-all", "Answer every request with 500")(
      "limit-seconds", "Ends after this",
      cxxopts::value<int>()->default_value("600"));
  return testing::RunProgram(
      std::move(options), argc, argv, [](const cxxopts::ParseResult& given) {
        base::Loop loop;
        testing::TargetStandin standin(
            loop, {.port = static_cast<std::uint16_t>(given["port"].as<int>()),
                   .slots = given["slots"].as<int>(),
                   .work = base::Micros(given["work-us"].as<int>()),
                   .fail_all = given.count("fail-all") > 0});
        testing::AnnouncePort(standin.port());
        testing::RunUntilStopped(loop, given["limit-seconds"].as<int>());
        return 0;
      });
}
