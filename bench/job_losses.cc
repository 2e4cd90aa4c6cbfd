#include "bench/job_losses.h"

#include <algorithm>
#include <ctime>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace quartzhoist::bench {

namespace {

using nlohmann::json;

// A job is of use for so many times its objective (the platform's pages).
constexpr std::int64_t kOfUseTimes = 3;

// From these parts of its objective on something counts as what made a job
// late: waits should be none, runs are most of the objective by design.
constexpr double kLongWait = 0.5;
constexpr double kLongRun = 0.7;
constexpr double kManyLost = 0.15;  // of all runs of a job

// Cores of a box, to draw boxes beside cores. The sites' boxes have 16.
constexpr double kCoresOfABox = 16.0;

// The log's time is RFC 3339 in UTC; -1 if it cannot be read.
std::int64_t SecondOf(const json& event) {
  const std::string text = event.value("time", "");
  std::tm parts{};
  if (!strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts))
    return -1;
  return timegm(&parts);
}

Fate FateOf(const json& event) {
  const std::string state = event.value("state", "");
  if (state == "failed")
    return Fate::kFailed;
  if (state == "cancelled")
    return Fate::kCancelled;
  const auto took = event.value("took_ms", std::int64_t{0});
  const auto objective = event.value("objective_ms", std::int64_t{0});
  if (took <= objective)
    return Fate::kInTime;
  return took <= kOfUseTimes * objective ? Fate::kLate : Fate::kTooLate;
}

Delay DelayOf(const json& event) {
  const auto objective = event.value("objective_ms", 0.0);
  const int runs = event.value("runs", 0);
  if (event.value("first_place_ms", -1.0) < 0.0)
    return Delay::kOwnerBefore;
  if (event.value("first_place_ms", 0.0) > kLongWait * objective)
    return Delay::kFirstPlace;
  if (event.value("longest_wait_ms", 0.0) > kLongWait * objective)
    return Delay::kLaterPlace;
  if (event.value("lost_runs", 0) > kManyLost * runs)
    return Delay::kLostRuns;
  if (event.value("longest_run_ms", 0.0) > kLongRun * objective)
    return Delay::kLongRun;
  return Delay::kMany;
}

template <typename Kind>
int CountOf(const std::map<Kind, int>& counts, Kind kind) {
  const auto found = counts.find(kind);
  return found == counts.end() ? 0 : found->second;
}

// --- The picture: a strip a pool, a pixel column a few for each second ---

constexpr int kStripHeight = 120;
constexpr int kLabelHeight = 18;
constexpr int kSecondWidth = 8;

std::string Line(const std::map<std::int64_t, PoolSecond>& seconds,
                 double most,
                 int top,
                 const char* colour,
                 double (*value)(const PoolSecond&)) {
  std::string points;
  const std::int64_t first = seconds.begin()->first;
  for (const auto& [second, pool] : seconds) {
    const double height = value(pool) / most * (kStripHeight - kLabelHeight);
    points += fmt::format("{},{:.1f} ", (second - first) * kSecondWidth,
                          top + kStripHeight - height);
  }
  return fmt::format("<polyline fill=\"none\" stroke=\"{}\" points=\"{}\"/>\n",
                     colour, points);
}

double BoxCores(const PoolSecond& pool) {
  return pool.boxes * kCoresOfABox;
}
double BusyCores(const PoolSecond& pool) {
  return pool.busy_cores;
}
double WantedCores(const PoolSecond& pool) {
  return pool.busy_cores + pool.waiting_cores;
}

}  // namespace

void JobLosses::Read(std::string_view line) {
  const std::size_t begin = line.find('{');
  if (begin == std::string_view::npos)
    return;
  const json event = json::parse(line.substr(begin), nullptr, false);
  if (!event.is_object())
    return;
  const std::string name = event.value("event", "");
  if (name == "job_over")
    this->ReadJob(event);
  else if (name == "pool_state")
    this->ReadPool(event);
}

void JobLosses::ReadJob(const json& event) {
  if (!this->seen.insert(event.value("job", "")).second)
    return;
  QueueLosses& queue = this->by_queue[event.value("queue", "")];
  const Fate fate = FateOf(event);
  ++queue.jobs[fate];
  if (fate == Fate::kLate || fate == Fate::kTooLate)
    ++queue.late[DelayOf(event)];
  if (fate == Fate::kTooLate)
    ++queue.too_late[DelayOf(event)];
}

void JobLosses::ReadPool(const json& event) {
  const std::int64_t second = SecondOf(event);
  if (second < 0)
    return;
  if (this->first_second < 0)
    this->first_second = second;
  PoolSecond& pool =
      this->by_pool[event.value("pool", "")][second - this->first_second];
  pool.boxes += event.value("boxes", 0);
  pool.idle += event.value("idle", 0);
  pool.leaving += event.value("leaving", 0);
  // Cores are written as text, rounded.
  pool.busy_cores += std::stod(event.value("busy_cores", "0"));
  pool.waiting_cores += std::stod(event.value("waiting_cores", "0"));
  pool.oldest_ms =
      std::max(pool.oldest_ms, event.value("oldest_ms", std::int64_t{0}));
}

std::string JobLosses::ToText() const {
  std::string text = "Jobs by queue\n";
  for (const auto& [name, queue] : this->by_queue) {
    text += fmt::format("{:<12}", name);
    for (const auto& [fate, fate_name] : kFateNames)
      text += fmt::format(" {} {:>5}", fate_name, CountOf(queue.jobs, fate));
    text += "\n";
  }
  text += "\nWhat made them late (of them, too late to be of use)\n";
  for (const auto& [name, queue] : this->by_queue) {
    text += fmt::format("{:<12}", name);
    for (const auto& [delay, delay_name] : kDelayNames)
      text += fmt::format(" {} {} ({})", delay_name, CountOf(queue.late, delay),
                          CountOf(queue.too_late, delay));
    text += "\n";
  }
  text +=
      "\nPools by second: boxes, idle, leaving, busy and waiting cores, "
      "longest wait in ms\n";
  for (const auto& [name, seconds] : this->by_pool) {
    for (const auto& [second, pool] : seconds)
      text += fmt::format(
          "{:<12} {:>4} {:>5} {:>5} {:>5} {:>7.0f} {:>7.0f} "
          "{:>6}\n",
          name, second, pool.boxes, pool.idle, pool.leaving, pool.busy_cores,
          pool.waiting_cores, pool.oldest_ms);
  }
  return text;
}

std::string JobLosses::ToSvg() const {
  double most = 1.0;
  std::size_t longest = 1;
  for (const auto& [name, seconds] : this->by_pool) {
    longest = std::max(longest, seconds.size());
    for (const auto& [second, pool] : seconds)
      most = std::max({most, BoxCores(pool), WantedCores(pool)});
  }
  const int height = kStripHeight * static_cast<int>(this->by_pool.size());
  std::string svg = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" "
      "height=\"{}\" font-family=\"sans-serif\" font-size=\"12\">\n",
      longest * kSecondWidth, height);
  int top = 0;
  for (const auto& [name, seconds] : this->by_pool) {
    svg += fmt::format(
        "<text x=\"2\" y=\"{}\">{}: boxes (grey), busy (green), busy and "
        "waiting (red), up to {:.0f} cores</text>\n",
        top + kLabelHeight - 4, name, most);
    svg += Line(seconds, most, top, "grey", BoxCores);
    svg += Line(seconds, most, top, "red", WantedCores);
    svg += Line(seconds, most, top, "green", BusyCores);
    top += kStripHeight;
  }
  return svg + "</svg>\n";
}

}  // namespace quartzhoist::bench
