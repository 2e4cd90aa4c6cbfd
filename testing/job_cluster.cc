#include "testing/job_cluster.h"

#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <set>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "entry/tables.h"

namespace quartzhoist::testing {

namespace {

using nlohmann::json;

std::string MakeFolder() {
  std::string name = "/tmp/quartzhoist-jobs-XXXXXX";
  return mkdtemp(name.data()) ? name : std::string("/tmp");
}

constexpr const char* kConfig =
    R"({"version":1,"routes":[{"name":"q","host":"jobs.example",)"
    R"("pathPrefix":"/q/","service":"press","priority":0,"attempts":3,)"
    R"("extension":1.5,"targetLatencyMs":600}],)"
    R"("services":[{"name":"press"},{"name":"rest","spare":true}]})";

// A daemon's begin takes about 3 KB of log, a job of one task 1 KB.
constexpr std::size_t kMaxExcerptPart = 16'000;

std::string Excerpt(const std::string& text) {
  if (text.size() <= 2 * kMaxExcerptPart)
    return text;
  return fmt::format("{}\n... {} bytes left out ...\n{}",
                     text.substr(0, kMaxExcerptPart),
                     text.size() - 2 * kMaxExcerptPart,
                     text.substr(text.size() - kMaxExcerptPart));
}

std::string ReadWhole(const std::filesystem::path& file) {
  std::ifstream in(file);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

// Describes a process that has ended otherwise than with exit code 0 or by
// SIGKILL. There may be no process.
std::optional<std::string> CrashOf(const std::string& id, Process* process) {
  constexpr int kKilled = 128 + SIGKILL;
  if (!process || process->running())
    return std::nullopt;
  const int code = process->Wait(0).value_or(0);
  if (code == 0 || code == kKilled)
    return std::nullopt;
  return fmt::format("CRASH the process of {} ended with {}", id, code);
}

}  // namespace

std::string JobId(int number) {
  return fmt::format("{:016x}", number);
}

JobCluster::JobCluster(std::string build, int boxes)
    : folder(MakeFolder()),
      programs(std::move(build)),
      rows(this->loop),
      fleet(this->loop, this->rows),
      client(this->loop) {
  this->rows.Put({.table = "op", .part = "", .key = "config"}, kConfig);
  for (int i = 0; i < boxes; ++i)
    this->fleet.AddBox(fmt::format("box-{}", i + 1), "press");
}

JobCluster::~JobCluster() {
  this->by_id.clear();
  std::error_code ignored;
  std::filesystem::remove_all(this->folder, ignored);
}

JobCluster::Daemon& JobCluster::StartDaemonOverLink(const std::string& id) {
  this->links[id] = std::make_unique<TcpLink>(this->loop, this->rows.address());
  return this->StartDaemon(id);
}

JobCluster::Daemon& JobCluster::StartDaemonAtEndpoint(const std::string& id) {
  this->rows.AddEndpoint(id);
  return this->StartDaemon(id);
}

void JobCluster::CopyLogs(const std::string& to) const {
  std::error_code ignored;
  std::filesystem::create_directories(to, ignored);
  std::filesystem::copy(this->folder, to,
                        std::filesystem::copy_options::recursive |
                            std::filesystem::copy_options::overwrite_existing,
                        ignored);
}

JobCluster::Daemon& JobCluster::StartDaemon(const std::string& id) {
  const auto link = this->links.find(id);
  std::string store = this->rows.address();
  if (link != this->links.end())
    store = link->second->address();
  else if (this->rows.HasEndpoint(id))
    store = this->rows.AddressOf(id);
  const std::string settings = fmt::format("{}/{}.ini", this->folder, id);
  std::string metrics = this->by_id[id].metrics;
  if (metrics.empty() || !this->keeps_metrics_addresses)
    metrics = "127.0.0.1:0";
  std::ofstream(settings) << fmt::format(
      "[daemon]\nid = {}\nzone = z\n"
      "[listen]\ncallers = 127.0.0.1:0\n"
      "readiness = 127.0.0.1:0\nmetrics = {}\n"
      "[store]\naddress = {}\n[boxes]\naddress = {}\nepochs_checked = {}\n"
      "[limits]\n{}workers_an_owner = {}\n",
      id, metrics, store, this->fleet.boxes_address(),
      this->epochs_checked ? "true" : "false", this->limits,
      this->workers_an_owner);
  Daemon& daemon = this->by_id[id];
  if (const auto crash = CrashOf(id, daemon.process.get()))
    this->crashes.push_back(*crash);
  daemon.settings = settings;
  const std::string output =
      fmt::format("{}/{}-{}", this->folder, id, std::rand());
  daemon.process = std::make_unique<Process>(
      std::vector<std::string>{this->programs + "/daemon/quartzhoistd",
                               "--settings", settings},
      output);
  const std::string host = "127.0.0.1:";
  daemon.callers = host + daemon.process->WaitForField("callers_port");
  daemon.readiness = host + daemon.process->WaitForField("readiness_port");
  daemon.metrics = host + daemon.process->WaitForField("metrics_port");
  return daemon;
}

std::vector<std::string> JobCluster::CrashedDaemons() const {
  std::vector<std::string> all = this->crashes;
  for (const auto& [id, daemon] : this->by_id) {
    if (const auto crash = CrashOf(id, daemon.process.get()))
      all.push_back(*crash);
  }
  return all;
}

std::string JobCluster::Logs() const {
  std::set<std::filesystem::path> files;
  std::error_code ignored;
  for (const auto& entry :
       std::filesystem::directory_iterator(this->folder, ignored)) {
    if (entry.path().extension() != ".ini")
      files.insert(entry.path());
  }
  std::string text;
  for (const std::filesystem::path& file : files) {
    const std::string content = ReadWhole(file);
    if (!content.empty())
      text += fmt::format("--- {}\n{}\n", file.filename().string(),
                          Excerpt(content));
  }
  for (const platform::Row& row :
       this->rows.Table(std::string(entry::kOwnerTable)))
    text += fmt::format("--- row {} {} version {}: {}\n", row.at.part,
                        row.at.key, row.version, row.value);
  return text;
}

std::string JobCluster::Owner(const entry::Shard& shard) const {
  const std::string row = this->rows.Value(entry::OwnerRow(shard));
  const auto record = entry::DecodeOwner(row);
  return record ? record->holder : std::string();
}

bool JobCluster::WaitUntil(double seconds, const std::function<bool()>& holds) {
  const base::Micros until =
      base::MonotonicNow() +
      base::Micros(static_cast<std::int64_t>(seconds * 1e6));
  while (!holds()) {
    if (base::MonotonicNow() > until)
      return false;
    this->loop.RunOnce();
    if (this->ticker)
      this->ticker();
  }
  return true;
}

http::Response JobCluster::Call(const std::string& daemon,
                                const std::string& method,
                                const std::string& job,
                                const std::string& body,
                                const std::string& queue) {
  http::ClientRequest request;
  request.method = method;
  request.url = fmt::format("http://{}/{}/{}", this->by_id.at(daemon).callers,
                            queue, job);
  request.headers = {{.name = "Host", .value = "jobs.example"},
                     {.name = "Deadline-Ms", .value = "3000"}};
  if (!this->access_key.empty())
    request.headers.push_back(
        {.name = "Authorization", .value = "Token " + this->access_key});
  request.body = body;
  return this->Await(std::move(request));
}

bool JobCluster::IsReady(const std::string& daemon) {
  http::ClientRequest request;
  request.url = fmt::format("http://{}/", this->by_id.at(daemon).readiness);
  return this->Await(std::move(request)).status == 200;
}

http::Response JobCluster::Await(http::ClientRequest request) {
  std::optional<http::Response> response;
  request.timeout = std::chrono::seconds(5);
  this->client.Send(std::move(request), [&](const http::ClientResult& got) {
    response = got.response;
  });
  this->WaitUntil(10, [&] { return response.has_value(); });
  return response.value_or(http::Response{.status = 0});
}

int JobCluster::SubmitTo(const std::string& daemon,
                         const std::string& job,
                         int steps,
                         int tasks) {
  json body = {{"spec", "work"}, {"steps", json::array()}};
  for (int step = 0; step < steps; ++step) {
    json one = {
        {"count", tasks}, {"cpu", 500}, {"memMb", 100}, {"estimateMs", 100}};
    if (step > 0)
      one["dependsOn"] = {step - 1};
    body["steps"].push_back(one);
  }
  return this->Call(daemon, "POST", job, body.dump()).status;
}

int JobCluster::Submit(const std::string& job, int steps, int tasks) {
  int status = 0;
  for (const auto& [id, daemon] : this->by_id) {
    status = this->SubmitTo(id, job, steps, tasks);
    if (status == 200)
      break;
  }
  return status;
}

std::string JobCluster::StateOf(const std::string& job) {
  for (const auto& [id, daemon] : this->by_id) {
    const http::Response response = this->Call(id, "GET", job);
    if (response.status == 200)
      return json::parse(response.body).value("state", "");
  }
  return "";
}

}  // namespace quartzhoist::testing
