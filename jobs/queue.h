// Configuration of queues, services and limits.

#ifndef JOBS_QUEUE_H_
#define JOBS_QUEUE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "jobs/organisation.h"

namespace quartzhoist::jobs {

// Cost and validity of a call that asks a service which workers may run a step.
struct AdviceConfig {
  base::Micros time_per_call{};    // time a call takes the service
  base::Micros time_per_worker{};  // additional time for each worker named
  base::Micros time_to_live{};     // how long an answer is valid
  bool required = false;
};

struct Queue {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string service;            // provides the workers
  int priority = 0;               // 0 is the highest
  int attempts = 1;               // failed runs of a task before its job fails
  double extension = 1.0;         // objective: factor of the critical path
  base::Micros target_latency{};  // objective: added to the above
  AdviceConfig advice;
  bool open_to_all = false;  // callers need no API key

  bool operator==(const Queue& other) const {
    return this->name == other.name && this->service == other.service &&
           this->priority == other.priority && this->attempts == other.attempts;
  }
};

// A service, whose workers form a pool.
struct Service {
  std::string name;
  bool workers_reject_excess =
      false;           // its workers refuse tasks that do not fit
  bool spare = false;  // its boxes are switched off and cost nothing
};

struct Config {
  std::int64_t version = 0;
  std::vector<Queue> queues;
  std::vector<Service> services;
  // Set if organisations are configured: callers need the API key of one.
  bool keys_required = false;
  std::vector<Organisation> organisations;
  std::size_t max_request_bytes = 262'144;  // of a caller's request

  const Queue* FindQueue(std::string_view name) const;
  const Service* FindService(std::string_view name) const;
  const Organisation* FindOrganisation(std::string_view name) const;
  // The organisation that has this API key, or null.
  const Organisation* FindOrganisationByKey(const KeyDigest& key) const;
  // The queue of this host with the longest path prefix that matches, or null.
  const Queue* Route(std::string_view host, std::string_view path) const;
};

}  // namespace quartzhoist::jobs

#endif  // JOBS_QUEUE_H_
