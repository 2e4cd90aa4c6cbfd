// A whole small deployment on loopback, each part a process: the platform's
// stand-in, targets, daemons. All ports are chosen by the kernel.

#ifndef TESTING_CLUSTER_H_
#define TESTING_CLUSTER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "table/box.h"
#include "testing/process.h"

namespace quartzhoist::testing {

struct DaemonProcess {
  std::string id;
  std::string zone;
  std::string callers;  // ip:port
  std::string operators;
  std::string peers;
  std::unique_ptr<Process> process;
};

struct TargetProcess {
  table::Box box;
  std::unique_ptr<Process> process;
};

class Cluster {
 public:
  struct Options {
    std::string programs;  // the build folder
    std::string table;     // the operators' table, as text
    int ready_ms = 500;    // that the platform takes to ready an empty box
    int unready_seconds = 0;
  };

  explicit Cluster(const Options& options);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // First the targets, then the platform, then the daemons.
  void AddTarget(table::Box box, const std::vector<std::string>& arguments);
  // A box that no process stands for: rows only.
  void AddBoxRow(table::Box box) { this->rows_only.push_back(std::move(box)); }
  void StartPlatform();
  DaemonProcess& StartDaemon(const std::string& id, const std::string& zone);

  std::map<std::string, DaemonProcess>& daemons() { return this->by_id; }
  std::map<std::string, TargetProcess>& targets() { return this->by_box; }
  std::vector<std::string> CallerAddresses() const;

  // JSON from any part; null if it does not answer 200.
  static nlohmann::json Get(const std::string& address,
                            const std::string& path);
  static std::string GetText(const std::string& address,
                             const std::string& path);
  nlohmann::json Platform(const std::string& path, const nlohmann::json& body);
  nlohmann::json Status(const std::string& id);
  // Runs the operators' client to its end.
  struct ClientRun {
    int exit_code = 0;
    std::string output;
    std::string error;
  };
  ClientRun RunClient(const std::string& daemon_id,
                      std::vector<std::string> arguments);
  // Starts a program of testing/ that goes on by itself.
  std::unique_ptr<Process> Start(const std::string& program,
                                 std::vector<std::string> arguments);

  // Waits until `holds`; false if it does not in time.
  static bool WaitUntil(double seconds, const std::function<bool()>& holds);
  // Every daemon ready, and each live to each other.
  bool WaitUntilFormed();
  std::string BoxState(const std::string& id, const std::string& box);
  // How often requests ran at any target, by id.
  std::map<std::string, int> Runs();

 private:
  std::string NewFile(const std::string& name);

  Options options;
  std::string folder;
  int files = 0;
  std::string platform_address;
  std::unique_ptr<Process> platform;
  std::map<std::string, TargetProcess> by_box;
  std::vector<table::Box> rows_only;
  std::map<std::string, DaemonProcess> by_id;
};

}  // namespace quartzhoist::testing

#endif  // TESTING_CLUSTER_H_
