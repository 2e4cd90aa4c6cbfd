#include "testing/cluster.h"

#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include <fmt/format.h>

#include "base/loop.h"
#include "http/client.h"
#include "table/codec.h"

namespace quartzhoist::testing {

namespace {

using nlohmann::json;

constexpr const char* kLoopback = "127.0.0.1:";
constexpr const char* kAnyPort = "127.0.0.1:0";
constexpr double kFormSeconds = 30;
constexpr int kSeeds = 3;

// The body of a 200, or nothing.
std::string Call(http::ClientRequest request) {
  base::Loop loop;
  http::Client client(loop);
  std::string body;
  request.fresh_connection = true;
  request.timeout = std::chrono::seconds(5);
  client.Send(std::move(request), [&](const http::ClientResult& result) {
    if (result.verdict == base::Verdict::kRan && result.response.status == 200)
      body = result.response.body;
    loop.Stop();
  });
  loop.Run();
  return body;
}

// Null unless the answer was JSON.
json CallJson(http::ClientRequest request) {
  json value = json::parse(Call(std::move(request)), nullptr, false);
  return value.is_discarded() ? json() : value;
}

void WriteFile(const std::string& file, const std::string& text) {
  std::ofstream out(file);
  out << text;
}

}  // namespace

Cluster::Cluster(const Options& chosen) : options(chosen) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "quartzhoist-XXXXXX").string();
  if (!mkdtemp(pattern.data()))
    throw std::runtime_error("cannot make a folder for the run");
  this->folder = pattern;
}

Cluster::~Cluster() {
  this->by_id.clear();
  this->by_box.clear();
  this->platform.reset();
  std::filesystem::remove_all(this->folder);
}

std::string Cluster::NewFile(const std::string& name) {
  return fmt::format("{}/{}-{}", this->folder, ++this->files, name);
}

std::unique_ptr<Process> Cluster::Start(const std::string& program,
                                        std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), this->options.programs + "/" + program);
  return std::make_unique<Process>(
      std::move(arguments),
      this->NewFile(std::filesystem::path(program).filename()));
}

void Cluster::AddTarget(table::Box box,
                        const std::vector<std::string>& arguments) {
  TargetProcess target{
      .box = std::move(box),
      .process = this->Start("testing/quartzhoist-target", arguments)};
  target.box.address = kLoopback + target.process->WaitForWord("port ");
  this->by_box.emplace(target.box.name, std::move(target));
}

void Cluster::StartPlatform() {
  json boxes = json::object();
  for (const auto& [name, target] : this->by_box)
    boxes[name] = json::parse(table::EncodeBox(target.box));
  for (const table::Box& box : this->rows_only)
    boxes[box.name] = json::parse(table::EncodeBox(box));
  const std::string boxes_file = this->NewFile("boxes.json");
  const std::string table_file = this->NewFile("table");
  WriteFile(boxes_file, boxes.dump());
  WriteFile(table_file, this->options.table);
  this->platform =
      this->Start("testing/quartzhoist-platform",
                  {"--table", table_file, "--boxes", boxes_file, "--ready-ms",
                   std::to_string(this->options.ready_ms)});
  this->platform_address = kLoopback + this->platform->WaitForWord("port ");
}

DaemonProcess& Cluster::StartDaemon(const std::string& id,
                                    const std::string& zone) {
  std::string seeds;
  // A few are enough: the others are learned from the platform's list.
  int count = 0;
  for (const auto& [other, daemon] : this->by_id) {
    if (++count <= kSeeds)
      seeds += (seeds.empty() ? "" : ", ") + daemon.peers;
  }
  const std::string file = this->NewFile("settings.ini");
  WriteFile(file, fmt::format("[daemon]\nid = {}\nzone = {}\ncluster = test\n"
                              "[listen]\ncallers = {}\noperators = {}\n"
                              "peers = {}\n[platform]\naddress = {}\n"
                              "[peers]\nseeds = {}\n[limits]\n"
                              "unready_seconds = {}\n",
                              id, zone, kAnyPort, kAnyPort, kAnyPort,
                              this->platform_address, seeds,
                              this->options.unready_seconds));
  DaemonProcess& daemon = this->by_id[id];
  daemon.id = id;
  daemon.zone = zone;
  daemon.process = this->Start("daemon/quartzhoistd", {"--settings", file});
  daemon.callers = kLoopback + daemon.process->WaitForField("callers_port");
  daemon.operators = kLoopback + daemon.process->WaitForField("operators_port");
  daemon.peers = daemon.process->WaitForField("peers");
  this->Platform("/bench/box", {{"name", id},
                                {"zone", zone},
                                {"entry", true},
                                {"address", daemon.peers},
                                {"live", true}});
  return daemon;
}

std::vector<std::string> Cluster::CallerAddresses() const {
  std::vector<std::string> addresses;
  for (const auto& [id, daemon] : this->by_id)
    addresses.push_back(daemon.callers);
  return addresses;
}

json Cluster::Get(const std::string& address, const std::string& path) {
  return CallJson({.method = "GET", .url = "http://" + address + path});
}

std::string Cluster::GetText(const std::string& address,
                             const std::string& path) {
  return Call({.method = "GET", .url = "http://" + address + path});
}

json Cluster::Platform(const std::string& path, const json& body) {
  http::ClientRequest request{.method = "POST",
                              .url = "http://" + this->platform_address + path};
  request.body = body.dump();
  return CallJson(std::move(request));
}

json Cluster::Status(const std::string& id) {
  return Get(this->by_id.at(id).operators, "/v1/status");
}

Cluster::ClientRun Cluster::RunClient(const std::string& daemon_id,
                                      std::vector<std::string> arguments) {
  arguments.push_back("--daemon");
  arguments.push_back(this->by_id.at(daemon_id).operators);
  const std::unique_ptr<Process> run =
      this->Start("client/quartzhoist", std::move(arguments));
  const int code = run->Wait(kFormSeconds).value_or(-1);
  return {.exit_code = code, .output = run->Output(), .error = run->Log()};
}

bool Cluster::WaitUntil(double seconds, const std::function<bool()>& holds) {
  const auto until =
      std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
  while (!holds()) {
    if (std::chrono::steady_clock::now() > until)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return true;
}

bool Cluster::WaitUntilFormed() {
  return WaitUntil(kFormSeconds, [this] {
    for (const auto& [id, daemon] : this->by_id) {
      const json status = Get(daemon.operators, "/v1/members");
      if (!status.is_object() || !status.value("ready", false))
        return false;
      std::size_t live = 0;
      for (const json& member : status.at("members"))
        live += member.value("live", false) ? 1 : 0;
      if (live != this->by_id.size())
        return false;
    }
    return true;
  });
}

std::string Cluster::BoxState(const std::string& id, const std::string& box) {
  const json status = this->Status(id);
  if (!status.is_object())
    return "";
  for (const json& entry : status.at("boxes")) {
    if (entry.at("name") == box)
      return entry.value("state", "") + " in " + entry.value("pool", "");
  }
  return "";
}

std::map<std::string, int> Cluster::Runs() {
  std::map<std::string, int> runs;
  for (const auto& [name, target] : this->by_box) {
    const json report = Get(target.box.address, "/bench/report");
    if (!report.is_object())
      continue;
    for (const auto& [id, count] : report.at("runs").items())
      runs[id] += count.get<int>();
  }
  return runs;
}

}  // namespace quartzhoist::testing
