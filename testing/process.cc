#include "testing/process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace quartzhoist::testing {

namespace {

constexpr auto kPoll = std::chrono::milliseconds(5);
constexpr double kStartSeconds = 20;
constexpr int kSignalBase = 128;

std::string ReadFile(const std::string& file) {
  std::ifstream in(file);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace

Process::Process(std::vector<std::string> arguments, std::string output)
    : output_file(std::move(output)) {
  std::vector<char*> argv;
  for (std::string& argument : arguments)
    argv.push_back(argument.data());
  argv.push_back(nullptr);
  const std::string log = this->output_file + ".log";
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr int kFlags = O_WRONLY | O_CREAT | O_TRUNC;
  constexpr mode_t kMode = 0644;
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                   this->output_file.c_str(), kFlags, kMode);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(), kFlags,
                                   kMode);
  const int failed = posix_spawn(&this->child, argv[0], &actions, nullptr,
                                 argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0)
    throw std::runtime_error("cannot start " + arguments[0]);
}

Process::~Process() {
  if (!this->running())
    return;
  this->Signal(SIGKILL);
  this->Wait(kStartSeconds);
}

void Process::Signal(int signal) {
  if (this->running())
    kill(this->child, signal);
}

bool Process::running() {
  if (this->exit_code)
    return false;
  int status = 0;
  if (waitpid(this->child, &status, WNOHANG) == 0)
    return true;
  this->exit_code =
      WIFEXITED(status) ? WEXITSTATUS(status) : kSignalBase + WTERMSIG(status);
  return false;
}

std::optional<int> Process::Wait(double seconds) {
  const auto until =
      std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
  while (this->running()) {
    if (std::chrono::steady_clock::now() > until)
      return std::nullopt;
    std::this_thread::sleep_for(kPoll);
  }
  return this->exit_code;
}

std::string Process::Output() const {
  return ReadFile(this->output_file);
}

std::string Process::Log() const {
  return ReadFile(this->output_file + ".log");
}

std::string Process::WaitForWord(const std::string& text) {
  const auto until = std::chrono::steady_clock::now() +
                     std::chrono::duration<double>(kStartSeconds);
  while (std::chrono::steady_clock::now() < until) {
    const bool ended = !this->running();
    const std::string all = this->Output() + "\n" + this->Log();
    const std::size_t at = all.find(text);
    if (at != std::string::npos) {
      std::istringstream rest(all.substr(at + text.size()));
      std::string word;
      rest >> word;
      // The line may not be written whole yet.
      if (!word.empty() && rest.good())
        return word;
    }
    if (ended)
      break;
    std::this_thread::sleep_for(kPoll);
  }
  throw std::runtime_error("'" + text + "' did not come from a process: " +
                           this->Output() + this->Log());
}

std::string Process::WaitForField(const std::string& name) {
  std::string rest = this->WaitForWord("\"" + name + "\":");
  if (rest.starts_with('"'))
    return rest.substr(1, rest.find('"', 1) - 1);
  return rest.substr(0, rest.find_first_of(",}"));
}

}  // namespace quartzhoist::testing
