// The exit codes of the operators' client; --help and OPERATORS.md list them.

#ifndef CLIENT_EXIT_CODE_H_
#define CLIENT_EXIT_CODE_H_

namespace quartzhoist::client {

enum class ExitCode {
  kOk = 0,
  kFailed = 1,       // anything else
  kUsage = 2,        // the command line or a file is wrong
  kRejected = 3,     // the table would not hold together
  kUnavailable = 5,  // a daemon is out of reach
};

}  // namespace quartzhoist::client

#endif  // CLIENT_EXIT_CODE_H_
