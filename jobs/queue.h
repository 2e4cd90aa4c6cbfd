// What operators configure for jobs: queues, services and limits.

#ifndef JOBS_QUEUE_H_
#define JOBS_QUEUE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "jobs/organisation.h"

namespace quartzhoist::jobs {

// How the workers that may run a step are learned, where that is not free.
struct AdviceConfig {
  base::Micros time_per_call{};    // the service's time for a call
  base::Micros time_per_worker{};  // and for each worker named in it
  base::Micros time_to_live{};     // how long an answer holds
  bool required = false;
};

struct Queue {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string service;            // whose workers run the tasks
  int priority = 0;               // 0 goes first
  int attempts = 1;               // failed runs of a task before its job fails
  double extension = 1.0;         // objective: times the longest chain of work
  base::Micros target_latency{};  // objective: added to that
  AdviceConfig advice;
  bool auth_exempt = false;  // its callers need no access key

  bool operator==(const Queue& other) const {
    return this->name == other.name && this->service == other.service &&
           this->priority == other.priority && this->attempts == other.attempts;
  }
};

// Whose workers form a pool.
struct Service {
  std::string name;
  bool enforces_capacity = false;  // its workers refuse what does not fit
  bool spare = false;              // its boxes are off and cost nothing
};

struct Config {
  std::int64_t version = 0;
  std::vector<Queue> queues;
  std::vector<Service> services;
  // Where organisations are listed, callers need a key of one of them.
  bool requires_api_key = false;
  std::vector<Organisation> organisations;
  std::size_t max_body_bytes = 262'144;  // bytes of a caller's request

  const Queue* FindQueue(std::string_view name) const;
  const Service* FindService(std::string_view name) const;
  const Organisation* FindOrganisation(std::string_view name) const;
  // Whose access key this is, or null.
  const Organisation* FindOrganisationByKey(const KeyDigest& key) const;
  // The queue with this host and the longest prefix of `path`, or null.
  const Queue* Route(std::string_view host, std::string_view path) const;
};

}  // namespace quartzhoist::jobs

#endif  // JOBS_QUEUE_H_
