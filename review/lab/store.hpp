// The platform's metadata store in memory: rows under versions, conditional
// transactions, reads in pages and feeds.

#ifndef REVIEW_LAB_STORE_HPP_
#define REVIEW_LAB_STORE_HPP_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <tuple>

#include <nlohmann/json.hpp>

#include "lab/http.hpp"

namespace review {

class Store {
 public:
  Response Handle(const Request& request);

  // As an operator or a minion writes.
  void Put(const std::string& table,
           const std::string& key,
           const nlohmann::json& value);
  void Remove(const std::string& table, const std::string& key);
  // The value of a row of an empty part; empty if there is none.
  std::string Value(const std::string& table, const std::string& key);

 private:
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string value;  // base64
    std::uint64_t version = 0;
  };
  struct Change {
    std::uint64_t version = 0;
    Key key;
    bool removed = false;
    std::string value;
  };

  Response Transact(const Request& request);
  Response Get(const Request& request);
  Response Feed(const Request& request);
  Response Parts(const Request& request);
  nlohmann::json RowJson(const Key& key) const;
  void Set(const Key& key, const std::string& value);
  void Erase(const Key& key);
  nlohmann::json Answer() const;

  std::mutex lock;
  std::condition_variable changed;
  std::map<Key, Row> rows;
  std::deque<Change> history;
  std::uint64_t version = 0;
};

}  // namespace review

#endif  // REVIEW_LAB_STORE_HPP_
