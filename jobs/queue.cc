#include "jobs/queue.h"

namespace quartzhoist::jobs {

const Queue* Config::FindQueue(std::string_view name) const {
  for (const Queue& queue : this->queues) {
    if (queue.name == name)
      return &queue;
  }
  return nullptr;
}

const Service* Config::FindService(std::string_view name) const {
  for (const Service& service : this->services) {
    if (service.name == name)
      return &service;
  }
  return nullptr;
}

const Organisation* Config::FindOrganisation(std::string_view name) const {
  for (const Organisation& organisation : this->organisations) {
    if (organisation.name == name)
      return &organisation;
  }
  return nullptr;
}

// Compares all keys, so that the time does not depend on which one matches.
const Organisation* Config::FindOrganisationByKey(const KeyDigest& key) const {
  const Organisation* holder = nullptr;
  for (const Organisation& organisation : this->organisations) {
    for (const KeyDigest& held : organisation.keys) {
      if (DigestsAreEqual(held, key))
        holder = &organisation;
    }
  }
  return holder;
}

const Queue* Config::Route(std::string_view host, std::string_view path) const {
  const Queue* best = nullptr;
  for (const Queue& queue : this->queues) {
    if (queue.host != host || !path.starts_with(queue.path_prefix))
      continue;
    if (!best || queue.path_prefix.size() > best->path_prefix.size())
      best = &queue;
  }
  return best;
}

}  // namespace quartzhoist::jobs
