// What operators, the balancer and monitoring ask of a daemon, over HTTP.

#ifndef DAEMON_OPERATORS_H_
#define DAEMON_OPERATORS_H_

#include <string>

#include "http/server.h"

namespace quartzhoist::daemon {

class Control;

class Operators {
 public:
  explicit Operators(Control& control) : control(control) {}

  void Handle(const http::ExchangePtr& exchange);

 private:
  // Queries.
  http::Response Health() const;
  http::Response Readiness() const;
  http::Response Metrics() const;
  http::Response Table() const;
  http::Response Status() const;
  http::Response Members() const;
  void Dump(const http::ExchangePtr& exchange);
  http::Response Plan(const std::string& body) const;
  // Commands.
  void Edit(const http::ExchangePtr& exchange);
  void BoxCommand(const http::ExchangePtr& exchange, const std::string& path);

  Control& control;
};

}  // namespace quartzhoist::daemon

#endif  // DAEMON_OPERATORS_H_
