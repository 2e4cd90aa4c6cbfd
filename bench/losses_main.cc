// Reads the daemons' log lines of a run and says where jobs were lost.

#include <fstream>
#include <iostream>
#include <string>

#include <fmt/format.h>
#include <cxxopts.hpp>

#include "bench/job_losses.h"

namespace {

using quartzhoist::bench::JobLosses;

void ReadAll(std::istream& from, JobLosses& losses) {
  std::string line;
  while (std::getline(from, line))
    losses.Read(line);
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("quartzhoist-losses",
                           "Where jobs were lost, from log lines (standard "
                           "input if no file is named)");
  options.add_options()("svg", "Draw the pools into this file",
                        cxxopts::value<std::string>())(
      "logs", "Files", cxxopts::value<std::vector<std::string>>())("help", "");
  options.parse_positional({"logs"});
  options.positional_help("LOG...");
  try {
    const cxxopts::ParseResult given = options.parse(argc, argv);
    if (given.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    JobLosses losses;
    if (given.count("logs") == 0)
      ReadAll(std::cin, losses);
    else
      for (const auto& name : given["logs"].as<std::vector<std::string>>()) {
        std::ifstream file(name);
        if (!file) {
          std::cerr << fmt::format("{}: cannot be read\n", name);
          return 1;
        }
        ReadAll(file, losses);
      }
    std::cout << losses.ToText();
    if (given.count("svg") > 0)
      std::ofstream(given["svg"].as<std::string>()) << losses.ToSvg();
  } catch (const cxxopts::exceptions::exception& problem) {
    std::cerr << problem.what() << "\n";
    return 2;
  }
  return 0;
}
