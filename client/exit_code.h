// The exit codes of the operators' client; --help and OPERATORS.md list them.

#ifndef CLIENT_EXIT_CODE_H_
#define CLIENT_EXIT_CODE_H_

namespace quartzhoist::client {

enum class ExitCode {
  kOk = 0,
  kFailed = 1,       // anything else
  kUsage = 2,        // the command line or a file is wrong
  kRejected = 3,     // the table would not hold together; nothing was changed
  kConflict = 4,     // somebody else changed it first; nothing was changed
  kUnavailable = 5,  // daemon or platform out of reach; nothing was changed
  kMayHaveRun = 6,   // the change may have been made; look before repeating
  kNotYet = 7,       // accepted, but not in force everywhere in time
};

}  // namespace quartzhoist::client

#endif  // CLIENT_EXIT_CODE_H_
