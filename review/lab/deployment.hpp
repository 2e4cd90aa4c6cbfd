// A small deployment: the daemons as processes with rendered settings, the
// store behind a front for each daemon, minions, and the machines' service.

#ifndef REVIEW_LAB_DEPLOYMENT_HPP_
#define REVIEW_LAB_DEPLOYMENT_HPP_

#include <sys/types.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "lab/clock.hpp"
#include "lab/fleet.hpp"
#include "lab/http.hpp"
#include "lab/store.hpp"

namespace review {

// What stands between a caller and a service: passes calls on until it turns
// them away.
class Front {
 public:
  using Service = std::function<Response(const Request&)>;
  using Selects = std::function<bool(const Request&)>;

  explicit Front(Service service);

  std::string address() const { return this->server.address(); }
  // Begins with the next selected call: the service carries it out, all open
  // connections are closed without an answer, and calls get 503 for this long.
  void TurnAway(Selects selects, std::int64_t millis);
  // Answers calls with 503 from now on, for this long.
  void Close(std::int64_t millis);
  // Whether the last TurnAway() or Close() is over.
  bool Passes();

 private:
  Response Handle(const Request& request);

  Service service;
  std::mutex lock;
  Selects trigger;
  std::int64_t trigger_millis = 0;
  std::int64_t away_until = 0;
  Server server;
};

class Deployment {
 public:
  // `program` is the command of the deploy file, `settings_template` its
  // template.
  Deployment(std::string program,
             std::string settings_template,
             Record& record,
             int daemons);
  // Ends all daemons.
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  Store& store() { return this->rows; }
  Fleet& fleet() { return this->minions; }
  Front& cloud_front() { return *this->cloud; }
  Front& store_front(int daemon) { return *this->daemons.at(daemon).store; }
  // Writes the configuration: one queue of this pool.
  void Configure(const std::string& pool);
  // Kills the process that wrote last to the store under a condition, and
  // starts it again after this time. Returns its number.
  int KillLeader(std::int64_t restart_millis);
  // Waits until all daemons are ready and one job has been completed.
  bool WaitUntilServing(std::int64_t millis);

  // The status of a client's call; 0 if no answer came.
  int Submit(int daemon, const std::string& job, int tasks);
  // The same with a body of its own.
  int SubmitBody(int daemon, const std::string& job, const std::string& body);
  std::string State(int daemon, const std::string& job);
  int size() const { return static_cast<int>(this->daemons.size()); }

 private:
  struct Daemon {
    std::unique_ptr<Front> store;
    pid_t process = -1;
    std::string callers;
    std::string readiness;
  };

  std::string Render(const std::string& node, const Daemon& daemon) const;
  void Start(int number);

  std::string program;
  std::string settings_template;
  Record& record;
  std::string folder;
  Store rows;
  Fleet minions;
  std::unique_ptr<Front> cloud;
  std::vector<Daemon> daemons;
  std::atomic<int> last_writer{0};
};

}  // namespace review

#endif  // REVIEW_LAB_DEPLOYMENT_HPP_
