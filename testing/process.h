// A child process of a test or a demonstration. (The product itself starts
// none.)

#ifndef TESTING_PROCESS_H_
#define TESTING_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace quartzhoist::testing {

class Process {
 public:
  // Starts `arguments[0]`; what it prints goes to `output`, its log to
  // `output`.log. Throws std::runtime_error if it cannot be started.
  Process(std::vector<std::string> arguments, std::string output);
  // Kills it if it still runs.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // SIGKILL, SIGSTOP, ... Nothing happens once it has ended.
  void Signal(int signal);
  // The exit code, or nothing if it does not end in time. 128 + N: signal N.
  std::optional<int> Wait(double seconds);
  bool running();
  pid_t pid() const { return this->child; }

  std::string Output() const;
  std::string Log() const;
  // Waits for `text` in the output or the log and returns the word after it;
  // throws std::runtime_error if it does not come.
  std::string WaitForWord(const std::string& text);
  // The value of the first `"name":` in a JSON line of the output.
  std::string WaitForField(const std::string& name);

 private:
  std::string output_file;
  pid_t child = -1;
  std::optional<int> exit_code;
};

}  // namespace quartzhoist::testing

#endif  // TESTING_PROCESS_H_
