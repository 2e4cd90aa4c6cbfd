// The load tool as a program: prints what became of its requests as JSON.

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "testing/load.h"
#include "testing/program.h"

int main(int argc, char** argv) {
  using namespace quartzhoist;
  cxxopts::Options options("quartzhoist-load", "Sends requests");
  options.add_options()("to", "Entry boxes, ip:port",
                        cxxopts::value<std::vector<std::string>>())(
      "path", "Path", cxxopts::value<std::string>()->default_value("/"))(
      "method", "Method", cxxopts::value<std::string>()->default_value("GET"))(
      "id-prefix", "Of the requests' ids",
      cxxopts::value<std::string>()->default_value("r"))(
      "keyed", "Send the id as Idempotency-Key")(
      "body-bytes", "Size of the body",
      cxxopts::value<std::size_t>()->default_value("0"))(
      "in-flight", "Requests at once",
      cxxopts::value<int>()->default_value("1"))(
      "requests", "How many; 0: by time",
      cxxopts::value<std::uint64_t>()->default_value("0"))(
      "seconds", "How long", cxxopts::value<double>()->default_value("5"))(
      "rate", "Requests a second; 0: no limit",
      cxxopts::value<double>()->default_value("0"))(
      "ids", "Print the ids of the requests answered");
  return testing::RunProgram(
      std::move(options), argc, argv, [](const cxxopts::ParseResult& given) {
        base::Loop loop;
        testing::Load load(
            loop, {.addresses = given["to"].as<std::vector<std::string>>(),
                   .path = given["path"].as<std::string>(),
                   .method = given["method"].as<std::string>(),
                   .id_prefix = given["id-prefix"].as<std::string>(),
                   .keyed = given.count("keyed") > 0,
                   .body_bytes = given["body-bytes"].as<std::size_t>(),
                   .in_flight = given["in-flight"].as<int>(),
                   .requests = given["requests"].as<std::uint64_t>(),
                   .duration = base::Micros(static_cast<std::int64_t>(
                       given["seconds"].as<double>() * 1e6)),
                   .rate = given["rate"].as<double>()});
        base::SignalWatcher on_term(loop, SIGTERM, [&load] { load.Finish(); });
        load.Start([&loop] { loop.Stop(); });
        loop.Run();
        const testing::LoadResult& result = load.result();
        nlohmann::json out{
            {"answered", result.answered},
            {"refused_not_run", result.refused_not_run},
            {"refused_may_have_run", result.refused_may_have_run},
            {"refused_other", result.refused_other},
            {"repeated", result.repeated},
            {"cut_off", result.cut_off},
            {"foreign", result.foreign},
            {"seconds", result.seconds},
            {"requests_a_second",
             static_cast<double>(result.answered) / result.seconds},
            {"p50_us", result.Percentile(0.50)},
            {"p99_us", result.Percentile(0.99)},
        };
        if (given.count("ids") > 0)
          out["answered_ids"] = result.answered_ids;
        fmt::print("{}\n", out.dump());
        return 0;
      });
}
