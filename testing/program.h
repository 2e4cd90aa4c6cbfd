// Shared by the programs of the stand-ins: settings on the command line, an end
// on a signal or after a set time.

#ifndef TESTING_PROGRAM_H_
#define TESTING_PROGRAM_H_

#include <functional>

#include <cxxopts.hpp>

#include "base/loop.h"

namespace quartzhoist::testing {

// Parses the command line, runs `body`; returns the process's exit code.
int RunProgram(cxxopts::Options options,
               int argc,
               char** argv,
               const std::function<int(const cxxopts::ParseResult&)>& body);

// Runs the loop until SIGTERM, SIGINT or `limit_seconds` have passed.
void RunUntilStopped(base::Loop& loop, int limit_seconds);

// Prints the port, for whoever started the program.
void AnnouncePort(int port);

}  // namespace quartzhoist::testing

#endif  // TESTING_PROGRAM_H_
