#include "lab/deployment.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace review {

namespace {

using Json = nlohmann::json;

constexpr const char* kHost = "jobs.example";
constexpr const char* kPrefix = "/q/";
constexpr std::int64_t kStartMillis = 5000;
constexpr int kCallMillis = 3000;
constexpr const char* kFirstJob = "00000000000000ff";

std::string ReadFile(const std::string& name) {
  std::ifstream in(name);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

// The value of the first `"name":` of a log; empty if there is none.
std::string FieldOf(const std::string& log, const std::string& name) {
  const std::string key = "\"" + name + "\":";
  const std::size_t at = log.find(key);
  const std::size_t line_end = log.find('\n', at);
  if (at == std::string::npos || line_end == std::string::npos)
    return "";
  const std::size_t begin = at + key.size();
  return log.substr(begin, log.find_first_of(",}", begin) - begin);
}

bool IsConditionalWrite(const Request& request) {
  return request.path == "/rows-tx" &&
         !Json::parse(request.body).at("expectedRev").empty();
}

}  // namespace

Front::Front(Service service)
    : service(std::move(service)),
      server([this](const Request& request) { return this->Handle(request); }) {
}

void Front::TurnAway(Selects selects, std::int64_t millis) {
  const std::lock_guard guard(this->lock);
  this->trigger = std::move(selects);
  this->trigger_millis = millis;
}

void Front::Close(std::int64_t millis) {
  {
    const std::lock_guard guard(this->lock);
    this->away_until = NowMillis() + millis;
  }
  this->server.CloseConnections();
}

bool Front::Passes() {
  const std::lock_guard guard(this->lock);
  return !this->trigger && NowMillis() >= this->away_until;
}

Response Front::Handle(const Request& request) {
  bool begins = false;
  {
    const std::lock_guard guard(this->lock);
    if (NowMillis() < this->away_until)
      return {.status = 503};
    begins = this->trigger && this->trigger(request);
    if (begins)
      this->trigger = nullptr;
  }
  const Response response = this->service(request);
  if (!begins)
    return response;
  {
    const std::lock_guard guard(this->lock);
    this->away_until = NowMillis() + this->trigger_millis;
  }
  this->server.CloseConnections();
  return {.status = 0};
}

Deployment::Deployment(std::string program,
                       std::string settings_template,
                       Record& record,
                       int daemons)
    : program(std::move(program)),
      settings_template(std::move(settings_template)),
      record(record),
      minions(this->rows, record, {}),
      daemons(static_cast<std::size_t>(daemons)) {
  std::string name = "/tmp/quartzhoist-review-XXXXXX";
  if (!mkdtemp(name.data()))
    throw std::runtime_error("cannot make a temporary folder");
  this->folder = name;
  this->cloud = std::make_unique<Front>([this](const Request& request) {
    return this->minions.HandleCloud(request);
  });
}

Deployment::~Deployment() {
  for (const Daemon& daemon : this->daemons) {
    if (daemon.process <= 0)
      continue;
    kill(daemon.process, SIGKILL);
    waitpid(daemon.process, nullptr, 0);
  }
  std::error_code ignored;
  if (!std::getenv("KEEP_LOGS"))
    std::filesystem::remove_all(this->folder, ignored);
}

void Deployment::Configure(const std::string& pool) {
  this->rows.Put(
      "op", "config",
      {{"version", 1},
       {"routes",
        {{{"name", "q"},
          {"host", kHost},
          {"pathPrefix", kPrefix},
          {"routeType", "non_idempotent"},
          {"timeoutMs", 3000},
          {"targetLatencyMs", 600},
          {"priority", 0},
          {"service", pool},
          {"attempts", 4},
          {"extension", 1.6}}}},
       {"services",
        {{{"name", pool}, {"enforcesCapacity", false}},
         {{"name", "rest"}, {"enforcesCapacity", false}, {"spare", true}}}},
       {"limits", Json::object()}});
  for (int number = 0; number < this->size(); ++number)
    this->Start(number);
}

std::string Deployment::Render(const std::string& node,
                               const Daemon& daemon) const {
  const std::map<std::string, std::string> fields = {
      {"node", node},
      {"zone", "zone-a"},
      {"ip", "127.0.0.1"},
      {"internalPorts.0", "0"},
      {"limits.cpuShare", "0.25"},
      {"listen.frontend", "127.0.0.1:0"},
      {"listen.readiness", "127.0.0.1:0"},
      {"platform.address", daemon.store->address()},
      {"platform.across", "true"},
      {"platform.row_bytes", "65536"},
      {"cloudApi.address", this->cloud->address()},
      {"cloudApi.ratePerS", "64.0"},
      {"advice", ""},
      {"heartbeatMs", "1500"},
      {"bounds.enforceFencing", "true"},
      {"bounds.configApplyMs", "2000"},
      {"bounds.holdMaxMs", "10000"},
      {"bounds.stop_ms", "400"},
      {"bounds.move_s", "1.5"},
      {"bounds.upkeep_s", "2"},
      {"bounds.graceS", "6"}};
  std::string text = ReadFile(this->settings_template);
  for (std::size_t at = 0; (at = text.find("{{", at)) != std::string::npos;) {
    const std::size_t end = text.find("}}", at);
    const auto field = fields.find(text.substr(at + 2, end - at - 2));
    if (field == fields.end())
      throw std::runtime_error("unknown gap in the settings template");
    text.replace(at, end + 2 - at, field->second);
  }
  return text;
}

void Deployment::Start(int number) {
  Daemon& daemon = this->daemons[static_cast<std::size_t>(number)];
  const std::string node = "edge-zone-a-" + std::to_string(number + 1);
  if (!daemon.store) {
    daemon.store =
        std::make_unique<Front>([this, number](const Request& request) {
          if (IsConditionalWrite(request))
            this->last_writer = number;
          return this->rows.Handle(request);
        });
  }
  const std::string settings = this->folder + "/" + node + ".ini";
  const std::string log =
      this->folder + "/" + node + "-" + std::to_string(NowMillis()) + ".log";
  std::ofstream(settings) << this->Render(node, daemon);
  daemon.process = fork();
  if (daemon.process == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    execl(this->program.c_str(), this->program.c_str(), "--settings",
          settings.c_str(), nullptr);
    _exit(127);
  }
  const std::int64_t until = NowMillis() + kStartMillis;
  while (NowMillis() < until) {
    const std::string text = ReadFile(log);
    const std::string callers = FieldOf(text, "callers_port");
    const std::string readiness = FieldOf(text, "readiness_port");
    if (!callers.empty() && !readiness.empty()) {
      daemon.callers = "127.0.0.1:" + callers;
      daemon.readiness = "127.0.0.1:" + readiness;
      return;
    }
    SleepMillis(20);
  }
  throw std::runtime_error(node + " does not start");
}

int Deployment::KillLeader(std::int64_t restart_millis) {
  const int number = this->last_writer;
  Daemon& daemon = this->daemons[static_cast<std::size_t>(number)];
  kill(daemon.process, SIGKILL);
  waitpid(daemon.process, nullptr, 0);
  daemon.process = -1;
  this->record.Add("daemon " + std::to_string(number + 1) + " is killed");
  SleepMillis(restart_millis);
  this->Start(number);
  this->record.Add("daemon " + std::to_string(number + 1) +
                   " is started again");
  return number;
}

bool Deployment::WaitUntilServing(std::int64_t millis) {
  const std::int64_t until = NowMillis() + millis;
  const auto is_ready = [](const Daemon& daemon) {
    return Call(daemon.readiness, "GET", "/ready", {}, "", kCallMillis)
               .status == 200;
  };
  bool accepted = false;
  while (NowMillis() < until) {
    SleepMillis(100);
    bool ready = true;
    for (const Daemon& daemon : this->daemons)
      ready = ready && is_ready(daemon);
    if (!ready)
      continue;
    accepted = accepted || this->Submit(0, kFirstJob, 1) == 200;
    if (accepted && this->State(0, kFirstJob) == "completed")
      return true;
  }
  return false;
}

int Deployment::Submit(int daemon, const std::string& job, int tasks) {
  const Json body = {{"spec", "work"},
                     {"steps",
                      {{{"count", tasks},
                        {"cpu", 500},
                        {"memMb", 256},
                        {"estimateMs", 800}}}}};
  return this->SubmitBody(daemon, job, body.dump());
}

int Deployment::SubmitBody(int daemon,
                           const std::string& job,
                           const std::string& body) {
  const int status =
      Call(this->daemons.at(static_cast<std::size_t>(daemon)).callers, "POST",
           kPrefix + job, {{"Host", kHost}, {"Deadline-Ms", "3000"}}, body,
           kCallMillis)
          .status;
  this->record.Add("client submits job " + job + " at daemon " +
                   std::to_string(daemon + 1) + ": " +
                   (status == 0 ? "no answer" : std::to_string(status)));
  return status;
}

std::string Deployment::State(int daemon, const std::string& job) {
  const Response response =
      Call(this->daemons.at(static_cast<std::size_t>(daemon)).callers, "GET",
           kPrefix + job, {{"Host", kHost}, {"Deadline-Ms", "3000"}}, "",
           kCallMillis);
  const Json body = Json::parse(response.body, nullptr, false);
  return response.status == 200 && body.is_object() ? body.value("state", "")
                                                    : std::string();
}

}  // namespace review
