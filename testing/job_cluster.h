// A small deployment that runs jobs: real daemons as processes, and the
// platform's stand-ins on the loop of the one who asks.

#ifndef TESTING_JOB_CLUSTER_H_
#define TESTING_JOB_CLUSTER_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/loop.h"
#include "entry/shards.h"
#include "http/client.h"
#include "testing/process.h"
#include "testing/store_standin.h"
#include "testing/tcp_link.h"
#include "testing/worker_standin.h"

namespace quartzhoist::testing {

class JobCluster {
 public:
  // `programs` is the build folder. One queue, one pool with this many boxes.
  JobCluster(std::string programs, int boxes);
  ~JobCluster();
  JobCluster(const JobCluster&) = delete;
  JobCluster& operator=(const JobCluster&) = delete;

  struct Daemon {
    std::string settings;  // the file
    std::unique_ptr<Process> process;
    std::string callers;  // ip:port
    std::string readiness;
    std::string metrics;
  };

  // Callers show this access key from now on; empty: none.
  void SetKey(const std::string& key) { this->access_key = key; }
  // Applies to daemons started from now on.
  void SetWorkersAnOwner(int workers) { this->workers_an_owner = workers; }
  // Workers and boxes check epochs, and daemons started from now on count on
  // it.
  void SetEpochsChecked() {
    this->epochs_checked = true;
    this->fleet.CheckEpochs();
  }
  // The same, and they grant leases of up to `longest_lease`.
  void SetEpochsChecked(base::Micros longest_lease) {
    this->SetEpochsChecked();
    this->limits +=
        "longest_lease_ms = " + std::to_string(base::Millis(longest_lease)) +
        "\n";
  }
  // Daemons that are started again keep the address of their metrics.
  void KeepMetricsAddresses() { this->keeps_metrics_addresses = true; }
  Daemon& StartDaemon(const std::string& id);
  // One that reaches the store over a link of its own.
  Daemon& StartDaemonOverLink(const std::string& id);
  // One that reaches the store at an endpoint of its own, named after it.
  Daemon& StartDaemonAtEndpoint(const std::string& id);
  // The [limits] of daemons started from now on.
  void SetLimits(const std::string& lines) { this->limits = lines; }
  // The daemons whose process has ended otherwise than with exit code 0 or by
  // SIGKILL, in words.
  std::vector<std::string> CrashedDaemons() const;
  // Copies the daemons' logs, of ended ones too.
  void CopyLogs(const std::string& to) const;
  TcpLink& LinkOf(const std::string& id) { return *this->links.at(id); }
  std::map<std::string, Daemon>& daemons() { return this->by_id; }
  // The daemons' logs, of ended ones too, and the rows of the shards' owners;
  // of a long log its begin and its end.
  std::string Logs() const;
  // The daemon that schedules a shard, by the store's row; empty: none.
  std::string Owner(const entry::Shard& shard = {}) const;

  base::Loop& on_loop() { return this->loop; }
  StoreStandin& store() { return this->rows; }
  WorkerStandins& workers() { return this->fleet; }
  const WorkerStandins& workers_seen() const { return this->fleet; }

  // Called with each turn of the loop.
  void SetTicker(std::function<void()> ticker) {
    this->ticker = std::move(ticker);
  }
  // Turns the loop until `holds`; false if it does not in time.
  bool WaitUntil(double seconds, const std::function<bool()>& holds);
  http::Response Call(const std::string& daemon,
                      const std::string& method,
                      const std::string& job,
                      const std::string& body = "",
                      const std::string& queue = "q");
  // Whether its readiness check passes, after which a load balancer sends it
  // callers.
  bool IsReady(const std::string& daemon);
  // Hands a job of `steps` chained steps in, trying each daemon in turn as a
  // caller would; the last answer's status.
  int Submit(const std::string& job, int steps, int tasks);
  // The same at this daemon alone.
  int SubmitTo(const std::string& daemon,
               const std::string& job,
               int steps,
               int tasks);
  std::string StateOf(const std::string& job);

 private:
  // The response, with status 0 if there is none.
  http::Response Await(http::ClientRequest request);

  std::string folder;
  std::string programs;
  base::Loop loop;
  StoreStandin rows;
  WorkerStandins fleet;
  http::Client client;
  std::map<std::string, std::unique_ptr<TcpLink>> links;  // by daemon
  std::map<std::string, Daemon> by_id;
  std::vector<std::string> crashes;  // of processes that were replaced
  std::function<void()> ticker;
  int workers_an_owner = 200;
  bool epochs_checked = false;
  bool keeps_metrics_addresses = false;
  std::string access_key;
  std::string limits =
      "move_seconds = 0.4\nupkeep_seconds = 0.4\nstop_ms = 100\n";
};

// A job's id made of a number.
std::string JobId(int number);

}  // namespace quartzhoist::testing

#endif  // TESTING_JOB_CLUSTER_H_
